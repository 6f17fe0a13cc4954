#ifndef DAISYWINCH_TRANSPORT_HTTP_FETCH_H
#define DAISYWINCH_TRANSPORT_HTTP_FETCH_H

#include <cstdint>
#include <optional>
#include <string>

#include "transport/asio.h"
#include "transport/http.h"

namespace daisywinch {

/// Limits of one request and its response.
struct FetchLimits {
  Duration timeout = std::chrono::seconds(5);
  std::uint64_t body_bytes = 16 * 1024 * 1024;
  /// Whether to call EnableTcpKeepAlive(), so that a dead peer is detected
  /// within seconds rather than at the timeout.
  bool tcp_keep_alive = false;
};

/// Sends one request over a new connection and reads the response.
///
/// Returns nothing and sets the error if no complete, valid response is
/// received within the timeout. Adds a Host field if the request has none.
Awaitable<std::optional<HttpResponse>> Fetch(asio::io_context& context,
                                             Address address,
                                             HttpRequest request,
                                             FetchLimits limits,
                                             ErrorCode& error);

/// Blocking variant for programs without an io_context.
std::optional<HttpResponse> FetchBlocking(const Address& address,
                                          const HttpRequest& request,
                                          const FetchLimits& limits,
                                          ErrorCode& error);

}  // namespace daisywinch

#endif  // DAISYWINCH_TRANSPORT_HTTP_FETCH_H
