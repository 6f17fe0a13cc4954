#ifndef DAISYWINCH_COORDINATION_STORE_FEED_H
#define DAISYWINCH_COORDINATION_STORE_FEED_H

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

#include "state/clock.h"
#include "state/store_position.h"

namespace daisywinch {

/// State of a relay's connection to the platform's store, as it reports it.
struct FeedState {
  /// Whether the store answers the relay.
  bool is_reachable = false;
  /// Position of the last change that the relay has read, by key prefix.
  std::map<std::string, StorePosition, std::less<>> last_changes;
};

/// Tracks what the relays of this node's data centre report about the
/// platform's key-value store.
///
/// The number of calls to the store is limited for the whole fleet, so not
/// every node can watch it. Relays, the nodes that aggregate the updates of
/// their data centre, watch it and forward the changes. The other nodes read
/// the store only for changes that they miss, or while no relay can read it.
///
/// Used on the control thread.
class StoreFeed {
 public:
  /// Records the state that a relay reports.
  void ApplyState(const std::string& relay,
                  const FeedState& state,
                  TimePoint now);

  /// Whether a relay has reported recently that can read the store and isn't in
  /// an era before `era`.
  bool HasLiveFeed(std::uint64_t era, TimePoint now) const;

  /// Whether any relay has reported recently.
  bool HasLiveRelay(TimePoint now) const;

  /// Returns the latest position of a change under the prefix that relays have
  /// reported recently; zero if there is none.
  StorePosition LastChange(std::string_view prefix, TimePoint now) const;

 private:
  struct Relay {
    FeedState state;
    TimePoint last_seen_at;
  };

  std::map<std::string, Relay> relays;
};

}  // namespace daisywinch

#endif  // DAISYWINCH_COORDINATION_STORE_FEED_H
