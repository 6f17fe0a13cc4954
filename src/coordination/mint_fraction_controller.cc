#include "coordination/mint_fraction_controller.h"

#include <algorithm>

namespace daisywinch {

std::size_t WitnessQuorum(std::size_t witness_count) {
  return (witness_count + 1) / 2;
}

MintFractionController::MintFractionController(TimePoint started_at)
    : started_at(started_at) {}

void MintFractionController::SetPlannedFractions(
    const std::map<std::string, double>& fractions,
    const std::set<std::string>& new_vms,
    TimePoint /*now*/) {
  for (const std::string& vm : this->vms) {
    if (!new_vms.contains(vm)) {
      this->removed_vms.insert(vm);
    }
  }
  this->vms = new_vms;
  this->planned = fractions;
  this->applied_since.reset();
  for (auto fraction = this->effective.begin();
       fraction != this->effective.end();) {
    const auto plan = this->planned.find(fraction->first);
    if (plan == this->planned.end()) {
      fraction = this->effective.erase(fraction);
      continue;
    }
    fraction->second = std::min(fraction->second, plan->second);
    ++fraction;
  }
}

bool MintFractionController::ApplyPendingIncreases(const VmListRollout& rollout,
                                                   TimePoint now) {
  if (this->IsSettled()) {
    this->removed_vms.clear();
    return false;
  }
  const std::size_t behind =
      rollout.nodes_not_applied + this->removed_vms.size();
  const std::size_t tolerated =
      std::max<std::size_t>(1, WitnessQuorum(rollout.witness_count));
  if (behind > tolerated) {
    this->applied_since.reset();
    return false;
  }
  if (!this->applied_since) {
    this->applied_since = now;
  }
  const Duration wait = behind == 0 ? Duration(kTokenLease)
                                    : Duration(kWitnessTimeout + kTokenLease);
  // An earlier process on this VM may have granted tokens that are still valid.
  const bool previous_leases_expired = now - this->started_at >= kTokenLease;
  if (!previous_leases_expired || now - *this->applied_since < wait) {
    return false;
  }
  this->effective = this->planned;
  this->removed_vms.clear();
  return true;
}

}  // namespace daisywinch
