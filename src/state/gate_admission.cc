#include "state/gate_admission.h"

#include <algorithm>
#include <cmath>

#include "state/duration.h"

namespace daisywinch {

namespace {

/// Fraction of the target's slots that is used, as targets slow down near their
/// capacity.
constexpr double kUsedSlotFraction = 0.95;
/// Maximum number of queued requests per slot.
constexpr int kMaxQueuedPerSlot = 3;
/// A root request waits for a slot for at most its latency objective divided by
/// this. A later refusal would leave its caller too little time for a retry.
constexpr int kRootWaitDivisor = 8;
/// The same for a nested call. It waits longer, because refusing it wastes the
/// work already done for its root request, but not so long that the root
/// request runs out of time.
constexpr int kNestedWaitDivisor = 2;
constexpr std::chrono::milliseconds kMinWait{20};
/// Each request contributes to the mean service time with a weight of one
/// divided by this.
constexpr int kServiceTimeDivisor = 16;
constexpr std::chrono::milliseconds kInitialServiceTime{50};
/// Minimum time between two attempts to start calls under a rate limit.
constexpr std::chrono::milliseconds kMinPacingInterval{2};
/// Time for which a rate limit may delay queued calls. Further calls are
/// refused at once, as another target is likely to answer them sooner.
constexpr std::chrono::milliseconds kMaxPacingDelay{500};

}  // namespace

GateAdmission::GateAdmission()
    : queue(1), mean_service_time(kInitialServiceTime) {}

void GateAdmission::SetSlots(int slots) {
  this->limit = std::max(1, static_cast<int>(slots * kUsedSlotFraction));
  this->UpdateLimits();
}

void GateAdmission::SetColdRate(double requests_per_second) {
  this->cold_rate = requests_per_second;
  this->UpdateLimits();
}

void GateAdmission::SetState(bool new_is_cold,
                             std::optional<double> new_stated_rate) {
  this->is_cold = new_is_cold;
  this->stated_rate = new_stated_rate;
  this->UpdateLimits();
}

std::optional<double> GateAdmission::RateLimit() const {
  if (!this->is_cold || this->cold_rate <= 0) {
    return this->stated_rate;
  }
  return std::min(this->cold_rate, this->stated_rate.value_or(this->cold_rate));
}

void GateAdmission::UpdateLimits() {
  const std::optional<double> rate = this->RateLimit();
  this->rate_limiter.SetRate(rate);
  const double max_queued =
      static_cast<double>(this->limit) * kMaxQueuedPerSlot;
  const double max_paced =
      rate ? *rate * ToSeconds(kMaxPacingDelay) : max_queued;
  this->queue.SetCapacity(
      static_cast<std::size_t>(std::ceil(std::min(max_queued, max_paced))));
}

bool GateAdmission::HasRoom(TimePoint now) {
  return !this->is_held && this->in_flight < this->limit &&
         this->rate_limiter.CanSend(now);
}

void GateAdmission::OccupySlot(TimePoint now) {
  ++this->in_flight;
  this->rate_limiter.RecordSent(now);
}

bool GateAdmission::TryStart(TimePoint now) {
  if (this->queue.Size() > 0 || !this->HasRoom(now)) {
    return false;
  }
  this->OccupySlot(now);
  return true;
}

TimePoint GateAdmission::StartDeadline(const GateCall& call,
                                       TimePoint now) const {
  const Duration max_wait = std::max<Duration>(
      kMinWait,
      call.objective / (call.is_root ? kRootWaitDivisor : kNestedWaitDivisor));
  const Duration left = std::max(Duration::zero(), call.deadline - now);
  return std::min(call.deadline - std::min(this->mean_service_time, left),
                  now + max_wait);
}

std::optional<std::uint64_t> GateAdmission::Enqueue(const GateCall& call,
                                                    TimePoint now) {
  return this->queue.Add(
      {call.id, call.is_root, call.tree, this->StartDeadline(call, now)}, now);
}

GateAdmission::Released GateAdmission::ReleaseQueued(TimePoint now) {
  Released released;
  while (this->HasRoom(now)) {
    const std::optional<std::uint64_t> id =
        this->queue.Next(now, released.expired);
    if (!id) {
      break;
    }
    this->OccupySlot(now);
    released.started.push_back(*id);
  }
  return released;
}

void GateAdmission::RecordEnd(std::optional<Duration> service_time) {
  --this->in_flight;
  if (service_time) {
    this->mean_service_time +=
        (*service_time - this->mean_service_time) / kServiceTimeDivisor;
  }
}

std::optional<TimePoint> GateAdmission::NextPacedStart(TimePoint now) {
  if (this->queue.Size() == 0 || this->is_held ||
      this->in_flight >= this->limit) {
    return std::nullopt;
  }
  return now + std::max<Duration>(this->rate_limiter.SendDelay(0, now),
                                  kMinPacingInterval);
}

double GateAdmission::UsableSlots() const {
  const double limit = this->limit;
  const std::optional<double> rate = this->RateLimit();
  return rate ? std::min(limit, *rate * ToSeconds(this->mean_service_time))
              : limit;
}

}  // namespace daisywinch
