#include "state/target_chooser.h"

#include <algorithm>
#include <utility>

#include "state/rendezvous.h"

namespace daisywinch {

namespace {

constexpr std::chrono::milliseconds kFirstAvoidance{250};
constexpr std::chrono::milliseconds kLongestAvoidance{5000};
constexpr std::chrono::milliseconds kReportLifetime{1000};
/// Load from which a target sends work on to other data centres.
constexpr double kSpillLoad = 1.0;
constexpr double kTrickle = 0.02;

}  // namespace

TargetChooser::TargetChooser(std::string data_centre, std::uint64_t seed)
    : data_centre(std::move(data_centre)), random(seed) {}

const Vm* TargetChooser::Choose(const Snapshot& snapshot,
                                std::string_view service,
                                const std::string& customer,
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
  const bool should_spill =
      choice == nullptr || this->LoadOf(choice->name) >= kSpillLoad ||
      this->WantedPartOf(choice->name, customer, request_class, now) < 1;
  if (should_spill && !remote.empty()) {
    const Vm* other = this->ChooseOfTwo(remote);
    const bool better =
        choice == nullptr ||
        (this->LoadOf(other->name) < this->LoadOf(choice->name) &&
         this->WantedPartOf(other->name, customer, request_class, now) >= 1);
    choice = better ? other : choice;
  }
  return choice != nullptr ? choice : this->ChooseOfTwo(avoided);
}

const Vm* TargetChooser::ChooseByHash(const std::vector<Vm>& targets,
                                      std::string_view idempotency_key) const {
  std::vector<std::string> names;
  names.reserve(targets.size());
  for (const Vm& target : targets) {
    names.push_back(target.name);
  }
  const std::string* name = ChooseByRendezvous(names, idempotency_key);
  return name == nullptr ? nullptr : &targets[name - names.data()];
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
  return static_cast<double>(state.own_in_flight + state.others) / state.limit;
}

bool TargetChooser::IsAvoided(const std::string& vm, TimePoint now) const {
  const auto found = this->states.find(vm);
  return found != this->states.end() && now < found->second.avoided_until;
}

double TargetChooser::WantedPartOf(const std::string& vm,
                                   const std::string& customer,
                                   RequestClass request_class,
                                   TimePoint now) const {
  const auto found = this->states.find(vm);
  if (found == this->states.end()) {
    return 1;
  }
  const auto level = found->second.levels.find(customer);
  if (level == found->second.levels.end() ||
      now - level->second.reported_at > kReportLifetime) {
    return 1;
  }
  return WantedPart(level->second.level, request_class);
}

bool TargetChooser::Wants(const std::string& vm,
                          const std::string& customer,
                          RequestClass request_class,
                          TimePoint now) {
  const double part = this->WantedPartOf(vm, customer, request_class, now);
  if (part >= 1) {
    return true;
  }
  // A trickle of every class keeps the levels of all customers fresh.
  std::uniform_real_distribution<double> draw(0, 1);
  return draw(this->random) < std::max(part, kTrickle);
}

void TargetChooser::CallStarted(const std::string& vm) {
  ++this->states[vm].own_in_flight;
}

void TargetChooser::CallEnded(const std::string& vm) {
  --this->states[vm].own_in_flight;
}

void TargetChooser::TakeReport(const std::string& vm,
                               const std::string& customer,
                               const GateReport& report,
                               TimePoint now) {
  TargetState& state = this->states[vm];
  // The own calls are known at every moment; only the others' part of the
  // report grows old.
  state.others =
      std::max(0, report.in_flight + report.queued - state.own_in_flight);
  state.limit = std::max(1, report.limit);
  state.levels[customer] = {report.level, now};
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
