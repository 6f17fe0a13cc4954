#include "state/mesh_load_balancer.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "state/duration.h"

namespace daisywinch {

namespace {

/// Mean time of a request at a target that has not reported, in seconds.
constexpr double kDefaultServiceSeconds = 0.05;
/// Part of the objective that a call may lose before it leaves the data centre:
/// bytes between data centres are paid for.
constexpr double kRemotePenaltyFraction = 0.25;
constexpr double kMinRemotePenalty = 0.01;
/// Weight of time spent waiting against time spent being served: what waits
/// may be refused in the end.
constexpr double kWaitWeight = 5;
/// Added for a cold target, which takes only a few requests a second.
constexpr double kColdPenalty = 0.2;
/// Added for a target all of whose last calls failed.
constexpr double kFailurePenalty = 2.0;
/// Time after which a failure weighs half as much.
constexpr double kFailureHalfLife = 1.0;
/// Weight of one more call in the part that failed.
constexpr double kFailureWeight = 0.1;
/// Time after which a report says nothing any more.
constexpr std::chrono::milliseconds kMaxReportAge{2000};
constexpr std::chrono::milliseconds kInitialBackoff{200};
constexpr int kMaxBackoffDoublings = 4;
/// Added for a target that is left alone: used only if nothing else is there.
constexpr double kBackoffPenalty = 100;
/// Part of the calls that go to any target, so that what is known of each one
/// stays fresh and new ones come to service_seconds.
constexpr double kExplorationProbability = 0.015;
/// Random part of the expected time, which keeps entries from all choosing
/// the same target.
constexpr double kJitter = 0.1;

/// Expected wait for one of `slots` busy to the part `load`, in units of the
/// mean service_seconds.
double ExpectedWait(double load, double slots) {
  constexpr double kMaxUtilization = 0.99;
  const double bounded = std::min(load, kMaxUtilization);
  const double queueing = std::pow(bounded, std::sqrt(2 * (slots + 1)) - 1) /
                          (slots * (1 - bounded));
  return queueing + std::max(0.0, load - 1);
}

}  // namespace

MeshLoadBalancer::MeshLoadBalancer(std::string data_centre, std::uint64_t seed)
    : data_centre(std::move(data_centre)), random(seed) {}

const MeshTarget* MeshLoadBalancer::Choose(
    const MeshView& view,
    std::string_view service,
    const std::set<std::string>& excluded,
    Duration objective,
    TimePoint now) {
  const double remote_penalty = std::max(
      kMinRemotePenalty, kRemotePenaltyFraction * ToSeconds(objective));
  const std::vector<const MeshTarget*>& usable = view.UsableTargets(service);
  if (usable.empty()) {
    return nullptr;
  }
  if (std::bernoulli_distribution(kExplorationProbability)(this->random)) {
    std::uniform_int_distribution<std::size_t> any(0, usable.size() - 1);
    const MeshTarget* explored = usable[any(this->random)];
    if (!excluded.contains(explored->id) &&
        now >= this->states[explored->id].backoff_until) {
      return explored;
    }
  }
  const MeshTarget* best = nullptr;
  double best_seconds = 0;
  std::uniform_real_distribution<double> jitter(1, 1 + kJitter);
  for (const MeshTarget* target : usable) {
    if (excluded.contains(target->id)) {
      continue;
    }
    const double seconds = this->ExpectedSeconds(*target, remote_penalty, now) *
                           jitter(this->random);
    if (best == nullptr || seconds < best_seconds) {
      best = target;
      best_seconds = seconds;
    }
  }
  return best;
}

double MeshLoadBalancer::ExpectedSeconds(const MeshTarget& target,
                                         double remote_penalty,
                                         TimePoint now) {
  const TargetState& state = this->states[target.id];
  const bool is_fresh =
      state.has_load && now - state.last_report_at < kMaxReportAge;
  double service_seconds = kDefaultServiceSeconds;
  if (state.has_load && state.load.service_time > Duration::zero()) {
    service_seconds = ToSeconds(state.load.service_time);
  }
  const double slots = is_fresh ? std::max(1, state.load.limit) : target.slots;
  const double busy =
      state.local_in_flight + (is_fresh ? state.others_in_flight : 0) + 1;
  double seconds = service_seconds + kWaitWeight * service_seconds *
                                         ExpectedWait(busy / slots, slots);
  if (target.data_centre != this->data_centre) {
    seconds += remote_penalty;
  }
  if (is_fresh && state.load.is_cold) {
    seconds += kColdPenalty;
  }
  const double age = ToSeconds(now - state.last_failure_at);
  seconds += kFailurePenalty * state.failure_fraction *
             std::exp2(-std::max(0.0, age) / kFailureHalfLife);
  if (now < state.backoff_until) {
    seconds += kBackoffPenalty;
  }
  return seconds;
}

void MeshLoadBalancer::CallStarted(const std::string& target_id) {
  ++this->states[target_id].local_in_flight;
}

void MeshLoadBalancer::CallEnded(const std::string& target_id,
                                 GateResult result,
                                 TimePoint now) {
  TargetState& state = this->states[target_id];
  state.local_in_flight = std::max(0, state.local_in_flight - 1);
  if (result == GateResult::kRefused) {
    return;
  }
  const bool has_failed = result != GateResult::kServed;
  state.failure_fraction +=
      kFailureWeight * ((has_failed ? 1 : 0) - state.failure_fraction);
  if (has_failed) {
    state.last_failure_at = now;
  }
  if (result == GateResult::kUnreachable) {
    const int doublings =
        std::min(state.consecutive_unreachable, kMaxBackoffDoublings);
    state.backoff_until = now + kInitialBackoff * (1 << doublings);
    ++state.consecutive_unreachable;
  } else {
    state.consecutive_unreachable = 0;
    state.backoff_until = now;
  }
}

void MeshLoadBalancer::RecordLoad(const std::string& target_id,
                                  const TargetLoad& load,
                                  TimePoint now) {
  TargetState& state = this->states[target_id];
  state.load = load;
  state.has_load = true;
  state.last_report_at = now;
  state.others_in_flight = std::max(
      0, load.in_flight + load.queued - std::max(0, state.local_in_flight - 1));
}

}  // namespace daisywinch
