#ifndef DAISYWINCH_TRANSPORT_HTTP_SERVER_H
#define DAISYWINCH_TRANSPORT_HTTP_SERVER_H

#include <atomic>
#include <cstdint>
#include <functional>
#include <list>
#include <memory>

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>

#include "transport/asio.h"
#include "transport/cancellation.h"
#include "transport/http.h"

namespace daisywinch {

/// Resource limits of a server and its connections.
struct HttpLimits {
  std::uint32_t header_bytes = 16 * 1024;
  std::uint64_t body_bytes = 4 * 1024 * 1024;
  int max_connections = 4096;
  Duration idle_timeout = std::chrono::seconds(60);
  /// Timeout for reading a whole request, and for writing a response.
  Duration transfer_timeout = std::chrono::seconds(10);
};

/// HTTP/1.1 server on one address that handles each request in a coroutine.
/// Connections above HttpLimits::max_connections are closed at once.
///
/// All methods but RequestsInProgress() run on the thread of the context.
class HttpServer {
 public:
  /// Produces the response to one request. The cancellation fires when the
  /// caller closes the connection.
  using Handler =
      std::function<Awaitable<HttpResponse>(HttpRequest,
                                            std::shared_ptr<Cancellation>)>;

  HttpServer(asio::io_context& context,
             const HttpLimits& limits,
             Handler handler);

  /// Starts to listen; returns the error if the address cannot be bound.
  ErrorCode Listen(const Address& address);

  /// Accepts no new connections and closes idle ones. A connection with a
  /// request in progress is closed after its response.
  void Stop();

  /// Number of requests whose response has not been written yet. Thread-safe.
  int RequestsInProgress() const { return this->requests_in_progress; }

 private:
  struct Connection;

  Awaitable<> Accept();
  Awaitable<> Serve(std::shared_ptr<Connection> connection);
  /// Reads one request. Returns false if the connection must be closed; a
  /// refusal has then been sent where the error allows it.
  Awaitable<bool> Read(Connection& connection, HttpRequest& request);
  Awaitable<bool> Write(Connection& connection, HttpResponse response);
  /// Ends the sent bytes and waits for the caller to close the connection.
  /// Closing it while received bytes are unread would reset it, and the caller
  /// would lose the end of the response.
  Awaitable<> Close(Connection& connection);
  /// Fires the cancellation when the caller closes the connection during a
  /// request.
  Awaitable<> WatchForDisconnect(std::shared_ptr<Connection> connection,
                                 std::shared_ptr<Cancellation> cancellation);

  asio::io_context& context;
  HttpLimits limits;
  Handler handler;
  Tcp::acceptor acceptor;
  std::list<std::weak_ptr<Connection>> connections;
  int connection_count = 0;
  std::atomic<int> requests_in_progress = 0;
  bool stopping = false;
};

}  // namespace daisywinch

#endif  // DAISYWINCH_TRANSPORT_HTTP_SERVER_H
