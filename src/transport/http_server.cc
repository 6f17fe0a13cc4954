#include "transport/http_server.h"

#include <sys/socket.h>

#include <cerrno>
#include <limits>
#include <optional>
#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/beast/core/error.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>

#include "transport/body_reader.h"
#include "transport/listen.h"
#include "transport/message_check.h"
#include "transport/message_reader.h"

namespace daisywinch {

namespace {

constexpr std::size_t kReadSize = 8 * 1024;
/// Maximum number of buffered bytes that follow a request in progress. The end
/// of a connection behind more bytes is noticed after the response.
constexpr std::size_t kMaxReadAhead = 64 * 1024;
/// A second copy of a request exists while it is sent to a target.
constexpr std::size_t kRequestCopies = 2;
constexpr std::chrono::milliseconds kAcceptRetryDelay{50};
/// Maximum time for which a connection that this server closes is kept for the
/// caller to read the response.
constexpr std::chrono::seconds kLingerTime{1};
/// Time in which the first request must begin to arrive on a connection that is
/// new when the server shuts down.
constexpr std::chrono::milliseconds kFirstRequestTime{200};
constexpr std::chrono::milliseconds kShutdownCheckInterval{10};

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
  /// What the connection waits for.
  enum class State { kFirstRequest, kNextRequest, kInRequest, kClosing };

  explicit Connection(Tcp::socket socket) : stream(std::move(socket)) {}

  /// Whether bytes have arrived that were not read yet.
  bool HasUnreadBytes() {
    char byte = 0;
    return ::recv(this->stream.socket().native_handle(), &byte, sizeof(byte),
                  MSG_PEEK | MSG_DONTWAIT) > 0;
  }

  /// Reads the bytes that have arrived into the buffer, without waiting, and
  /// notices if the caller has ended the connection behind them.
  void ReadAhead() {
    while (!this->has_ended && this->buffer.size() < kMaxReadAhead) {
      const asio::mutable_buffer space = this->buffer.prepare(kReadSize);
      const ssize_t count = ::recv(this->stream.socket().native_handle(),
                                   space.data(), space.size(), MSG_DONTWAIT);
      if (count < 0 && (errno == EAGAIN || errno == EINTR)) {
        return;
      }
      this->has_ended = count <= 0;
      this->buffer.commit(count > 0 ? static_cast<std::size_t>(count) : 0);
    }
  }

