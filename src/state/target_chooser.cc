#include "state/target_chooser.h"

#include <algorithm>
#include <utility>

#include "state/key_digest.h"

namespace daisywinch {

namespace {

constexpr std::chrono::milliseconds kFirstAvoidance{250};
constexpr std::chrono::milliseconds kLongestAvoidance{5000};
constexpr std::chrono::milliseconds kReportLifetime{1000};
/// Load from which a target sends work on to other data centres.
constexpr double kSpillLoad = 1.0;

}  // namespace

TargetChooser::TargetChooser(std::string data_centre, std::uint64_t seed)
    : data_centre(std::move(data_centre)), random(seed) {}

const Vm* TargetChooser::Choose(const Snapshot& snapshot,
                                std::string_view service,
                                RequestClass request_class,
                                std::string_view idempotency_key,
                                const std::set<std::string>& excluded,
                                TimePoint now) {
  const std::vector<Vm>& targets = snapshot.Targets(service);
  if (!idempotency_key.empty()) {
    const Vm* target = this->ChooseByHash(targets, idempotency_key);
    const bool usable = target != nullptr && !excluded.contains(target->name);
    return usable ? target : nullptr;
  }
  std::vector<const Vm*> local;
  std::vector<const Vm*> remote;
  std::vector<const Vm*> avoided;
  for (const Vm& target : targets) {
    if (excluded.contains(target.name)) {
      continue;
    }
    if (snapshot.IsSuspected(target.name) ||
        this->IsAvoided(target.name, now)) {
      avoided.push_back(&target);
    } else if (target.data_centre == this->data_centre) {
      local.push_back(&target);
    } else {
      remote.push_back(&target);
    }
  }
  const Vm* choice = this->ChooseOfTwo(local);
  const bool should_spill = choice == nullptr ||
                            this->LoadOf(choice->name) >= kSpillLoad ||
                            !this->Admits(choice->name, request_class, now);
  if (should_spill && !remote.empty()) {
    const Vm* other = this->ChooseOfTwo(remote);
    const bool better =
        choice == nullptr ||
        (this->LoadOf(other->name) < this->LoadOf(choice->name) &&
         this->Admits(other->name, request_class, now));
    choice = better ? other : choice;
  }
  return choice != nullptr ? choice : this->ChooseOfTwo(avoided);
}

const Vm* TargetChooser::ChooseByHash(const std::vector<Vm>& targets,
                                      std::string_view idempotency_key) const {
  const Vm* best = nullptr;
  std::string best_weight;
  for (const Vm& target : targets) {
    const std::string weight =
        Sha256Hex(target.name + "\n" + std::string(idempotency_key));
    if (best == nullptr || weight > best_weight) {
      best = &target;
      best_weight = weight;
    }
  }
  return best;
}

const Vm* TargetChooser::ChooseOfTwo(const std::vector<const Vm*>& candidates) {
  if (candidates.empty()) {
    return nullptr;
  }
  if (candidates.size() == 1) {
    return candidates.front();
  }
  std::uniform_int_distribution<std::size_t> first_draw(0,
                                                        candidates.size() - 1);
  std::uniform_int_distribution<std::size_t> second_draw(0,
                                                         candidates.size() - 2);
  const std::size_t first = first_draw(this->random);
  std::size_t second = second_draw(this->random);
  second += second >= first ? 1 : 0;
  const Vm* left = candidates[first];
  const Vm* right = candidates[second];
  return this->LoadOf(right->name) < this->LoadOf(left->name) ? right : left;
}

double TargetChooser::LoadOf(const std::string& vm) const {
  const auto found = this->states.find(vm);
  if (found == this->states.end()) {
    return 0;
  }
  const TargetState& state = found->second;
  // The report already counts most of the entry's own calls: the larger of
  // the two avoids counting them twice.
  const int reported = state.report.in_flight + state.report.queued;
  const int load = std::max(reported, state.own_in_flight);
  return static_cast<double>(load) / std::max(1, state.report.limit);
}

bool TargetChooser::IsAvoided(const std::string& vm, TimePoint now) const {
  const auto found = this->states.find(vm);
  return found != this->states.end() && now < found->second.avoided_until;
}

bool TargetChooser::Admits(const std::string& vm,
                           RequestClass request_class,
                           TimePoint now) const {
  const auto found = this->states.find(vm);
  if (found == this->states.end() ||
      now - found->second.reported_at > kReportLifetime) {
    return true;
  }
  return !found->second.report.draining &&
         request_class <= found->second.report.admitted_class;
}

void TargetChooser::CallStarted(const std::string& vm) {
  ++this->states[vm].own_in_flight;
}

void TargetChooser::CallEnded(const std::string& vm) {
  --this->states[vm].own_in_flight;
}

void TargetChooser::TakeReport(const std::string& vm,
                               const GateReport& report,
                               TimePoint now) {
  TargetState& state = this->states[vm];
  state.report = report;
  state.reported_at = now;
  state.failures = 0;
  state.avoided_until = TimePoint();
}

void TargetChooser::TakeFailure(const std::string& vm, TimePoint now) {
  TargetState& state = this->states[vm];
  const Duration avoidance = std::min<Duration>(
      kLongestAvoidance, kFirstAvoidance * (1 << std::min(state.failures, 8)));
  ++state.failures;
  state.avoided_until = now + avoidance;
}

}  // namespace daisywinch
