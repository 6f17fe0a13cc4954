#include "state/cold_start_ramp.h"

#include <algorithm>

namespace daisywinch {

namespace {

/// Duration of the ramp as a multiple of the warm-up time of the target, so
/// that the limit stays below the capacity.
constexpr double kWarmUpFactor = 1.5;
/// Upper bound of the progress from one gap between responses, as a fraction of
/// the warm-up time. The target may have been idle in a longer gap.
constexpr double kMaxGapFraction = 0.1;
/// Time for which the ramp is held after overload, as a fraction of the warm-up
/// time.
constexpr double kHoldFraction = 0.1;

}  // namespace

void ColdStartRamp::Configure(int new_cold_slots,
                              int new_slots,
                              Duration new_warm_up) {
  this->cold_slots = new_cold_slots;
  this->slots = new_slots;
  this->warm_up = new_warm_up;
}

void ColdStartRamp::MarkCold() {
  this->progress = 0;
  this->has_success = false;
}

void ColdStartRamp::RecordSuccess(TimePoint now) {
  if (!this->has_success) {
    this->has_success = true;
    this->last_success = now;
    return;
  }
  const std::chrono::duration<double> full = this->warm_up;
  const std::chrono::duration<double> gap = now - this->last_success;
  this->last_success = now;
  if (now >= this->held_until) {
    const double fraction = std::min(gap / full, kMaxGapFraction);
    this->progress = std::min(1.0, this->progress + fraction / kWarmUpFactor);
  }
}

void ColdStartRamp::RecordOverload(TimePoint now) {
  this->held_until =
      now + std::chrono::duration_cast<Duration>(kHoldFraction * this->warm_up);
}

int ColdStartRamp::Limit() const {
  return this->cold_slots +
         static_cast<int>(this->progress * (this->slots - this->cold_slots));
}

}  // namespace daisywinch
