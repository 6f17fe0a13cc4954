#include "transport/platform_client.h"

#include "transport/http_fetch.h"

#include <charconv>
#include <utility>

namespace daisywinch {

namespace {

constexpr std::uint64_t kMaxValueBytes = 1024 * 1024;
constexpr std::chrono::milliseconds kReadTimeout{3000};
/// Time after the end of a watch in which its response must have arrived. It is
/// short because a watch whose response is lost delays all changes.
constexpr std::chrono::milliseconds kWatchMargin{1000};

/// Parses the revision from an entity tag such as "17", quotes included.
std::optional<std::uint64_t> ParseRevision(std::string_view tag) {
  if (tag.size() < 3 || tag.front() != '"' || tag.back() != '"') {
    return std::nullopt;
  }
  std::uint64_t revision = 0;
  const std::from_chars_result result =
      std::from_chars(tag.data() + 1, tag.data() + tag.size() - 1, revision);
  if (result.ec != std::errc() || result.ptr != tag.data() + tag.size() - 1) {
    return std::nullopt;
  }
  return revision;
}

}  // namespace

PlatformClient::PlatformClient(asio::io_context& context,
                               const Address& address)
    : context(context), address(address) {}

Awaitable<std::optional<PlatformValue>>
PlatformClient::Read(std::string name, std::uint64_t after, Duration wait) {
  ++this->read_count;
  const std::int64_t wait_ms =
      std::chrono::duration_cast<std::chrono::milliseconds>(wait).count();
  HttpRequest request(http::verb::get,
                      "/v1/values/" + name + "?after=" + std::to_string(after) +
                          "&wait_ms=" + std::to_string(wait_ms),
                      11);
  FetchLimits limits;
  const bool is_watch = wait > Duration::zero();
  limits.timeout = is_watch ? wait + kWatchMargin : kReadTimeout;
  limits.body_bytes = kMaxValueBytes;
  ErrorCode error;
  std::optional<HttpResponse> response = co_await Fetch(
      this->context, this->address, std::move(request), limits, error);
  if (!response) {
    this->last_error = "no response from the platform: " + error.message();
    co_return std::nullopt;
  }
  this->last_error.clear();
  if (response->result() == http::status::not_modified) {
    co_return std::nullopt;
  }
  const std::optional<std::uint64_t> revision =
      ParseRevision((*response)[http::field::etag]);
  if (response->result() != http::status::ok || !revision) {
    this->last_error = "the platform responded with status " +
                       std::to_string(response->result_int()) + " for " + name;
    co_return std::nullopt;
  }
  co_return PlatformValue{*revision, std::move(response->body())};
}

}  // namespace daisywinch
