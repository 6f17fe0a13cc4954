#include "coordination/traffic_sum.h"

namespace daisywinch {

namespace {

/// Weight of a node's costs in addition to its rate of runs; keeps the mean
/// defined when all rates are 0.
constexpr double kBaseCostWeight = 0.01;

/// Merges `other` into `mean`, weighted by their rates of runs.
void MergeCost(RouteCost& mean, const RouteCost& other) {
  const double other_weight = other.rate + kBaseCostWeight;
  const double weight = mean.route.empty() ? 0 : mean.rate + kBaseCostWeight;
  const double fraction = other_weight / (weight + other_weight);
  mean.route = other.route;
  mean.rate += other.rate;
  mean.slot_seconds += fraction * (other.slot_seconds - mean.slot_seconds);
  for (auto& [callee, calls] : mean.nested_calls) {
    calls *= 1 - fraction;
  }
  for (const auto& [callee, calls] : other.nested_calls) {
    mean.nested_calls[callee] += fraction * calls;
  }
}

void AddTraffic(LoadSum& sum,
                const std::map<RootClass, RootTraffic>& roots,
                const std::map<std::string, NestedTraffic>& nested) {
  for (const auto& [root_class, traffic] : roots) {
    sum.roots[root_class].offered += traffic.offered;
    sum.roots[root_class].served += traffic.served;
  }
  for (const auto& [service, traffic] : nested) {
    sum.nested[service].calls += traffic.calls;
    sum.nested[service].refused += traffic.refused;
  }
}

}  // namespace

void AddTo(LoadSum& sum, const NodeLoad& load) {
  sum.slots[load.service] += load.slots;
  for (const RouteCost& cost : load.costs) {
    MergeCost(sum.costs[cost.route], cost);
  }
  AddTraffic(sum, load.roots, load.nested);
}

void AddTo(LoadSum& sum, const LoadSum& other) {
  for (const auto& [service, slots] : other.slots) {
    sum.slots[service] += slots;
  }
  for (const auto& [route, cost] : other.costs) {
    MergeCost(sum.costs[route], cost);
  }
  AddTraffic(sum, other.roots, other.nested);
}

}  // namespace daisywinch
