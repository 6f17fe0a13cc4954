#include "state/load_balancer.h"

#include <algorithm>
#include <utility>

#include "state/rendezvous.h"

namespace daisywinch {

namespace {

constexpr std::chrono::milliseconds kInitialBackoff{250};
constexpr std::chrono::milliseconds kMaxBackoff{5000};
constexpr std::chrono::milliseconds kMaxReportAge{1000};
/// Utilization of the local target from which calls are sent to other data
/// centres.
constexpr double kSpilloverUtilization = 1.0;
constexpr double kMinSendProbability = 0.02;

}  // namespace

LoadBalancer::LoadBalancer(std::string data_centre, std::uint64_t seed)
    : data_centre(std::move(data_centre)), random(seed) {}

const Vm* LoadBalancer::Choose(const Snapshot& snapshot,
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
  std::vector<const Vm*> fallback;
  for (const Vm& target : targets) {
    if (excluded.contains(target.name)) {
      continue;
    }
    if (snapshot.IsSuspected(target.name) ||
        this->IsInBackoff(target.name, now)) {
      fallback.push_back(&target);
    } else if (target.data_centre == this->data_centre) {
      local.push_back(&target);
    } else {
      remote.push_back(&target);
    }
  }
  const Vm* choice = this->ChooseOfTwo(local);
  const bool should_spill =
      choice == nullptr ||
      this->UtilizationOf(choice->name) >= kSpilloverUtilization ||
      this->AdmissionProbabilityOf(choice->name, customer, request_class, now) <
          1;
  if (should_spill && !remote.empty()) {
    const Vm* other = this->ChooseOfTwo(remote);
    const bool better =
        choice == nullptr ||
        (this->UtilizationOf(other->name) < this->UtilizationOf(choice->name) &&
         this->AdmissionProbabilityOf(other->name, customer, request_class,
                                      now) >= 1);
    choice = better ? other : choice;
  }
  return choice != nullptr ? choice : this->ChooseOfTwo(fallback);
}

const Vm* LoadBalancer::ChooseByHash(const std::vector<Vm>& targets,
                                     std::string_view idempotency_key) const {
  std::vector<std::string> names;
  names.reserve(targets.size());
  for (const Vm& target : targets) {
    names.push_back(target.name);
  }
  const std::string* name = ChooseByRendezvous(names, idempotency_key);
  return name == nullptr ? nullptr : &targets[name - names.data()];
}

const Vm* LoadBalancer::ChooseOfTwo(const std::vector<const Vm*>& candidates) {
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
  return this->UtilizationOf(right->name) < this->UtilizationOf(left->name)
             ? right
             : left;
}

double LoadBalancer::UtilizationOf(const std::string& vm) const {
  const auto found = this->states.find(vm);
  if (found == this->states.end()) {
    return 0;
  }
  const TargetState& state = found->second;
  return static_cast<double>(state.local_in_flight + state.others_in_flight) /
         state.limit;
}

bool LoadBalancer::IsInBackoff(const std::string& vm, TimePoint now) const {
  const auto found = this->states.find(vm);
  return found != this->states.end() && now < found->second.backoff_until;
}

double LoadBalancer::AdmissionProbabilityOf(const std::string& vm,
                                            const std::string& customer,
                                            RequestClass request_class,
                                            TimePoint now) const {
  const auto found = this->states.find(vm);
  if (found == this->states.end()) {
    return 1;
  }
  const auto level = found->second.levels.find(customer);
  if (level == found->second.levels.end() ||
      now - level->second.last_report_at > kMaxReportAge) {
    return 1;
  }
  return AdmissionProbability(level->second.level, request_class);
}

bool LoadBalancer::ShouldSend(const std::string& vm,
                              const std::string& customer,
                              RequestClass request_class,
                              TimePoint now) {
  const double probability =
      this->AdmissionProbabilityOf(vm, customer, request_class, now);
  if (probability >= 1) {
    return true;
  }
  // A small fraction of every class is sent in any case, to keep the levels of
  // all customers up to date.
  std::uniform_real_distribution<double> draw(0, 1);
  return draw(this->random) < std::max(probability, kMinSendProbability);
}

void LoadBalancer::CallStarted(const std::string& vm) {
  ++this->states[vm].local_in_flight;
}

void LoadBalancer::CallEnded(const std::string& vm) {
  --this->states[vm].local_in_flight;
}

void LoadBalancer::RecordReport(const std::string& vm,
                                const std::string& customer,
                                const GateReport& report,
                                TimePoint now) {
  TargetState& state = this->states[vm];
  // The calls of this ingress are known at any time; only the number of calls
  // of other ingresses is taken from the report.
  state.others_in_flight =
      std::max(0, report.in_flight + report.queued - state.local_in_flight);
  state.limit = std::max(1, report.limit);
  state.levels[customer] = {report.level, now};
  state.consecutive_failures = 0;
  state.backoff_until = TimePoint();
}

void LoadBalancer::RecordFailure(const std::string& vm, TimePoint now) {
  TargetState& state = this->states[vm];
  const Duration backoff = std::min<Duration>(
      kMaxBackoff,
      kInitialBackoff * (1 << std::min(state.consecutive_failures, 8)));
  ++state.consecutive_failures;
  state.backoff_until = now + backoff;
}

}  // namespace daisywinch
