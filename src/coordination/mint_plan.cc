#include "coordination/mint_plan.h"

#include <algorithm>
#include <utility>

#include "state/key_digest.h"

namespace daisywinch {

namespace {

/// Minimum burst of one minter, in tokens; a smaller burst would hold too few
/// whole tokens to grant.
constexpr double kMinBurstPerMinter = 8;

std::size_t MinterCount(double burst, std::size_t vm_count) {
  const int wanted =
      std::clamp(static_cast<int>(burst / kMinBurstPerMinter), 1, kMaxMinters);
  return std::min<std::size_t>(wanted, vm_count);
}

}  // namespace

std::vector<std::string> SelectMinters(const Snapshot& snapshot,
                                       const Customer& customer,
                                       std::string_view data_centre) {
  const DataCentre* data_centre_config =
      snapshot.CurrentConfiguration().FindDataCentre(data_centre);
  if (data_centre_config == nullptr) {
    return {};
  }
  std::vector<std::pair<std::string, std::string>> ranked;
  for (const Vm& vm : snapshot.CurrentVmList().vms) {
    if (vm.data_centre == data_centre && !vm.leaving) {
      ranked.emplace_back(Sha256Hex(vm.name + "\n" + customer.name), vm.name);
    }
  }
  std::sort(ranked.rbegin(), ranked.rend());
  ranked.resize(
      MinterCount(customer.burst * data_centre_config->share, ranked.size()));
  std::vector<std::string> names;
  names.reserve(ranked.size());
  for (const auto& [hash, name] : ranked) {
    names.push_back(name);
  }
  return names;
}

std::map<std::string, double> ComputeMintFractions(
    const Snapshot& snapshot,
    std::string_view vm,
    std::string_view data_centre) {
  std::map<std::string, double> fractions;
  const Configuration& configuration = snapshot.CurrentConfiguration();
  const DataCentre* data_centre_config =
      configuration.FindDataCentre(data_centre);
  if (data_centre_config == nullptr) {
    return fractions;
  }
  for (const Customer& customer : configuration.customers) {
    const std::vector<std::string> minters =
        SelectMinters(snapshot, customer, data_centre);
    const bool mints =
        std::find(minters.begin(), minters.end(), vm) != minters.end();
    if (mints) {
      fractions[customer.name] =
          data_centre_config->share / static_cast<double>(minters.size());
    }
  }
  return fractions;
}

}  // namespace daisywinch
