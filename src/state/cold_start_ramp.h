#ifndef DAISYWINCH_STATE_COLD_START_RAMP_H
#define DAISYWINCH_STATE_COLD_START_RAMP_H

#include "state/clock.h"

namespace daisywinch {

/// Limits a cold target to what it bears until it has warmed up under load.
///
/// The limit grows in proportion to the time in which the target answered,
/// a little slower than the target warms up; idle time warms nothing.
class ColdStartRamp {
 public:
  /// Sets what a target bears; it counts as cold at first.
  void Configure(int new_cold_slots, int new_slots, Duration new_warm_up);

  /// The target is new, restarted, or cold again.
  void MarkCold();
  /// The target answered a request well.
  void RecordSuccess(TimePoint now);
  /// The target shed a request or answered late: the ramp holds for a while.
  void RecordOverload(TimePoint now);

  /// Requests that may be in flight at once.
  int Limit() const;
  bool IsWarm() const { return this->progress >= 1; }

 private:
  int cold_slots = 1;
  int slots = 1;
  Duration warm_up = std::chrono::seconds(1);
  /// From 0, cold, to 1, warm.
  double progress = 0;
  bool has_success = false;
  TimePoint last_success;
  TimePoint held_until;
};

}  // namespace daisywinch

#endif  // DAISYWINCH_STATE_COLD_START_RAMP_H
