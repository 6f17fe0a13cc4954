#include "coordination/tree_costs.h"

#include <string_view>

#include "state/route_classes.h"

namespace daisywinch {

namespace {

void AddScaled(const TreeCosts::SecondsByService& seconds_by_service,
               double factor,
               TreeCosts::SecondsByService& sums) {
  for (const auto& [service, seconds] : seconds_by_service) {
    sums[service] += factor * seconds;
  }
}

/// Fraction of the requests of a class that each service gets; empty for an
/// unknown class.
std::vector<WeightedService> ServiceShares(
    const MeshConfiguration& configuration,
    const std::string& route_class) {
  if (const std::optional<std::string_view> service =
          RouteClasses::ServiceOf(route_class)) {
    return {{std::string(*service), 1}};
  }
  const MeshRoute* route = configuration.FindRouteByName(route_class);
  if (route == nullptr) {
    return {};
  }
  double total_weight = 0;
  for (const WeightedService& weighted : route->traffic_split) {
    total_weight += weighted.weight;
  }
  std::vector<WeightedService> shares = route->traffic_split;
  for (WeightedService& share : shares) {
    share.weight /= total_weight;
  }
  return shares;
}

}  // namespace

std::size_t TreeCosts::IndexOf(const std::string& route_class) {
  const auto [position, is_new] =
      this->indices.try_emplace(route_class, this->classes.size());
  const std::size_t index = position->second;
  if (is_new) {
    this->classes.emplace_back();
    this->classes[index] = this->MakeClassCost(route_class);
  }
  return index;
}

TreeCosts::ClassCost TreeCosts::MakeClassCost(const std::string& route_class) {
  ClassCost result;
  const std::vector<WeightedService> shares =
      ServiceShares(this->configuration, route_class);
  const auto cost = this->costs.find(route_class);
  if (shares.empty()) {
    return result;
  }
  if (cost == this->costs.end()) {
    // The nodes that run the route count it to the shared class.
    for (const WeightedService& share : shares) {
      const auto shared =
          this->costs.find(RouteClasses::SharedClass(share.service));
      if (shared != this->costs.end()) {
        this->AddRuns(shared->second, share.weight, {{share.service, 1}},
                      result);
      }
    }
    return result;
  }
  this->AddRuns(cost->second, 1, shares, result);
  return result;
}

void TreeCosts::AddRuns(const RouteCost& cost,
                        double runs,
                        const std::vector<WeightedService>& shares,
                        ClassCost& result) {
  for (const WeightedService& share : shares) {
    result.own_seconds[share.service] +=
        runs * cost.slot_seconds * share.weight;
  }
  for (const auto& [callee, calls] : cost.nested_calls) {
    if (calls >= kMinCallsPerRun) {
      result.callees.emplace_back(this->IndexOf(callee), runs * calls);
    }
  }
}

const TreeCosts::SecondsByService& TreeCosts::SubtreeCost(std::size_t index,
                                                          std::size_t depth) {
  static const SecondsByService none;
  if (depth >= kMaxDepth) {
    return none;
  }
  ClassCost& start = this->classes[index];
  std::optional<SecondsByService>& known = start.subtree_seconds[depth];
  if (!known) {
    SecondsByService sums = start.own_seconds;
    for (const auto& [callee, calls] : start.callees) {
      AddScaled(this->SubtreeCost(callee, depth + 1), calls, sums);
    }
    known = std::move(sums);
  }
  return *known;
}

}  // namespace daisywinch
