#include "state/mesh_load_balancer.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "state/duration.h"

namespace daisywinch {

namespace {

/// Assumed mean service time of a target that has not reported one, in seconds.
constexpr double kDefaultServiceSeconds = 0.05;
/// Penalty of a target in another data centre, as a fraction of the time left
/// to the latency objective, and its minimum in seconds. A call may be slower
/// by this much in the local data centre before it is sent to another one,
/// because traffic between data centres is charged for.
constexpr double kRemotePenaltyFraction = 0.25;
constexpr double kMinRemotePenalty = 0.01;
/// Weight of queueing time relative to service time. It is above 1 because a
/// queued call may be refused in the end.
constexpr double kWaitWeight = 5;
/// Penalty of a cold target, in seconds. It handles only a few requests per
/// second.
constexpr double kColdPenalty = 0.2;
/// Penalty of a target whose recent calls all failed, in seconds.
constexpr double kFailurePenalty = 2.0;
/// Half-life of the failure penalty, in seconds.
constexpr double kFailureHalfLife = 1.0;
/// Weight of one call in the moving average of failures.
constexpr double kFailureWeight = 0.1;
/// Lower bound of the rate by which the delay of a target's rate limit is
/// computed, in requests per second.
constexpr double kMinPacedRate = 0.1;
/// Age at which a load report is no longer used, except for the service time.
constexpr std::chrono::milliseconds kMaxReportAge{2000};
constexpr std::chrono::milliseconds kInitialBackoff{200};
constexpr int kMaxBackoffDoublings = 4;
/// Penalty of a target in backoff, in seconds. It is large enough that such a
/// target is selected only if there is no other.
constexpr double kBackoffPenalty = 100;
/// Probability with which a call goes to a target chosen uniformly at random.
/// Keeps the state of all targets up to date and brings calls to new targets.
constexpr double kExplorationProbability = 0.015;
/// Upper bound of a random addition to the expected time, as a fraction of it.
/// Prevents all ingresses from selecting the same target at once.
constexpr double kJitter = 0.1;

/// Expected queueing time at a target with `slots` slots and the utilization
/// `load`, in units of the mean service time.
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
  const MeshTarget* chosen =
      this->FindBest(usable, excluded, remote_penalty, now);
  if (chosen != nullptr && this->leaving_runs.IsLeaving(*chosen)) {
    this->leaving_runs.RecordCheck(*chosen, now);
  }
  return chosen;
}

const MeshTarget* MeshLoadBalancer::FindBest(
    const std::vector<const MeshTarget*>& usable,
    const std::set<std::string>& excluded,
    double remote_penalty,
    TimePoint now) {
  if (std::bernoulli_distribution(kExplorationProbability)(this->random)) {
    std::uniform_int_distribution<std::size_t> any(0, usable.size() - 1);
    const MeshTarget* explored = usable[any(this->random)];
    if (!excluded.contains(explored->id) && this->MayChoose(*explored, now) &&
        now >= this->states[explored->id].backoff_until) {
      return explored;
    }
  }
  const MeshTarget* best = nullptr;
  double best_seconds = 0;
  std::uniform_real_distribution<double> jitter(1, 1 + kJitter);
  for (const MeshTarget* target : usable) {
    if (excluded.contains(target->id) || !this->MayChoose(*target, now)) {
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

bool MeshLoadBalancer::MayChoose(const MeshTarget& target,
                                 TimePoint now) const {
  return !this->leaving_runs.IsLeaving(target) ||
         this->leaving_runs.IsCheckDue(target, now);
}

double MeshLoadBalancer::PacingSeconds(const TargetState& state,
                                       TimePoint now) {
  if (!state.load.max_rate) {
    return 0;
  }
  const double calls_ahead = state.calls_since_report;
  return std::max(0.0, ToSeconds(state.load.pacing_delay -
                                 (now - state.last_report_at))) +
         calls_ahead / std::max(kMinPacedRate, *state.load.max_rate);
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
  if (is_fresh) {
    seconds += kWaitWeight * PacingSeconds(state, now);
    seconds += state.load.is_cold ? kColdPenalty : 0;
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
  TargetState& state = this->states[target_id];
  ++state.local_in_flight;
  ++state.calls_since_report;
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
  state.calls_since_report = 0;
  state.others_in_flight = std::max(
      0, load.in_flight + load.queued - std::max(0, state.local_in_flight - 1));
}

}  // namespace daisywinch
