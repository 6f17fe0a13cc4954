#ifndef DAISYWINCH_COORDINATION_STORE_FEED_H
#define DAISYWINCH_COORDINATION_STORE_FEED_H

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

#include "state/clock.h"

namespace daisywinch {

/// State of a relay's connection to the platform's store, as it reports it.
struct FeedState {
  /// Whether the store answers the relay.
  bool is_reachable = false;
  /// Revision of the last change that the relay knows, by key prefix.
  std::map<std::string, std::uint64_t, std::less<>> last_changes;
};

/// Tracks what the relays of this node's data centre report of the platform's
/// store.
///
/// Calls to the store are counted and limited over the whole fleet, so not
/// every node can watch it. Relays watch it and forward the changes; the other
/// nodes read the store only for changes that they find missing, or while no
/// relay can read it.
///
/// Runs on the control thread.
class StoreFeed {
 public:
  /// Records the state that a relay reports.
  void ApplyState(const std::string& relay,
                  const FeedState& state,
                  TimePoint now);

  /// Whether a relay that can read the store has reported recently.
  bool HasLiveFeed(TimePoint now) const;

  /// Whether any relay has reported recently.
  bool HasLiveRelay(TimePoint now) const;

  /// Returns the highest revision of a change under the prefix that relays have
  /// reported recently; 0 if there is none.
  std::uint64_t LastChange(std::string_view prefix, TimePoint now) const;

 private:
  struct Relay {
    FeedState state;
    TimePoint last_seen_at;
  };

  std::map<std::string, Relay> relays;
};

}  // namespace daisywinch

#endif  // DAISYWINCH_COORDINATION_STORE_FEED_H
