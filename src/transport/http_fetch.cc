#include "transport/http_fetch.h"

#include <exception>
#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>

#include "transport/message_check.h"
#include "transport/message_reader.h"
#include "transport/tcp_keep_alive.h"

namespace daisywinch {

Awaitable<std::optional<HttpResponse>> Fetch(asio::io_context& context,
                                             Address address,
                                             HttpRequest request,
                                             FetchLimits limits,
                                             ErrorCode& error) {
  boost::beast::tcp_stream stream(context);
  stream.expires_after(limits.timeout);
  co_await stream.async_connect(ToEndpoint(address), Await(error));
  if (error) {
    co_return std::nullopt;
  }
  if (limits.tcp_keep_alive) {
    EnableTcpKeepAlive(stream.socket());
  }
  if (request.find(http::field::host) == request.end()) {
    request.set(http::field::host, address.ToString());
  }
  request.prepare_payload();
  co_await http::async_write(stream, request, Await(error));
  if (error) {
    co_return std::nullopt;
  }
  boost::beast::flat_buffer buffer;
  http::response_parser<http::string_body> parser;
  parser.body_limit(limits.body_bytes);
  co_await ReadHeader(stream, buffer, parser, error);
  if (!error) {
    error = CheckResponseHeader(parser);
  }
  while (!error && !parser.is_done()) {
    co_await ReadSome(stream, buffer, parser, error);
  }
  if (error) {
    co_return std::nullopt;
  }
  co_return parser.release();
}

std::optional<HttpResponse> FetchBlocking(const Address& address,
                                          const HttpRequest& request,
                                          const FetchLimits& limits,
                                          ErrorCode& error) {
  asio::io_context context(1);
  std::optional<HttpResponse> response;
  asio::co_spawn(
      context, Fetch(context, address, request, limits, error),
      [&response](std::exception_ptr, std::optional<HttpResponse> result) {
        response = std::move(result);
      });
  context.run();
  return response;
}

}  // namespace daisywinch
