#ifndef DAISYWINCH_TRANSPORT_HTTP_SERVER_H
#define DAISYWINCH_TRANSPORT_HTTP_SERVER_H

#include <cstddef>
#include <cstdint>
#include <functional>
#include <list>
#include <memory>

#include "state/memory_budget.h"
#include "transport/asio.h"
#include "transport/cancellation.h"
#include "transport/http.h"

namespace daisywinch {

/// Resource limits of a server and its connections.
struct HttpLimits {
  std::uint32_t header_bytes = 16 * 1024;
  std::uint64_t body_bytes = 4 * 1024 * 1024;
  std::size_t max_connections = 4096;
  Duration idle_timeout = std::chrono::seconds(60);
  /// Timeout for reading a whole request, and for writing a response.
  Duration transfer_timeout = std::chrono::seconds(10);
  /// Counts the requests and responses; null means no limit.
  MemoryBudget* memory = nullptr;
};

/// HTTP/1.1 server on one address that handles each request in a coroutine.
///
/// While HttpLimits::max_connections are open, a new connection replaces the
/// one that has been idle for longest; if none is idle, it waits to be
/// accepted.
///
/// All methods run on the thread of the context.
class HttpServer {
 public:
  /// Time before the deadline of a shutdown at which the requests in progress
  /// are cancelled.
  static constexpr std::chrono::milliseconds kCancellationMargin{100};

  /// Produces the response to one request. The cancellation fires when the
  /// caller closes the connection, and shortly before a shutdown ends. If the
  /// caller closed it before its request was read, the request is cancelled
  /// from the beginning and must not be started.
  using Handler =
      std::function<Awaitable<HttpResponse>(HttpRequest,
                                            std::shared_ptr<Cancellation>)>;

  HttpServer(asio::io_context& context,
             const HttpLimits& limits,
             Handler handler);

  /// Starts to listen; returns the error if the address cannot be bound.
  ErrorCode Listen(const Address& address);

  /// From now on closes each connection after its next response, which says so.
  /// Idle connections stay open for their next request.
  void AnnounceClose() { this->is_closing_announced = true; }

  /// Stops listening and returns when all connections are closed, or at the
  /// deadline.
  ///
  /// Connections that wait in the accept queue are accepted first. Each request
  /// of which the first byte has arrived is handled and gets its response;
  /// connections without one are closed. Requests that are still in progress
  /// shortly before the deadline are cancelled, so that they get a response;
  /// returns their number.
  Awaitable<int> ShutDown(TimePoint deadline);

 private:
  struct Connection;
  using ConnectionList = std::list<std::shared_ptr<Connection>>;

  Awaitable<> Accept();
  /// Accepts connections from the accept queue until it is empty or
  /// `max_connections` are open. Returns false if that failed, such as for lack
  /// of file descriptors.
  bool AcceptQueued(std::size_t max_connections);
  void Start(Tcp::socket socket);
  /// Closes the connection that has been idle for longest, unless one is being
  /// closed already.
  void CloseLongestIdle();
  Awaitable<> Serve(ConnectionList::iterator position);
  /// Waits for the first byte of the next request. Returns false if the
  /// connection must be closed.
  Awaitable<bool> WaitForRequest(Connection& connection);
  /// Reads one request. Returns false if the connection must be closed; a
  /// refusal has then been sent where the error allows it.
  Awaitable<bool> Read(Connection& connection,
                       HttpRequest& request,
                       MemoryBudget::Holder& memory);
  Awaitable<bool> Write(Connection& connection, HttpResponse response);
  /// Ends the sent bytes and waits for the caller to close the connection.
  /// Closing it while received bytes are unread would reset it, and the caller
  /// would lose the end of the response.
  Awaitable<> Close(Connection& connection);
  /// Fires the cancellation when the caller closes the connection during a
  /// request. Bytes of its next requests are read into the buffer meanwhile.
  Awaitable<> WatchForDisconnect(std::shared_ptr<Connection> connection,
                                 std::shared_ptr<Cancellation> cancellation);

  asio::io_context& context;
  HttpLimits limits;
  Handler handler;
  Tcp::acceptor acceptor;
  /// Open connections; idle ones in the order in which they became idle.
  ConnectionList connections;
  bool is_closing_announced = false;
};

}  // namespace daisywinch

#endif  // DAISYWINCH_TRANSPORT_HTTP_SERVER_H
