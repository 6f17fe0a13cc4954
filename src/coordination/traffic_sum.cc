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

}  // namespace

void AddTo(LoadSum& sum, const NodeLoad& load) {
  ServiceSupply& supply = sum.services[load.service];
  supply.slots += load.slots;
  supply.refused_slots += load.slots * load.refused_fraction;
  for (const RouteCost& cost : load.costs) {
    MergeCost(sum.costs[cost.route], cost);
  }
  for (const auto& [root_class, rate] : load.roots) {
    sum.roots[root_class] += rate;
  }
}

void AddTo(LoadSum& sum, const LoadSum& other) {
  for (const auto& [service, supply] : other.services) {
    sum.services[service].slots += supply.slots;
    sum.services[service].refused_slots += supply.refused_slots;
  }
  for (const auto& [route, cost] : other.costs) {
    MergeCost(sum.costs[route], cost);
  }
  for (const auto& [root_class, rate] : other.roots) {
    sum.roots[root_class] += rate;
  }
}

}  // namespace daisywinch
