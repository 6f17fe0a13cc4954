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

/// Bounds on what one connection may cost.
struct HttpLimits {
  std::uint32_t header_bytes = 16 * 1024;
  std::uint64_t body_bytes = 4 * 1024 * 1024;
  int max_connections = 4096;
  Duration idle_timeout = std::chrono::seconds(60);
  /// Longest time for a whole request to arrive and for an answer to be taken.
  Duration transfer_timeout = std::chrono::seconds(10);
};

/// HTTP/1.1 server on one address; answers each request by a coroutine.
///
/// Everything but RequestsInProgress() is for the thread of the given context.
class HttpServer {
 public:
  /// Answers one request; the cancellation fires when the caller hangs up.
  using Handler =
      std::function<Awaitable<HttpResponse>(HttpRequest,
                                            std::shared_ptr<Cancellation>)>;

  HttpServer(asio::io_context& context,
             const HttpLimits& limits,
             Handler handler);

  /// Starts to listen; returns the error if the address cannot be used.
  ErrorCode Listen(const Address& address);

  /// Takes no new connections and closes each one when its request is done.
  void Stop();

  /// Requests that were read and not yet answered.
  int RequestsInProgress() const { return this->requests_in_progress; }

 private:
  struct Connection;

  Awaitable<> Accept();
  Awaitable<> Serve(std::shared_ptr<Connection> connection);
  /// Reads one request; returns false when the connection is to be closed.
  Awaitable<bool> Read(Connection& connection, HttpRequest& request);
  Awaitable<bool> Write(Connection& connection, HttpResponse response);
  /// Cancels the request when the caller closes the connection.
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
