#ifndef DAISYWINCH_TRANSPORT_TARGET_CLIENT_H
#define DAISYWINCH_TRANSPORT_TARGET_CLIENT_H

#include <cstdint>
#include <list>
#include <memory>

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>

#include "transport/asio.h"
#include "transport/cancellation.h"
#include "transport/http.h"

namespace daisywinch {

/// How an exchange with a target ended.
struct TargetExchange {
  enum class End {
    kAnswered,
    /// No byte of the request was handed to the operating system.
    kNotSent,
    /// The connection ended before the whole answer came.
    kResponseLost,
    kDeadlinePassed,
    kCancelled,
    kResponseTooLarge,
  };

  End end = End::kNotSent;
  HttpResponse response;
  /// The target closed connections before their idle time, or refused a new
  /// one.
  bool connection_dropped = false;
  /// Names the connection for DiscardConnection().
  std::weak_ptr<void> connection;
};

/// Sends requests to the target beside this node over pooled connections.
///
/// A connection on which a request was abandoned is closed and never used
/// again, so that no answer reaches another request.
class TargetClient {
 public:
  TargetClient(asio::io_context& context,
               const Address& address,
               std::uint64_t body_limit);

  Awaitable<TargetExchange> Send(HttpRequest request,
                                 TimePoint deadline,
                                 std::shared_ptr<Cancellation> cancellation);

  /// Drops the connection of the last exchange: what came on it was no answer.
  void DiscardConnection(TargetExchange& exchange);

  /// Open connections, idle ones included.
  int ConnectionCount() const { return this->connection_count; }
  void CloseIdleConnections();

 private:
  struct Connection {
    explicit Connection(asio::io_context& context) : stream(context) {}

    boost::beast::tcp_stream stream;
    boost::beast::flat_buffer buffer;
    TimePoint idle_since;
    /// Time after which the target closes the idle connection.
    Duration idle_timeout = Duration::max();
  };

  /// Takes an idle connection that the target has not closed.
  std::shared_ptr<Connection> TakeIdleConnection(TargetExchange& exchange);
  Awaitable<> Transfer(std::shared_ptr<Connection> connection,
                       std::shared_ptr<Cancellation> cancellation,
                       HttpRequest request,
                       TargetExchange& exchange);

  asio::io_context& context;
  Address address;
  std::uint64_t body_limit;
  std::list<std::shared_ptr<Connection>> idle_connections;
  int connection_count = 0;
};

}  // namespace daisywinch

#endif  // DAISYWINCH_TRANSPORT_TARGET_CLIENT_H
