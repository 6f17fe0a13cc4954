#include "coordination/store_feed.h"

#include <algorithm>

namespace daisywinch {

namespace {

/// Time after its last report from which a relay no longer counts; two reports
/// may be lost.
constexpr std::chrono::milliseconds kFeedTimeout{1300};

}  // namespace

void StoreFeed::ApplyState(const std::string& relay,
                           const FeedState& state,
                           TimePoint now) {
  std::erase_if(this->relays, [now](const auto& entry) {
    return now - entry.second.last_seen_at > std::chrono::minutes(1);
  });
  this->relays[relay] = {state, now};
}

bool StoreFeed::HasLiveFeed(std::uint64_t era, TimePoint now) const {
  return std::any_of(
      this->relays.begin(), this->relays.end(), [era, now](const auto& entry) {
        const FeedState& state = entry.second.state;
        return state.is_reachable &&
               now - entry.second.last_seen_at <= kFeedTimeout &&
               std::none_of(state.last_changes.begin(),
                            state.last_changes.end(),
                            [era](const auto& last_change) {
                              return last_change.second.era < era;
                            });
      });
}

bool StoreFeed::HasLiveRelay(TimePoint now) const {
  return std::any_of(this->relays.begin(), this->relays.end(),
                     [now](const auto& entry) {
                       return now - entry.second.last_seen_at <= kFeedTimeout;
                     });
}

StorePosition StoreFeed::LastChange(std::string_view prefix,
                                    TimePoint now) const {
  StorePosition latest;
  for (const auto& [name, relay] : this->relays) {
    const auto found = relay.state.last_changes.find(prefix);
    if (now - relay.last_seen_at <= kFeedTimeout &&
        found != relay.state.last_changes.end()) {
      latest = std::max(latest, found->second);
    }
  }
  return latest;
}

}  // namespace daisywinch