  boost::beast::tcp_stream stream;
  boost::beast::flat_buffer buffer{kMaxBufferedBytes};
  /// The caller has closed the connection and waits for no response.
  bool has_ended = false;
  State state = State::kFirstRequest;
  /// Cancels the request in progress; null if there is none.
  std::shared_ptr<Cancellation> cancellation;
};

HttpServer::HttpServer(asio::io_context& context,
                       const HttpLimits& limits,
                       Handler handler)
    : context(context),
      limits(limits),
      handler(std::move(handler)),
      acceptor(context) {}

ErrorCode HttpServer::Listen(const Address& address) {
  ErrorCode error = ListenOn(this->acceptor, address);
  if (!error) {
    this->acceptor.non_blocking(true, error);
  }
  if (!error) {
    asio::co_spawn(this->context, this->Accept(), asio::detached);
  }
  return error;
}

Awaitable<int> HttpServer::ShutDown(TimePoint deadline) {
  using State = Connection::State;
  const TimePoint started = BootTime::now();
  this->AnnounceClose();
  // Not limited: closing the socket would reset those that are left.
  this->AcceptQueued(std::numeric_limits<std::size_t>::max());
  ErrorCode ignored;
  this->acceptor.close(ignored);
  int cancelled_count = 0;
  while (!this->connections.empty() && BootTime::now() < deadline) {
    const TimePoint now = BootTime::now();
    for (const std::shared_ptr<Connection>& connection : this->connections) {
      const bool is_idle = connection->state == State::kNextRequest ||
                           (connection->state == State::kFirstRequest &&
                            now >= started + kFirstRequestTime);
      if (is_idle && !connection->HasUnreadBytes()) {
        connection->stream.cancel();
      } else if (connection->cancellation &&
                 !connection->cancellation->IsCancelled() &&
                 now >= deadline - kCancellationMargin) {
        connection->cancellation->Cancel(CancellationCause::kShutdown);
        ++cancelled_count;
      }
    }
    Timer timer(this->context, kShutdownCheckInterval);
    co_await timer.async_wait(Await(ignored));
  }
  co_return cancelled_count;
}

Awaitable<> HttpServer::Accept() {
  while (this->acceptor.is_open()) {
    ErrorCode error;
    co_await this->acceptor.async_wait(Tcp::acceptor::wait_read, Await(error));
    const bool has_room =
        this->connections.size() < this->limits.max_connections;
    if (has_room && this->AcceptQueued(this->limits.max_connections)) {
      continue;
    }
    this->CloseLongestIdle();
    Timer timer(this->context, kAcceptRetryDelay);
    co_await timer.async_wait(Await(error));
  }
}

bool HttpServer::AcceptQueued(std::size_t max_connections) {
  ErrorCode error;
  while (!error && this->connections.size() < max_connections) {
    Tcp::socket socket(this->context);
    this->acceptor.accept(socket, error);
    if (!error) {
      this->Start(std::move(socket));
    }
  }
  return !error || error == asio::error::would_block ||
         error == asio::error::connection_aborted;
}

void HttpServer::Start(Tcp::socket socket) {
  ErrorCode ignored;
  socket.set_option(Tcp::no_delay(true), ignored);
  const ConnectionList::iterator position = this->connections.insert(
      this->connections.end(), std::make_shared<Connection>(std::move(socket)));
  asio::co_spawn(this->context, this->Serve(position), asio::detached);
}

void HttpServer::CloseLongestIdle() {
  using State = Connection::State;
  for (const std::shared_ptr<Connection>& connection : this->connections) {
    if (connection->state == State::kClosing) {
      return;
    }
    if (connection->state == State::kNextRequest &&
        !connection->HasUnreadBytes()) {
      connection->stream.cancel();
      return;
    }
  }
}

Awaitable<> HttpServer::Serve(ConnectionList::iterator position) {
  const std::shared_ptr<Connection> connection = *position;
  bool keep_alive = true;
  while (keep_alive && !connection->has_ended) {
    HttpRequest request;
    MemoryBudget::Holder memory(this->limits.memory, "request", [connection] {
      asio::post(connection->stream.get_executor(),
                 [connection] { connection->stream.cancel(); });
    });
    const bool has_request = co_await this->WaitForRequest(*connection);
    connection->state = Connection::State::kInRequest;
    const bool was_read =
        has_request && co_await this->Read(*connection, request, memory);
    if (!was_read) {
      break;
    }
    keep_alive = request.keep_alive();
    connection->cancellation = std::make_shared<Cancellation>();
    connection->ReadAhead();
    if (connection->has_ended) {
      connection->cancellation->Cancel(CancellationCause::kCallerLeft);
    }
    asio::co_spawn(
        this->context,
        this->WatchForDisconnect(connection, connection->cancellation),
        asio::detached);
    HttpResponse response =
        co_await this->handler(std::move(request), connection->cancellation);
    connection->cancellation.reset();
    ErrorCode ignored;
    connection->stream.socket().cancel(ignored);
    keep_alive = keep_alive && !this->is_closing_announced;
    response.keep_alive(keep_alive);
    memory.Resize(response.body().capacity());
    const bool was_written =
        co_await this->Write(*connection, std::move(response));
    keep_alive = keep_alive && was_written;
    connection->state = Connection::State::kNextRequest;
    this->connections.splice(this->connections.end(), this->connections,
                             position);
  }
  connection->state = Connection::State::kClosing;
  co_await this->Close(*connection);
  this->connections.erase(position);
}

Awaitable<bool> HttpServer::WaitForRequest(Connection& connection) {
  ErrorCode error;
  if (connection.buffer.size() > 0) {
    co_return true;
  }
  connection.stream.expires_after(this->limits.idle_timeout);
  const std::size_t count = co_await connection.stream.async_read_some(
      connection.buffer.prepare(kReadSize), Await(error));
  connection.buffer.commit(count);
  // A request may have arrived after the wait was cancelled.
  co_return !error ||
      (error == asio::error::operation_aborted && connection.HasUnreadBytes());
}

Awaitable<bool> HttpServer::Read(Connection& connection,
                                 HttpRequest& request,
                                 MemoryBudget::Holder& memory) {
  ErrorCode error;
  http::request_parser<http::string_body> parser;
  parser.header_limit(this->limits.header_bytes);
  parser.body_limit(this->limits.body_bytes);
  const TimePoint deadline = BootTime::now() + this->limits.transfer_timeout;
  connection.stream.expires_after(this->limits.transfer_timeout);
  co_await ReadHeader(connection.stream, connection.buffer, parser, error);
  if (!error) {
    error = CheckRequestHeader(parser.get().base());
  }
  if (!error) {
    co_await ReadBody(connection.stream, connection.buffer, parser, deadline,
                      kRequestCopies, memory, error);
  }
  memory.Keep();
  if (!error && !memory.IsBrokenOff()) {
    request = parser.release();
    co_return true;
  }
  const std::optional<RefusalReason> reason =
      memory.IsBrokenOff() ? RefusalReason::kNoMemory : ReasonFor(error);
  parser.get().body() = std::string();
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
  Tcp::socket& socket = connection->stream.socket();
  while (!connection->has_ended && connection->buffer.size() < kMaxReadAhead) {
    ErrorCode error;
    co_await socket.async_wait(Tcp::socket::wait_read, Await(error));
    const bool is_in_progress = connection->cancellation == cancellation;
    if (error || !is_in_progress) {
      co_return;
    }
    connection->ReadAhead();
  }
  if (connection->has_ended) {
    cancellation->Cancel(CancellationCause::kCallerLeft);
  }
}

}  // namespace daisywinch
