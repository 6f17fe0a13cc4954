#include "coordination/mint_schedule.h"

#include <algorithm>

namespace daisywinch {

std::size_t WitnessQuorum(std::size_t witnesses) {
  return (witnesses + 1) / 2;
}

MintSchedule::MintSchedule(TimePoint started_at) : started_at(started_at) {}

void MintSchedule::SetPlan(const std::map<std::string, double>& fractions,
                           const std::set<std::string>& new_vms,
                           TimePoint /*now*/) {
  for (const std::string& vm : this->vms) {
    if (!new_vms.contains(vm)) {
      this->dropped.insert(vm);
    }
  }
  this->vms = new_vms;
  this->planned = fractions;
  this->applied_since.reset();
  for (auto part = this->effective.begin(); part != this->effective.end();) {
    const auto plan = this->planned.find(part->first);
    if (plan == this->planned.end()) {
      part = this->effective.erase(part);
      continue;
    }
    part->second = std::min(part->second, plan->second);
    ++part;
  }
}

bool MintSchedule::Settle(const ListKnowledge& knowledge, TimePoint now) {
  if (this->IsSettled()) {
    this->dropped.clear();
    return false;
  }
  const std::size_t behind = knowledge.not_applied + this->dropped.size();
  const std::size_t tolerated =
      std::max<std::size_t>(1, WitnessQuorum(knowledge.witnesses));
  if (behind > tolerated) {
    this->applied_since.reset();
    return false;
  }
  if (!this->applied_since) {
    this->applied_since = now;
  }
  const Duration wait = behind == 0 ? Duration(kTokenLease)
                                    : Duration(kMintFreshness + kTokenLease);
  // Nothing that a predecessor of this process lent may still be alive.
  const bool predecessor_is_past = now - this->started_at >= kTokenLease;
  if (!predecessor_is_past || now - *this->applied_since < wait) {
    return false;
  }
  this->effective = this->planned;
  this->dropped.clear();
  return true;
}

}  // namespace daisywinch
