#include "transport/http_server.h"

#include "transport/listen.h"

#include <sys/socket.h>

#include <cerrno>
#include <optional>
#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/beast/core/error.hpp>

namespace daisywinch {

namespace {

constexpr std::size_t kReadSize = 8 * 1024;
constexpr std::chrono::milliseconds kAcceptRetryDelay{50};
/// Maximum time for which a connection that this server closes is kept for the
/// caller to read the response.
constexpr std::chrono::seconds kLingerTime{1};

/// The refusal reason for a request that could not be parsed; nothing if no
/// response can be sent for the error.
std::optional<RefusalReason> ReasonFor(const ErrorCode& error) {
  if (error == http::error::header_limit) {
    return RefusalReason::kHeaderTooLarge;
  }
  if (error == http::error::body_limit) {
    return RefusalReason::kBodyTooLarge;
  }
  if (error.category() ==
          http::make_error_code(http::error::bad_method).category() &&
      error != http::error::end_of_stream &&
      error != http::error::partial_message) {
    return RefusalReason::kMalformedRequest;
  }
  return std::nullopt;
}

}  // namespace

struct HttpServer::Connection {
  explicit Connection(Tcp::socket socket) : stream(std::move(socket)) {}

  boost::beast::tcp_stream stream;
  boost::beast::flat_buffer buffer;
  bool busy = false;
};

HttpServer::HttpServer(asio::io_context& context,
                       const HttpLimits& limits,
                       Handler handler)
    : context(context),
      limits(limits),
      handler(std::move(handler)),
      acceptor(context) {}

ErrorCode HttpServer::Listen(const Address& address) {
  const ErrorCode error = ListenOn(this->acceptor, address);
  if (!error) {
    asio::co_spawn(this->context, this->Accept(), asio::detached);
  }
  return error;
}

void HttpServer::Stop() {
  this->stopping = true;
  ErrorCode ignored;
  this->acceptor.close(ignored);
  for (const std::weak_ptr<Connection>& weak : this->connections) {
    const std::shared_ptr<Connection> connection = weak.lock();
    if (connection && !connection->busy) {
      connection->stream.close();
    }
  }
}

Awaitable<> HttpServer::Accept() {
  while (!this->stopping) {
    ErrorCode error;
    Tcp::socket socket(this->context);
    co_await this->acceptor.async_accept(socket, Await(error));
    if (this->stopping) {
      co_return;
    }
    if (error) {
      // The process has probably run out of file descriptors; wait to avoid a
      // busy loop.
      Timer timer(this->context, kAcceptRetryDelay);
      co_await timer.async_wait(Await(error));
      continue;
    }
    if (this->connection_count >= this->limits.max_connections) {
      continue;
    }
    socket.set_option(Tcp::no_delay(true), error);
    const std::shared_ptr<Connection> connection =
        std::make_shared<Connection>(std::move(socket));
    asio::co_spawn(this->context, this->Serve(connection), asio::detached);
  }
}

Awaitable<> HttpServer::Serve(std::shared_ptr<Connection> connection) {
  const auto position =
      this->connections.insert(this->connections.end(), connection);
  ++this->connection_count;
  while (!this->stopping) {
    HttpRequest request;
    const bool was_read = co_await this->Read(*connection, request);
    if (!was_read) {
      break;
    }
    connection->busy = true;
    ++this->requests_in_progress;
    const bool keep_alive = request.keep_alive();
    const std::shared_ptr<Cancellation> cancellation =
        std::make_shared<Cancellation>();
    asio::co_spawn(this->context,
                   this->WatchForDisconnect(connection, cancellation),
                   asio::detached);
    HttpResponse response =
        co_await this->handler(std::move(request), cancellation);
    ErrorCode ignored;
    connection->stream.socket().cancel(ignored);
    response.keep_alive(keep_alive && !this->stopping);
    const bool was_written =
        co_await this->Write(*connection, std::move(response));
    --this->requests_in_progress;
    connection->busy = false;
    if (!was_written || !keep_alive) {
      break;
    }
  }
  co_await this->Close(*connection);
  --this->connection_count;
  this->connections.erase(position);
}

Awaitable<bool> HttpServer::Read(Connection& connection, HttpRequest& request) {
  ErrorCode error;
  if (connection.buffer.size() == 0) {
    connection.stream.expires_after(this->limits.idle_timeout);
    const std::size_t count = co_await connection.stream.async_read_some(
        connection.buffer.prepare(kReadSize), Await(error));
    connection.buffer.commit(count);
    if (error) {
      co_return false;
    }
  }
  http::request_parser<http::string_body> parser;
  parser.header_limit(this->limits.header_bytes);
  parser.body_limit(this->limits.body_bytes);
  connection.stream.expires_after(this->limits.transfer_timeout);
  co_await http::async_read(connection.stream, connection.buffer, parser,
                            Await(error));
  if (!error) {
    request = parser.release();
    co_return true;
  }
  const std::optional<RefusalReason> reason = ReasonFor(error);
  if (reason) {
    HttpResponse problem = MakeProblem(Describe(*reason));
    problem.keep_alive(false);
    co_await this->Write(connection, std::move(problem));
  }
  co_return false;
}

Awaitable<bool> HttpServer::Write(Connection& connection,
                                  HttpResponse response) {
  ErrorCode error;
  connection.stream.expires_after(this->limits.transfer_timeout);
  co_await http::async_write(connection.stream, response, Await(error));
  co_return !error;
}

Awaitable<> HttpServer::Close(Connection& connection) {
  ErrorCode error;
  connection.stream.socket().shutdown(Tcp::socket::shutdown_send, error);
  connection.stream.expires_after(kLingerTime);
  while (!error) {
    connection.buffer.clear();
    co_await connection.stream.async_read_some(
        connection.buffer.prepare(kReadSize), Await(error));
  }
  connection.stream.close();
}

Awaitable<> HttpServer::WatchForDisconnect(
    std::shared_ptr<Connection> connection,
    std::shared_ptr<Cancellation> cancellation) {
  ErrorCode error;
  Tcp::socket& socket = connection->stream.socket();
  co_await socket.async_wait(Tcp::socket::wait_read, Await(error));
  if (error) {
    co_return;
  }
  char byte = 0;
  const ssize_t count = ::recv(socket.native_handle(), &byte, sizeof(byte),
                               MSG_PEEK | MSG_DONTWAIT);
  const bool has_data = count > 0 || (count < 0 && errno == EAGAIN);
  if (!has_data) {
    cancellation->Cancel();
  }
}

}  // namespace daisywinch
