#include "state/mesh_view.h"

#include <utility>

namespace daisywinch {

MeshView::MeshView(std::shared_ptr<const MeshConfiguration> configuration,
                   std::map<std::string, MeshTarget> targets,
                   std::set<std::string> evacuated)
    : configuration(std::move(configuration)),
      targets(std::move(targets)),
      evacuated(evacuated.begin(), evacuated.end()) {
  std::map<Address, const MeshTarget*> newest;
  for (const auto& [id, target] : this->targets) {
    const MeshTarget*& found = newest[target.address];
    if (found == nullptr || target.born > found->born) {
      found = &target;
    }
  }
  for (const auto& [id, target] : this->targets) {
    const bool is_newest = newest[target.address] == &target;
    if (is_newest && !target.leaving &&
        !this->IsEvacuated(target.data_centre)) {
      this->usable_targets[target.service].push_back(&target);
    }
  }
}

const std::vector<const MeshTarget*>& MeshView::UsableTargets(
    std::string_view service) const {
  static const std::vector<const MeshTarget*> none;
  const auto found = this->usable_targets.find(service);
  return found == this->usable_targets.end() ? none : found->second;
}

const MeshTarget* MeshView::FindAt(const Address& address) const {
  const MeshTarget* newest = nullptr;
  for (const auto& [id, target] : this->targets) {
    if (target.address == address &&
        (newest == nullptr || target.born > newest->born)) {
      newest = &target;
    }
  }
  return newest;
}

bool MeshView::IsEvacuated(std::string_view data_centre) const {
  return this->evacuated.contains(data_centre);
}

std::set<std::string> MeshView::VmAddresses() const {
  std::set<std::string> addresses;
  for (const auto& [id, target] : this->targets) {
    addresses.insert(target.address.ip);
  }
  return addresses;
}

std::map<std::string, std::set<std::string>> MeshView::VmsByDataCentre() const {
  std::map<std::string, std::set<std::string>> vms;
  for (const auto& [id, target] : this->targets) {
    vms[target.data_centre].insert(target.address.ip);
  }
  return vms;
}

}  // namespace daisywinch
