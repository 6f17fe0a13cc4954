#include "coordination/mint_plan.h"

#include <algorithm>
#include <utility>

#include "state/key_digest.h"

namespace daisywinch {

namespace {

/// Burst that a minter should have to itself.
constexpr double kBurstPerMinter = 8;

std::size_t MinterCount(double burst, std::size_t vm_count) {
  const int wanted =
      std::clamp(static_cast<int>(burst / kBurstPerMinter), 1, kMostMinters);
  return std::min<std::size_t>(wanted, vm_count);
}

}  // namespace

std::vector<std::string> MintersOf(const Snapshot& snapshot,
                                   const Customer& customer,
                                   std::string_view data_centre) {
  const DataCentre* site =
      snapshot.CurrentConfiguration().FindDataCentre(data_centre);
  if (site == nullptr) {
    return {};
  }
  std::vector<std::pair<std::string, std::string>> weighted;
  for (const Vm& vm : snapshot.CurrentVmList().vms) {
    if (vm.data_centre == data_centre && !vm.leaving) {
      weighted.emplace_back(Sha256Hex(vm.name + "\n" + customer.name), vm.name);
    }
  }
  std::sort(weighted.rbegin(), weighted.rend());
  weighted.resize(MinterCount(customer.burst * site->share, weighted.size()));
  std::vector<std::string> names;
  names.reserve(weighted.size());
  for (const auto& [weight, name] : weighted) {
    names.push_back(name);
  }
  return names;
}

std::map<std::string, double> MintFractions(const Snapshot& snapshot,
                                            std::string_view vm,
                                            std::string_view data_centre) {
  std::map<std::string, double> fractions;
  const Configuration& configuration = snapshot.CurrentConfiguration();
  const DataCentre* site = configuration.FindDataCentre(data_centre);
  if (site == nullptr) {
    return fractions;
  }
  for (const Customer& customer : configuration.customers) {
    const std::vector<std::string> minters =
        MintersOf(snapshot, customer, data_centre);
    const bool mints =
        std::find(minters.begin(), minters.end(), vm) != minters.end();
    if (mints) {
      fractions[customer.name] =
          site->share / static_cast<double>(minters.size());
    }
  }
  return fractions;
}

}  // namespace daisywinch
