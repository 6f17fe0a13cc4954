#include "transport/target_client.h"

#include <sys/socket.h>

#include <algorithm>
#include <cerrno>
#include <charconv>
#include <string_view>
#include <utility>

#include <boost/asio/post.hpp>
#include <boost/beast/core/error.hpp>

#include "transport/body_reader.h"
#include "transport/message_check.h"
#include "transport/message_reader.h"

namespace daisywinch {

namespace {

using End = TargetExchange::End;

/// Time before the announced idle timeout at which a connection is no longer
/// used, so that a request is not sent while the target closes it.
constexpr std::chrono::milliseconds kIdleMargin{1000};

/// The idle timeout in the Keep-Alive field of a response, in seconds, as in
/// "timeout=10"; Duration::max() if there is none.
Duration IdleTimeoutOf(const HttpResponse& response) {
  constexpr std::string_view kName = "timeout=";
  const std::string_view text = response[http::field::keep_alive];
  const std::size_t start = text.find(kName);
  if (start == std::string_view::npos) {
    return Duration::max();
  }
  int seconds = 0;
  const char* first = text.data() + start + kName.size();
  const std::from_chars_result result =
      std::from_chars(first, text.data() + text.size(), seconds);
  return result.ec == std::errc() ? Duration(std::chrono::seconds(seconds))
                                  : Duration::max();
}

/// Whether the peer closed an idle connection or sent unsolicited bytes.
bool IsStale(Tcp::socket& socket) {
  char byte = 0;
  const ssize_t count = ::recv(socket.native_handle(), &byte, sizeof(byte),
                               MSG_PEEK | MSG_DONTWAIT);
  return count >= 0 || errno != EAGAIN;
}

End EndFor(const ErrorCode& error, const Cancellation& cancellation) {
  if (cancellation.IsCancelled()) {
    return End::kCancelled;
  }
  if (error == boost::beast::error::timeout) {
    return End::kDeadlinePassed;
  }
  if (error == http::error::body_limit || error == http::error::header_limit) {
    return End::kResponseTooLarge;
  }
  if (error == http::error::bad_status || error == http::error::bad_obs_fold ||
      error == http::error::bad_transfer_encoding) {
    return End::kResponseInvalid;
  }
  return End::kResponseLost;
}

}  // namespace

TargetClient::TargetClient(asio::io_context& context,
                           const Address& address,
                           std::uint64_t body_limit,
                           MemoryBudget* memory)
    : context(context),
      address(address),
      body_limit(body_limit),
      memory(memory) {}

Awaitable<TargetExchange> TargetClient::Send(
    HttpRequest request,
    TimePoint deadline,
    std::shared_ptr<Cancellation> cancellation,
    HeaderCheck accepts) {
  TargetExchange exchange;
  std::shared_ptr<Connection> connection = this->TakeIdleConnection(exchange);
  const bool is_new = connection == nullptr;
  if (is_new) {
    connection = std::make_shared<Connection>(this->context);
    ++this->connection_count;
  }
  const CancellationScope scope(cancellation,
                                [connection] { connection->stream.close(); });
  // tcp_stream uses the steady clock instead of BootTime, so the deadline is
  // passed as a duration.
  connection->stream.expires_after(deadline - BootTime::now());
  ErrorCode error;
  if (is_new) {
    co_await connection->stream.async_connect(ToEndpoint(this->address),
                                              Await(error));
    exchange.connection_refused = error == asio::error::connection_refused;
    exchange.connection_dropped |= exchange.connection_refused;
  }
  if (cancellation->IsCancelled()) {
    exchange.end = End::kWithdrawn;
  } else if (!error) {
    connection->stream.socket().set_option(Tcp::no_delay(true), error);
    co_await this->Transfer(connection, deadline, cancellation,
                            std::move(request), accepts, exchange);
  }
  // A connection with bytes after the response is not reused, because they
  // belong to no request.
  const bool reusable = exchange.end == End::kAnswered &&
                        exchange.response.keep_alive() &&
                        connection->buffer.size() == 0;
  if (reusable) {
    connection->stream.expires_never();
    connection->idle_since = BootTime::now();
    connection->idle_timeout = IdleTimeoutOf(exchange.response);
    exchange.connection = connection;
    this->idle_connections.push_front(connection);
  } else {
    connection->stream.close();
    --this->connection_count;
  }
  co_return exchange;
}

Awaitable<> TargetClient::Transfer(std::shared_ptr<Connection> connection,
                                   TimePoint deadline,
                                   std::shared_ptr<Cancellation> cancellation,
                                   HttpRequest request,
                                   const HeaderCheck& accepts,
                                   TargetExchange& exchange) {
  ErrorCode error;
  co_await http::async_write(connection->stream, request, Await(error));
  if (error) {
    // Some bytes may have been sent before the error.
    exchange.end = EndFor(error, *cancellation);
    co_return;
  }
  request.body() = std::string();
  http::response_parser<http::string_body> parser;
  parser.header_limit(kHeaderLimit);
  parser.body_limit(this->body_limit);
  if (request.method() == http::verb::head) {
    parser.skip(true);
  }
  co_await ReadHeader(connection->stream, connection->buffer, parser, error);
  if (!error) {
    error = CheckResponseHeader(parser);
  }
  if (!error && accepts && !accepts(parser.get().base())) {
    exchange.end = End::kResponseInvalid;
    co_return;
  }
  MemoryBudget::Holder holder(this->memory, "response", [connection] {
    asio::post(connection->stream.get_executor(),
               [connection] { connection->stream.close(); });
  });
  if (!error) {
    co_await ReadBody(connection->stream, connection->buffer, parser, deadline,
                      1, holder, error);
  }
  if (holder.IsBrokenOff()) {
    exchange.end = End::kResponseTooLarge;
    co_return;
  }
  if (error) {
    this->EndWithError(error, *cancellation, exchange);
    co_return;
  }
  exchange.end = End::kAnswered;
  exchange.response = parser.release();
}

void TargetClient::EndWithError(const ErrorCode& error,
                                const Cancellation& cancellation,
                                TargetExchange& exchange) {
  exchange.end = EndFor(error, cancellation);
  if (exchange.end != End::kCancelled && IsInvalidMessage(error)) {
    exchange.fault = error.message();
    ++this->invalid_responses;
  }
}

std::shared_ptr<TargetClient::Connection> TargetClient::TakeIdleConnection(
    TargetExchange& exchange) {
  while (!this->idle_connections.empty()) {
    std::shared_ptr<Connection> connection = this->idle_connections.front();
    this->idle_connections.pop_front();
    const Duration idle = BootTime::now() - connection->idle_since;
    const bool is_expired = idle > connection->idle_timeout - kIdleMargin;
    if (!is_expired && !IsStale(connection->stream.socket())) {
      return connection;
    }
    exchange.connection_dropped |= !is_expired;
    connection->stream.close();
    --this->connection_count;
  }
  return nullptr;
}

void TargetClient::DiscardConnection(TargetExchange& exchange) {
  const std::shared_ptr<void> discarded = exchange.connection.lock();
  const auto found =
      std::find_if(this->idle_connections.begin(), this->idle_connections.end(),
                   [&discarded](const std::shared_ptr<Connection>& connection) {
                     return discarded != nullptr && connection == discarded;
                   });
  if (found != this->idle_connections.end()) {
    (*found)->stream.close();
    --this->connection_count;
    this->idle_connections.erase(found);
  }
}

void TargetClient::CloseIdleConnections() {
  for (const std::shared_ptr<Connection>& connection : this->idle_connections) {
    connection->stream.close();
    --this->connection_count;
  }
  this->idle_connections.clear();
}

}  // namespace daisywinch
