#ifndef DAISYWINCH_STATE_RUNNING_TREES_H
#define DAISYWINCH_STATE_RUNNING_TREES_H

#include <cstdint>
#include <map>
#include <optional>

#include "state/clock.h"

namespace daisywinch {

/// What the calls of one call tree inherit from its root request.
struct CallTree {
  /// 0 is the highest.
  std::uint32_t priority = 0;
  /// Time at which the latency objective of the root request is missed.
  TimePoint objective_end;

  friend bool operator==(const CallTree&, const CallTree&) = default;
};

/// Finds the call tree that a nested call belongs to; answers overload of a
/// service that runs roots of one kind and nested calls of others.
///
/// Targets copy nothing from a request onto their nested calls, but a nested
/// call ends at the deadline of its request. So it belongs to the run at the
/// local target with the nearest deadline. Runs whose deadlines differ by less
/// than the time that messages take may be confused.
class RunningTrees {
 public:
  /// Records the start of a run at the local target.
  void RunStarted(TimePoint deadline, const CallTree& tree);
  /// Records the end of a run, with the arguments of its start.
  void RunEnded(TimePoint deadline, const CallTree& tree);

  /// The tree of a nested call with this deadline; nullopt if no run has a
  /// deadline close to it.
  std::optional<CallTree> Find(TimePoint call_deadline) const;

 private:
  /// Trees of the runs in progress, by deadline.
  std::multimap<TimePoint, CallTree> runs;
};

}  // namespace daisywinch

#endif  // DAISYWINCH_STATE_RUNNING_TREES_H
