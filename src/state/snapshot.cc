#include "state/snapshot.h"

#include <utility>

namespace daisywinch {

Snapshot::Snapshot(Configuration configuration,
                   VmList vm_list,
                   std::set<std::string> suspected_vms)
    : configuration(std::move(configuration)),
      vm_list(std::move(vm_list)),
      keys(this->configuration),
      routes(this->configuration),
      suspected_vms(suspected_vms.begin(), suspected_vms.end()) {
  for (const Vm& vm : this->vm_list.vms) {
    const DataCentre* data_centre =
        this->configuration.FindDataCentre(vm.data_centre);
    if (!vm.leaving && data_centre != nullptr && data_centre->in_service) {
      this->targets_by_service[vm.service].push_back(vm);
    }
  }
}

const std::vector<Vm>& Snapshot::Targets(std::string_view service) const {
  static const std::vector<Vm> none;
  const auto found = this->targets_by_service.find(std::string(service));
  return found == this->targets_by_service.end() ? none : found->second;
}

bool Snapshot::IsSuspected(std::string_view vm) const {
  return this->suspected_vms.find(vm) != this->suspected_vms.end();
}

}  // namespace daisywinch
