#ifndef DAISYWINCH_STATE_OWNERSHIP_HISTORY_H
#define DAISYWINCH_STATE_OWNERSHIP_HISTORY_H

#include <deque>
#include <string>
#include <string_view>
#include <vector>

#include "state/clock.h"

namespace daisywinch {

/// Tells whether this gate was the owner of a key for all of a window.
///
/// A gate that became the owner lately cannot know what the owner before it
/// ran. Being started counts as becoming the owner of everything.
class OwnershipHistory {
 public:
  OwnershipHistory(std::string own_name, TimePoint started_at);

  void SetWindow(Duration new_window) { this->window = new_window; }

  /// Takes the names of the service's targets now in force.
  void UpdateTargets(const std::vector<std::string>& names, TimePoint now);

  /// Whether the gate owns the key by the newest list.
  bool Owns(std::string_view key) const;
  /// Whether it has owned the key without a break for the whole window.
  bool OwnedForWholeWindow(std::string_view key, TimePoint now) const;

 private:
  /// A list and the time at which the next one replaced it.
  struct PastList {
    std::vector<std::string> names;
    TimePoint replaced_at;
  };

  std::string own_name;
  TimePoint started_at;
  Duration window = Duration::zero();
  std::vector<std::string> current;
  std::deque<PastList> past;
};

}  // namespace daisywinch

#endif  // DAISYWINCH_STATE_OWNERSHIP_HISTORY_H
