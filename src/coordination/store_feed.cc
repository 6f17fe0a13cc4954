#include "coordination/store_feed.h"

#include <algorithm>

namespace daisywinch {

namespace {

/// Time after its last news in which a relay counts: two may be lost.
constexpr std::chrono::milliseconds kFeedSilence{1300};

}  // namespace

void StoreFeed::Take(const std::string& relay,
                     const FeedState& state,
                     TimePoint now) {
  std::erase_if(this->relays, [now](const auto& entry) {
    return now - entry.second.heard_at > std::chrono::minutes(1);
  });
  this->relays[relay] = {state, now};
}

bool StoreFeed::IsFed(TimePoint now) const {
  return std::any_of(this->relays.begin(), this->relays.end(),
                     [now](const auto& entry) {
                       return entry.second.state.is_reachable &&
                              now - entry.second.heard_at <= kFeedSilence;
                     });
}

bool StoreFeed::IsHeard(TimePoint now) const {
  return std::any_of(this->relays.begin(), this->relays.end(),
                     [now](const auto& entry) {
                       return now - entry.second.heard_at <= kFeedSilence;
                     });
}

std::uint64_t StoreFeed::LastChange(std::string_view prefix,
                                    TimePoint now) const {
  std::uint64_t highest = 0;
  for (const auto& [name, relay] : this->relays) {
    const auto found = relay.state.last_changes.find(prefix);
    if (now - relay.heard_at <= kFeedSilence &&
        found != relay.state.last_changes.end()) {
      highest = std::max(highest, found->second);
    }
  }
  return highest;
}

}  // namespace daisywinch
