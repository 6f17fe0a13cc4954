#include "state/target_limit.h"

#include <algorithm>

namespace daisywinch {

namespace {

/// Ratio of a latency to the minimum one that indicates a cold target.
constexpr double kColdSlowdown = 4.0;
constexpr int kMaxConsecutiveSlow = 5;
constexpr int kMaxConsecutiveShed = 3;
/// Lower bound of a latency that is regarded as slow. For shorter ones the
/// ratio is dominated by noise.
constexpr std::chrono::milliseconds kMinSlowLatency{5};

}  // namespace

void TargetLimit::Configure(const Service& service) {
  this->ramp.Configure(service.cold_slots, service.slots, service.warm_up);
  this->learned_limit.SetBounds(service.cold_slots, service.slots);
  this->configured = true;
}

void TargetLimit::RecordResponse(const TargetSample& sample, TimePoint now) {
  this->consecutive_shed = 0;
  const bool restarted = !this->instance.empty() && !sample.instance.empty() &&
                         sample.instance != this->instance;
  if (!sample.instance.empty()) {
    this->instance = sample.instance;
  }
  if (restarted) {
    this->MarkCold(now);
    return;
  }
  if (sample.started_at < this->cold_since) {
    // The request started under the previous limit and says nothing about the
    // current one.
    return;
  }
  const Duration best = this->learned_limit.BestLatency(sample.route);
  const bool slow = best > Duration::zero() &&
                    sample.latency > kMinSlowLatency &&
                    sample.latency > kColdSlowdown * best;
  this->consecutive_slow = slow ? this->consecutive_slow + 1 : 0;
  this->learned_limit.RecordLatency(sample.route, sample.latency,
                                    sample.in_flight, now);
  if (this->consecutive_slow >= kMaxConsecutiveSlow) {
    this->MarkCold(now);
    return;
  }
  if (slow) {
    this->ramp.RecordOverload(now);
  } else {
    this->ramp.RecordSuccess(now);
  }
}

void TargetLimit::RecordShed(TimePoint now) {
  ++this->consecutive_shed;
  this->learned_limit.RecordFailure(now);
  this->ramp.RecordOverload(now);
  if (this->consecutive_shed >= kMaxConsecutiveShed) {
    this->consecutive_shed = 0;
    this->MarkCold(now);
  }
}

void TargetLimit::RecordTimeout(TimePoint now) {
  this->learned_limit.RecordFailure(now);
  this->ramp.RecordOverload(now);
}

void TargetLimit::RecordDisconnect(TimePoint now) {
  this->MarkCold(now);
}

int TargetLimit::Limit() const {
  if (!this->configured) {
    return 0;
  }
  return std::min(this->ramp.Limit(), this->learned_limit.Limit());
}

void TargetLimit::MarkCold(TimePoint now) {
  this->cold_count += this->ramp.IsWarm() ? 1 : 0;
  this->consecutive_slow = 0;
  this->cold_since = now;
  this->ramp.MarkCold();
  this->learned_limit.ResetLatencies();
}

}  // namespace daisywinch
