#ifndef DAISYWINCH_PLATFORM_STORE_CALLS_H
#define DAISYWINCH_PLATFORM_STORE_CALLS_H

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "state/clock.h"
#include "transport/http.h"

namespace daisywinch::platform {

/// One key of the platform's store as it was last written, or its removal.
struct StoreItem {
  std::string key;
  std::string value;
  /// Revision of the store at the last change of this key.
  std::uint64_t revision = 0;
  bool is_removed = false;
};

/// An answer of the store.
struct StorePage {
  std::vector<StoreItem> items;
  /// Further items follow after the last one of this page.
  bool has_more = false;
  /// Revision of the whole store when it answered.
  std::uint64_t store_revision = 0;
};

/// Reads all keys that begin with a prefix, after a key (empty: the first).
HttpRequest MakeRangeRequest(std::string_view prefix, std::string_view after);

/// Waits for changes of keys that begin with a prefix, after a revision.
HttpRequest MakeWatchRequest(std::string_view prefix,
                             std::uint64_t after,
                             Duration wait);

/// Reads the answer to either; nothing, with the error, when it is none.
std::optional<StorePage> DecodePage(const HttpResponse& response,
                                    std::string& error);

/// Whether the changes after the revision asked for are no longer kept.
bool IsHistoryGone(const HttpResponse& response);

}  // namespace daisywinch::platform

#endif  // DAISYWINCH_PLATFORM_STORE_CALLS_H
