#include "support/http_caller.h"

#include <boost/asio/connect.hpp>
#include <boost/asio/write.hpp>

namespace daisywinch::test {

HttpRequest MakeRequest(const Call& call) {
  HttpRequest request;
  request.version(11);
  request.method_string(call.method);
  request.target(call.path);
  if (!call.key.empty()) {
    request.set(http::field::authorization, "Bearer " + call.key);
  }
  if (!call.idempotency_key.empty()) {
    request.set(kIdempotencyKeyHeader, call.idempotency_key);
  }
  for (const auto& [name, value] : call.headers) {
    request.set(name, value);
  }
  request.body() = call.body;
  return request;
}

HttpResponse Send(const Address& address, const Call& call, Duration timeout) {
  FetchLimits limits;
  limits.timeout = timeout;
  ErrorCode error;
  std::optional<HttpResponse> response =
      FetchBlocking(address, MakeRequest(call), limits, error);
  if (response) {
    return std::move(*response);
  }
  HttpResponse no_response;
  no_response.result(0);
  return no_response;
}

std::string SendRaw(const Address& address,
                    const std::string& bytes,
                    Duration timeout) {
  asio::io_context context(1);
  Tcp::socket socket(context);
  ErrorCode error;
  socket.connect(ToEndpoint(address), error);
  if (error) {
    return {};
  }
  std::string received;
  std::string buffer(4096, '\0');
  const std::function<void()> read = [&] {
    socket.async_read_some(asio::buffer(buffer),
                           [&](const ErrorCode& failure, std::size_t count) {
                             received.append(buffer.data(), count);
                             if (!failure) {
                               read();
                             }
                           });
  };
  read();
  asio::async_write(socket, asio::buffer(bytes),
                    [](const ErrorCode&, std::size_t) {});
  context.run_for(timeout);
  return received;
}

boost::json::value GetJson(const Address& address, const std::string& path) {
  Call call;
  call.path = path;
  const HttpResponse response = Send(address, call);
  boost::json::error_code error;
  return boost::json::parse(response.body(), error);
}

}  // namespace daisywinch::test
