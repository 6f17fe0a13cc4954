#include "coordination/fleet_load.h"

#include <algorithm>
#include <cmath>
#include <optional>
#include <set>
#include <string_view>
#include <utility>
#include <vector>

#include "state/route_classes.h"

namespace daisywinch {

namespace {

/// Age at which the last load report of a node is no longer used.
constexpr std::chrono::milliseconds kMaxLoadAge{2500};
/// Fraction of the usable slots of a service that admitted root requests may
/// fill on average if nested calls run there. Nested calls that find no free
/// slot fail their whole tree. Other services need no margin, as a root request
/// that is refused at the gate wastes no work.
constexpr double kNestedUtilization = 0.95;
/// Time between two corrections, about the age of the load reports that they
/// use.
constexpr std::chrono::milliseconds kCorrectionInterval{500};
/// Fractions of nested calls refused above which the usable slots of a service
/// are reduced, and below which they are increased.
constexpr double kHighRefusedFraction = 0.03;
constexpr double kLowRefusedFraction = 0.01;
/// Limits of the factor by which one correction changes the usable slots.
constexpr double kMaxDecreaseFactor = 0.7;
constexpr double kIncreaseStep = 0.2;
/// Added to the rate of nested calls, in calls per second, so that a few
/// refusals at low traffic yield a small fraction.
constexpr double kNestedCallRateOffset = 5;
/// Services that run nested calls.
std::set<std::string> NestedServices(const MeshConfiguration& configuration,
                                     const LoadSum& sum) {
  std::set<std::string> services;
  for (const auto& [name, cost] : sum.costs) {
    for (const auto& [callee, calls] : cost.nested_calls) {
      if (calls < kMinCallsPerRun) {
        continue;
      }
      if (const std::optional<std::string_view> service =
              RouteClasses::ServiceOf(callee)) {
        services.emplace(*service);
        continue;
      }
      const MeshRoute* route = configuration.FindRouteByName(callee);
      if (route == nullptr) {
        continue;
      }
      for (const WeightedService& weighted : route->traffic_split) {
        services.insert(weighted.service);
      }
    }
  }
  return services;
}

/// Whether runs make no nested calls, for each class with known costs.
std::map<std::string, bool> FindLeaves(const LoadSum& sum) {
  std::map<std::string, bool> leaves;
  for (const auto& [name, cost] : sum.costs) {
    leaves[name] = std::none_of(
        cost.nested_calls.begin(), cost.nested_calls.end(),
        [](const auto& entry) { return entry.second >= kMinCallsPerRun; });
  }
  return leaves;
}

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

std::map<std::string, double> FleetLoad::TreeCost(
    const MeshConfiguration& configuration,
    const std::string& route,
    TimePoint now) const {
  const LoadSum sum = this->CurrentSum(now);
  TreeCosts tree_costs(configuration, sum.costs);
  return tree_costs.CostOf(route);
}

bool FleetLoad::IsLeaf(const std::string& route,
                       const std::string& service) const {
  auto found = this->leaves.find(route);
  if (found == this->leaves.end()) {
    found = this->leaves.find(RouteClasses::SharedClass(service));
  }
  return found != this->leaves.end() && found->second;
}

LeafRetryRatios FleetLoad::RetryRatios(const std::string& service,
                                       double ratio) const {
  const auto found = this->leaf_calls.find(service);
  return found == this->leaf_calls.end()
             ? LeafRetryRatios{ratio, ratio}
             : DivideLeafRetries(ratio, found->second.roots,
                                 found->second.nested);
}

void FleetLoad::CountLeafCalls(const MeshConfiguration& configuration,
                               const LoadSum& sum) {
  this->leaf_calls.clear();
  for (const auto& [service, nested] : sum.nested) {
    this->leaf_calls[service].nested = nested.calls;
  }
  for (const MeshRoute& route : configuration.Routes()) {
    const auto known = this->leaves.find(route.name);
    if (known != this->leaves.end() && !known->second) {
      for (const WeightedService& weighted : route.traffic_split) {
        this->leaf_calls.erase(weighted.service);
      }
    }
  }
  for (const auto& [root_class, traffic] : sum.roots) {
    const MeshRoute* route = configuration.FindRouteByName(root_class.route);
    if (route == nullptr || route->traffic_split.size() != 1) {
      continue;
    }
    const auto found =
        this->leaf_calls.find(route->traffic_split.front().service);
    if (found != this->leaf_calls.end()) {
      found->second.roots += traffic.offered;
    }
  }
}

void FleetLoad::CorrectSupply(const LoadSum& sum,
                              TreeCosts& tree_costs,
                              const SlotsByService& slots_by_service,
                              TimePoint now) {
  for (const auto& [service, slots] : slots_by_service) {
    this->corrections.try_emplace(service, 1);
  }
  if (now - this->corrected_at < kCorrectionInterval) {
    return;
  }
  this->corrected_at = now;
  std::map<std::string, double> served_slots;
  for (const auto& [root_class, traffic] : sum.roots) {
    for (const auto& [service, seconds] : tree_costs.CostOf(root_class.route)) {
      served_slots[service] += traffic.served * seconds;
    }
  }
  for (const auto& [service, slots] : slots_by_service) {
    double& correction = this->corrections.at(service);
    const auto nested = sum.nested.find(service);
    const double refused =
        nested == sum.nested.end()
            ? 0
            : nested->second.refused /
                  (nested->second.calls + kNestedCallRateOffset);
    if (refused > kHighRefusedFraction) {
      const double served = slots > 0 ? served_slots[service] / slots : 0;
      const double decreased =
          correction * std::max(kMaxDecreaseFactor, 1 - refused);
      correction = std::min(correction, std::max(decreased, served));
    } else if (refused < kLowRefusedFraction) {
      correction = std::min(1.0, correction + kIncreaseStep);
    }
  }
}

std::map<RootClass, double> FleetLoad::AdmittedFractions(
    const MeshConfiguration& configuration,
    TimePoint now) {
  const LoadSum sum = this->CurrentSum(now);
  this->leaves = FindLeaves(sum);
  this->CountLeafCalls(configuration, sum);
  TreeCosts tree_costs(configuration, sum.costs);
  SlotsByService slots = sum.slots;
  for (const std::string& service : NestedServices(configuration, sum)) {
    const auto found = slots.find(service);
    if (found != slots.end()) {
      found->second *= kNestedUtilization;
    }
  }
  this->CorrectSupply(sum, tree_costs, slots, now);
  for (auto& [service, usable] : slots) {
    usable *= this->corrections.at(service);
  }
  std::vector<OfferedLoad> loads;
  for (const auto& [root_class, traffic] : sum.roots) {
    OfferedLoad load;
    load.root_class = root_class;
    load.rate = traffic.offered;
    load.slot_seconds = tree_costs.CostOf(root_class.route);
    loads.push_back(std::move(load));
  }
  this->last_demand_summary = DescribeDemand(loads, slots);
  this->last_usable_slots = slots;
  return daisywinch::AdmittedFractions(loads, slots);
}

}  // namespace daisywinch
