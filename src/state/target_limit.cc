#include "state/target_limit.h"

#include <algorithm>

namespace daisywinch {

namespace {

/// Slowdown against the best latency that points to a cold target.
constexpr double kColdSlowdown = 4.0;
constexpr int kSlowAnswersOfColdTarget = 5;
constexpr int kShedAnswersOfColdTarget = 3;
/// Least latency that counts as slow: below it the ratio is noise.
constexpr std::chrono::milliseconds kLeastSlowLatency{5};

}  // namespace

void TargetLimit::Configure(const Service& service) {
  this->ramp.Configure(service.cold_slots, service.slots, service.warm_up);
  this->learned.SetBounds(service.cold_slots, service.slots);
  this->configured = true;
}

void TargetLimit::TakeAnswer(const TargetSample& sample, TimePoint now) {
  this->consecutive_shed = 0;
  const bool restarted = !this->instance.empty() && !sample.instance.empty() &&
                         sample.instance != this->instance;
  if (!sample.instance.empty()) {
    this->instance = sample.instance;
  }
  if (restarted) {
    this->TurnCold(now);
    return;
  }
  if (sample.started_at < this->cold_at) {
    // Started under the old limit: it says nothing of the new one.
    return;
  }
  const Duration best = this->learned.BestLatency(sample.route);
  const bool slow = best > Duration::zero() &&
                    sample.latency > kLeastSlowLatency &&
                    sample.latency > kColdSlowdown * best;
  this->consecutive_slow = slow ? this->consecutive_slow + 1 : 0;
  this->learned.TakeLatency(sample.route, sample.latency, sample.in_flight,
                            now);
  if (this->consecutive_slow >= kSlowAnswersOfColdTarget) {
    this->TurnCold(now);
    return;
  }
  if (slow) {
    this->ramp.TakeTrouble(now);
  } else {
    this->ramp.TakeSuccess(now);
  }
}

void TargetLimit::TakeShed(TimePoint now) {
  ++this->consecutive_shed;
  this->learned.TakeFailure(now);
  this->ramp.TakeTrouble(now);
  if (this->consecutive_shed >= kShedAnswersOfColdTarget) {
    this->consecutive_shed = 0;
    this->TurnCold(now);
  }
}

void TargetLimit::TakeTimeout(TimePoint now) {
  this->learned.TakeFailure(now);
  this->ramp.TakeTrouble(now);
}

void TargetLimit::TakeDisconnect(TimePoint now) {
  this->TurnCold(now);
}

int TargetLimit::Limit() const {
  if (!this->configured) {
    return 0;
  }
  return std::min(this->ramp.Limit(), this->learned.Limit());
}

void TargetLimit::TurnCold(TimePoint now) {
  this->cold_count += this->ramp.IsWarm() ? 1 : 0;
  this->consecutive_slow = 0;
  this->cold_at = now;
  this->ramp.TurnCold();
  this->learned.ForgetLatencies();
}

}  // namespace daisywinch
