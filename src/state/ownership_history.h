#ifndef DAISYWINCH_STATE_OWNERSHIP_HISTORY_H
#define DAISYWINCH_STATE_OWNERSHIP_HISTORY_H

#include <deque>
#include <string>
#include <string_view>
#include <vector>

#include "state/clock.h"

namespace daisywinch {

/// Tracks which idempotency keys this gate has owned for a whole time window.
///
/// The owner of a key is chosen from the targets of the service by rendezvous
/// hashing. A gate that became the owner within the window does not know which
/// requests the previous owner ran, so it must not treat a possible duplicate
/// as new. After a start, the gate counts as a new owner of all keys.
class OwnershipHistory {
 public:
  OwnershipHistory(std::string local_name, TimePoint started_at);

  /// Sets the time for which a key must have been owned.
  void SetWindow(Duration new_window) { this->window = new_window; }

  /// Replaces the names of the service's targets.
  void UpdateTargets(const std::vector<std::string>& names, TimePoint now);

  /// Whether the gate owns the key by the current targets.
  bool Owns(std::string_view key) const;
  /// Whether the gate has owned the key without interruption for the whole
  /// window that ends now.
  bool OwnedForWholeWindow(std::string_view key, TimePoint now) const;

 private:
  /// A previous list of targets and the time at which it was replaced.
  struct PastList {
    std::vector<std::string> names;
    TimePoint replaced_at;
  };

  std::string local_name;
  TimePoint started_at;
  Duration window = Duration::zero();
  std::vector<std::string> current;
  std::deque<PastList> past;
};

}  // namespace daisywinch

#endif  // DAISYWINCH_STATE_OWNERSHIP_HISTORY_H
