#ifndef DAISYWINCH_STATE_COLD_START_RAMP_H
#define DAISYWINCH_STATE_COLD_START_RAMP_H

#include "state/clock.h"

namespace daisywinch {

/// Concurrency limit of a target that warms up under load.
///
/// The limit rises linearly from the number of slots of a cold target to that
/// of a warm one over the time in which the target served requests. It rises
/// slower than the capacity of the target, and idle time doesn't count, because
/// an idle target doesn't warm up.
class ColdStartRamp {
 public:
  /// Sets the number of slots of a cold and of a warm target, and the time that
  /// it takes to warm up. The target is regarded as cold at first.
  void Configure(int new_cold_slots, int new_slots, Duration new_warm_up);

  /// Restarts the ramp: the target is new, was restarted, or is cold again.
  void MarkCold();
  /// Records that the target served a request without signs of overload.
  void RecordSuccess(TimePoint now);
  /// Records that the target shed a request or responded late. The limit
  /// doesn't rise for a while.
  void RecordOverload(TimePoint now);

  /// Maximum number of requests in flight.
  int Limit() const;
  bool IsWarm() const { return this->progress >= 1; }

 private:
  int cold_slots = 1;
  int slots = 1;
  Duration warm_up = std::chrono::seconds(1);
  /// From 0 (cold) to 1 (warm).
  double progress = 0;
  bool has_success = false;
  TimePoint last_success;
  TimePoint held_until;
};

}  // namespace daisywinch

#endif  // DAISYWINCH_STATE_COLD_START_RAMP_H
