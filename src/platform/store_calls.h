#ifndef DAISYWINCH_PLATFORM_STORE_CALLS_H
#define DAISYWINCH_PLATFORM_STORE_CALLS_H

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "state/clock.h"
#include "state/store_position.h"
#include "transport/http.h"

namespace daisywinch::platform {

/// Last write or removal of a key in the platform's store.
struct StoreItem {
  std::string key;
  std::string value;
  /// Revision of the store at the last change of this key.
  std::uint64_t revision = 0;
  bool is_removed = false;
};

/// A response of the store to a range or watch request.
struct StorePage {
  std::vector<StoreItem> items;
  /// More items exist after the last one of this page.
  bool has_more = false;
  /// Position of the whole store at the time of the response.
  StorePosition position;
};

/// Makes a request for the keys that begin with a prefix and follow the key
/// `after`; from the first one if that is empty.
HttpRequest MakeRangeRequest(std::string_view prefix, std::string_view after);

/// Makes a long-poll request for changes, after the revision `after`, of keys
/// that begin with a prefix. The store waits for at most `wait`.
HttpRequest MakeWatchRequest(std::string_view prefix,
                             std::uint64_t after,
                             Duration wait);

/// Decodes the response to either request. Returns nothing and sets `error` if
/// the status is not 200 or the body is invalid.
std::optional<StorePage> DecodePage(const HttpResponse& response,
                                    std::string& error);

/// Returns the era of the store that a response states; 0 if it states none.
std::uint64_t ReadEra(const HttpResponse& response);

/// Whether the store no longer has the changes after the requested revision
/// (status 410).
bool IsHistoryGone(const HttpResponse& response);

}  // namespace daisywinch::platform

#endif  // DAISYWINCH_PLATFORM_STORE_CALLS_H
