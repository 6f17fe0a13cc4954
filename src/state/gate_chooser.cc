#include "state/gate_chooser.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "state/duration.h"

namespace daisywinch {

namespace {

/// Mean time of a request at a target that has not reported, in seconds.
constexpr double kUnknownWork = 0.05;
/// Part of the objective that a call may lose before it leaves the data centre:
/// bytes between data centres are paid for.
constexpr double kRemotePart = 0.25;
constexpr double kLeastRemotePenalty = 0.01;
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
constexpr std::chrono::milliseconds kReportAge{2000};
constexpr std::chrono::milliseconds kFirstAvoidance{200};
constexpr int kMostDoublings = 4;
/// Added for a target that is left alone: used only if nothing else is there.
constexpr double kAvoidedPenalty = 100;
/// Part of the calls that go to any target, so that what is known of each one
/// stays fresh and new ones come to work.
constexpr double kExploredPart = 0.015;
/// Random part of the expected time, which keeps entries from all choosing
/// the same target.
constexpr double kJitter = 0.1;

/// Expected wait for one of `slots` busy to the part `load`, in units of the
/// mean work.
double ExpectedWait(double load, double slots) {
  constexpr double kHighestLoad = 0.99;
  const double bounded = std::min(load, kHighestLoad);
  const double queueing = std::pow(bounded, std::sqrt(2 * (slots + 1)) - 1) /
                          (slots * (1 - bounded));
  return queueing + std::max(0.0, load - 1);
}

}  // namespace

GateChooser::GateChooser(std::string data_centre, std::uint64_t seed)
    : data_centre(std::move(data_centre)), random(seed) {}

const MeshTarget* GateChooser::Choose(const MeshView& view,
                                      std::string_view service,
                                      const std::set<std::string>& excluded,
                                      Duration objective,
                                      TimePoint now) {
  const double remote_penalty =
      std::max(kLeastRemotePenalty, kRemotePart * ToSeconds(objective));
  const std::vector<const MeshTarget*>& usable = view.UsableTargets(service);
  if (usable.empty()) {
    return nullptr;
  }
  if (std::bernoulli_distribution(kExploredPart)(this->random)) {
    std::uniform_int_distribution<std::size_t> any(0, usable.size() - 1);
    const MeshTarget* explored = usable[any(this->random)];
    if (!excluded.contains(explored->id) &&
        now >= this->states[explored->id].avoided_until) {
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

double GateChooser::ExpectedSeconds(const MeshTarget& target,
                                    double remote_penalty,
                                    TimePoint now) {
  const GateState& state = this->states[target.id];
  const bool is_fresh = state.has_load && now - state.reported_at < kReportAge;
  double work = kUnknownWork;
  if (state.has_load && state.load.work > Duration::zero()) {
    work = ToSeconds(state.load.work);
  }
  const double slots = is_fresh ? std::max(1, state.load.limit) : target.slots;
  const double busy = state.own_in_flight + (is_fresh ? state.others : 0) + 1;
  double seconds =
      work + kWaitWeight * work * ExpectedWait(busy / slots, slots);
  if (target.data_centre != this->data_centre) {
    seconds += remote_penalty;
  }
  if (is_fresh && state.load.is_cold) {
    seconds += kColdPenalty;
  }
  const double age = ToSeconds(now - state.failed_at);
  seconds += kFailurePenalty * state.failed_part *
             std::exp2(-std::max(0.0, age) / kFailureHalfLife);
  if (now < state.avoided_until) {
    seconds += kAvoidedPenalty;
  }
  return seconds;
}

void GateChooser::CallStarted(const std::string& target_id) {
  ++this->states[target_id].own_in_flight;
}

void GateChooser::CallEnded(const std::string& target_id,
                            GateResult result,
                            TimePoint now) {
  GateState& state = this->states[target_id];
  state.own_in_flight = std::max(0, state.own_in_flight - 1);
  if (result == GateResult::kRefused) {
    return;
  }
  const bool has_failed = result != GateResult::kServed;
  state.failed_part +=
      kFailureWeight * ((has_failed ? 1 : 0) - state.failed_part);
  if (has_failed) {
    state.failed_at = now;
  }
  if (result == GateResult::kUnreachable) {
    const int doublings = std::min(state.unreachable_in_row, kMostDoublings);
    state.avoided_until = now + kFirstAvoidance * (1 << doublings);
    ++state.unreachable_in_row;
  } else {
    state.unreachable_in_row = 0;
    state.avoided_until = now;
  }
}

void GateChooser::TakeLoad(const std::string& target_id,
                           const TargetLoad& load,
                           TimePoint now) {
  GateState& state = this->states[target_id];
  state.load = load;
  state.has_load = true;
  state.reported_at = now;
  state.others = std::max(
      0, load.in_flight + load.queued - std::max(0, state.own_in_flight - 1));
}

}  // namespace daisywinch
