#ifndef DAISYWINCH_COORDINATION_STORE_FEED_H
#define DAISYWINCH_COORDINATION_STORE_FEED_H

#include <cstdint>
#include <map>
#include <string>
#include <string_view>

#include "state/clock.h"

namespace daisywinch {

/// What a relay tells of its own reading of the platform's store.
struct FeedState {
  /// The store answers the relay.
  bool is_reachable = false;
  /// Revision of the last change that the relay knows, by prefix.
  std::map<std::string, std::uint64_t, std::less<>> last_changes;
};

/// What this node knows of the store through the relays of its data centre.
///
/// Calls to the store are counted and limited over the whole fleet, so that not
/// every node can watch it. Relays watch, and pass changes on; the others read
/// for themselves only what they find missing, or while no relay is fed.
///
/// Runs on the control thread.
class StoreFeed {
 public:
  /// Takes what a relay tells.
  void ApplyState(const std::string& relay,
                  const FeedState& state,
                  TimePoint now);

  /// Whether a relay that reads the store was heard lately.
  bool HasLiveFeed(TimePoint now) const;

  /// Whether any relay was heard lately.
  bool HasLiveRelay(TimePoint now) const;

  /// Highest revision of a change under the prefix that relays have told of
  /// lately; 0 if there is none.
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
