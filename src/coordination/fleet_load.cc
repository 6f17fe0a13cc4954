#include "coordination/fleet_load.h"

#include <algorithm>
#include <cmath>
#include <utility>
#include <vector>

namespace daisywinch {

namespace {

/// Age at which the last load report of a node is no longer used.
constexpr std::chrono::milliseconds kMaxLoadAge{2500};
/// Fraction of the usable slots that admitted root requests may fill on
/// average. No margin is needed: gates keep some slots free already, and the
/// feedback from refused calls corrects for remaining queues.
constexpr double kTargetUtilization = 1.0;
/// Time between two corrections, about the age of the load reports that they
/// use.
constexpr std::chrono::milliseconds kCorrectionInterval{500};
/// Fractions of nested calls refused above which the usable slots of a service
/// are reduced, and below which they are increased.
constexpr double kHighRefusedFraction = 0.03;
constexpr double kLowRefusedFraction = 0.01;
constexpr double kDecreaseFactor = 0.85;
/// When the fraction r of the nested calls is refused, the usable slots are
/// multiplied by 1 - kRefusedWeight * r or by kDecreaseFactor, whichever is
/// less.
constexpr double kRefusedWeight = 0.6;
constexpr double kIncreaseStep = 0.1;
constexpr double kMinCorrection = 0.1;
/// Depth at which a call tree is not followed further, as it probably contains
/// a loop.
constexpr int kMaxTreeDepth = 10;
/// Estimated calls per run below which a nested call is regarded as noise.
constexpr double kMinCallsPerRun = 0.02;

/// "service demand/slots" for each service, both in slots.
std::string DescribeDemand(const std::vector<OfferedLoad>& loads,
                           const std::map<std::string, double>& slots) {
  std::string text;
  for (const auto& [service, count] : slots) {
    double demand = 0;
    for (const OfferedLoad& load : loads) {
      const auto seconds = load.slot_seconds.find(service);
      demand +=
          seconds == load.slot_seconds.end() ? 0 : load.rate * seconds->second;
    }
    text += (text.empty() ? "" : " ") + service + " " +
            std::to_string(std::lround(demand)) + "/" +
            std::to_string(std::lround(count));
  }
  return text;
}

}  // namespace

void FleetLoad::ApplyNodeLoad(const std::string& node,
                              const NodeLoad& load,
                              TimePoint now) {
  LoadSum sum;
  AddTo(sum, load);
  this->ApplyLoadSum(node, std::move(sum), now);
}

void FleetLoad::ApplyLoadSum(const std::string& nodes,
                             LoadSum sum,
                             TimePoint now) {
  this->received_loads[nodes] = {std::move(sum), now};
  std::erase_if(this->received_loads, [now](const auto& entry) {
    return now - entry.second.received_at > kMaxLoadAge;
  });
}

LoadSum FleetLoad::CurrentSum(TimePoint now) const {
  LoadSum sum;
  for (const auto& [name, received] : this->received_loads) {
    if (now - received.received_at <= kMaxLoadAge) {
      AddTo(sum, received.load);
    }
  }
  return sum;
}

void FleetLoad::AddCost(const MeshConfiguration& configuration,
                        const CostTable& costs,
                        const std::string& route,
                        double runs,
                        int depth,
                        std::map<std::string, double>& sums) {
  const auto cost = costs.find(route);
  const MeshRoute* mesh_route = configuration.FindRouteByName(route);
  if (cost == costs.end() || mesh_route == nullptr || depth >= kMaxTreeDepth) {
    return;
  }
  double total_weight = 0;
  for (const WeightedService& weighted : mesh_route->traffic_split) {
    total_weight += weighted.weight;
  }
  for (const WeightedService& weighted : mesh_route->traffic_split) {
    sums[weighted.service] +=
        runs * cost->second.slot_seconds * weighted.weight / total_weight;
  }
  for (const auto& [callee, calls] : cost->second.nested_calls) {
    if (calls >= kMinCallsPerRun) {
      AddCost(configuration, costs, callee, runs * calls, depth + 1, sums);
    }
  }
}

std::map<std::string, double> FleetLoad::TreeCost(
    const MeshConfiguration& configuration,
    const std::string& route,
    TimePoint now) const {
  std::map<std::string, double> sums;
  AddCost(configuration, this->CurrentSum(now).costs, route, 1, 0, sums);
  return sums;
}

void FleetLoad::CorrectSupply(const LoadSum& sum, TimePoint now) {
  if (now - this->corrected_at < kCorrectionInterval) {
    return;
  }
  this->corrected_at = now;
  for (const auto& [service, supply] : sum.services) {
    double& correction =
        this->corrections.try_emplace(service, 1).first->second;
    const double refused =
        supply.slots > 0 ? supply.refused_slots / supply.slots : 0;
    if (refused > kHighRefusedFraction) {
      const double decrease =
          std::min(kDecreaseFactor, 1 - kRefusedWeight * refused);
      correction = std::max(kMinCorrection, correction * decrease);
    } else if (refused < kLowRefusedFraction) {
      correction = std::min(1.0, correction + kIncreaseStep);
    }
  }
}

std::map<RootClass, double> FleetLoad::AdmittedFractions(
    const MeshConfiguration& configuration,
    TimePoint now) {
  const LoadSum sum = this->CurrentSum(now);
  this->CorrectSupply(sum, now);
  std::map<std::string, double> slots;
  for (const auto& [service, supply] : sum.services) {
    const auto correction = this->corrections.find(service);
    slots[service] =
        supply.slots * kTargetUtilization *
        (correction == this->corrections.end() ? 1 : correction->second);
  }
  std::vector<OfferedLoad> loads;
  for (const auto& [root_class, rate] : sum.roots) {
    OfferedLoad load;
    load.root_class = root_class;
    load.rate = rate;
    AddCost(configuration, sum.costs, root_class.route, 1, 0,
            load.slot_seconds);
    loads.push_back(std::move(load));
  }
  this->last_demand_summary = DescribeDemand(loads, slots);
  return daisywinch::AdmittedFractions(loads, slots);
}

}  // namespace daisywinch
