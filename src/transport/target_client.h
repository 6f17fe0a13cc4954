#ifndef DAISYWINCH_TRANSPORT_TARGET_CLIENT_H
#define DAISYWINCH_TRANSPORT_TARGET_CLIENT_H

#include <cstdint>
#include <functional>
#include <list>
#include <memory>
#include <string>

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>

#include "state/memory_budget.h"
#include "transport/asio.h"
#include "transport/cancellation.h"
#include "transport/http.h"

namespace daisywinch {

/// Result of sending one request to a target.
struct TargetExchange {
  enum class End {
    kAnswered,
    /// No byte of the request was handed to the operating system.
    kNotSent,
    /// The same, because the request was cancelled.
    kWithdrawn,
    /// The connection ended before the complete response was received, or what
    /// was received can't be parsed.
    kResponseLost,
    kDeadlinePassed,
    kCancelled,
    /// The response is over the limit, or was broken off for lack of memory.
    kResponseTooLarge,
    /// The header belongs to no response to the request, or to none that may be
    /// passed on.
    kResponseInvalid,
  };

  End end = End::kNotSent;
  HttpResponse response;
  /// What is wrong with a response that isn't valid HTTP; empty otherwise.
  std::string fault;
  /// The target closed an idle connection before its idle timeout, or refused a
  /// new connection.
  bool connection_dropped = false;
  /// The target refused a new connection.
  bool connection_refused = false;
  /// Identifies the connection for DiscardConnection(); empty if it was not
  /// returned to the pool.
  std::weak_ptr<void> connection;
};

/// Sends requests to the local target over pooled connections.
///
/// A connection on which a request was abandoned is closed and not reused, so
/// that a late response cannot be mistaken for that of another request.
class TargetClient {
 public:
  /// Whether a response with this header may answer the request. The body of
  /// one that may not is never read, as it may have no end.
  using HeaderCheck = std::function<bool(const http::response_header<>&)>;

  /// Maximum size of the header of a response in bytes.
  static constexpr std::uint32_t kHeaderLimit = 64 * 1024;

  /// `memory` counts the bytes of responses; null means no limit.
  TargetClient(asio::io_context& context,
               const Address& address,
               std::uint64_t body_limit,
               MemoryBudget* memory = nullptr);

  /// `accepts` may be null, which accepts all responses.
  Awaitable<TargetExchange> Send(HttpRequest request,
                                 TimePoint deadline,
                                 std::shared_ptr<Cancellation> cancellation,
                                 HeaderCheck accepts = nullptr);

  /// Closes the connection of the exchange, if it is still in the pool. Used
  /// when the received bytes are not a response to the request.
  void DiscardConnection(TargetExchange& exchange);

  /// Number of open connections, including idle ones.
  int ConnectionCount() const { return this->connection_count; }
  /// Number of responses so far that weren't valid HTTP.
  std::uint64_t InvalidResponses() const { return this->invalid_responses; }
  void CloseIdleConnections();

 private:
  struct Connection {
    explicit Connection(asio::io_context& context) : stream(context) {}

    boost::beast::tcp_stream stream;
    boost::beast::flat_buffer buffer{kMaxBufferedBytes};
    TimePoint idle_since;
    /// Idle time after which the target closes the connection.
    Duration idle_timeout = Duration::max();
  };

  /// Takes a usable connection from the pool and closes the stale ones that it
  /// finds; null if there is no usable one. Sets exchange.connection_dropped if
  /// the target had closed a connection before its idle timeout.
  std::shared_ptr<Connection> TakeIdleConnection(TargetExchange& exchange);
  Awaitable<> Transfer(std::shared_ptr<Connection> connection,
                       TimePoint deadline,
                       std::shared_ptr<Cancellation> cancellation,
                       HttpRequest request,
                       const HeaderCheck& accepts,
                       TargetExchange& exchange);
  /// Sets how an exchange ends whose response could not be read.
  void EndWithError(const ErrorCode& error,
                    const Cancellation& cancellation,
                    TargetExchange& exchange);

  asio::io_context& context;
  Address address;
  std::uint64_t body_limit;
  MemoryBudget* memory;
  std::list<std::shared_ptr<Connection>> idle_connections;
  int connection_count = 0;
  std::uint64_t invalid_responses = 0;
};

}  // namespace daisywinch

#endif  // DAISYWINCH_TRANSPORT_TARGET_CLIENT_H
