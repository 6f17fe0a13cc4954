#ifndef DAISYWINCH_TRANSPORT_HTTP_FETCH_H
#define DAISYWINCH_TRANSPORT_HTTP_FETCH_H

#include <cstdint>
#include <optional>
#include <string>

#include "transport/asio.h"
#include "transport/http.h"

namespace daisywinch {

/// Bounds of one exchange.
struct FetchLimits {
  Duration timeout = std::chrono::seconds(5);
  std::uint64_t body_bytes = 16 * 1024 * 1024;
  /// Probe a connection that carries nothing, so that one that went silent
  /// ends within seconds and not only at the timeout.
  bool tcp_keep_alive = false;
};

/// Sends one request over a connection of its own and reads the answer.
///
/// Returns nothing and sets the error when no whole answer comes in time.
Awaitable<std::optional<HttpResponse>> Fetch(asio::io_context& context,
                                             Address address,
                                             HttpRequest request,
                                             FetchLimits limits,
                                             ErrorCode& error);

/// The same for programs that have no context of their own; blocks.
std::optional<HttpResponse> FetchBlocking(const Address& address,
                                          const HttpRequest& request,
                                          const FetchLimits& limits,
                                          ErrorCode& error);

}  // namespace daisywinch

#endif  // DAISYWINCH_TRANSPORT_HTTP_FETCH_H
