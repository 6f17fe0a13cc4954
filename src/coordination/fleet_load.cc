#include "coordination/fleet_load.h"

#include <algorithm>

namespace daisywinch {

namespace {

/// Time after which a silent node's news counts no more.
constexpr std::chrono::milliseconds kNewsAge{2500};
/// Part of the slots that admitted roots may fill on average; the rest takes
/// what comes unevenly.
constexpr double kFilledPart = 0.92;
/// Part of the slots that is given up for each waiting request a slot, so that
/// a queue drains.
constexpr double kDrainPart = 0.5;
constexpr double kLeastDrained = 0.4;
/// Depth at which a call tree is taken for a loop.
constexpr int kDeepest = 10;
/// Calls per run below which a call is taken for noise of the learning.
constexpr double kLeastCalls = 0.02;
/// Weight of a node's rows besides its rate of runs.
constexpr double kRowWeight = 0.01;

}  // namespace

void FleetLoad::Take(const std::string& node,
                     const NodeLoad& load,
                     TimePoint now) {
  this->nodes[node] = {load, now};
  std::erase_if(this->nodes, [now](const auto& entry) {
    return now - entry.second.heard_at > kNewsAge;
  });
}

FleetLoad::CostTable FleetLoad::MeanCosts(TimePoint now) const {
  CostTable means;
  std::map<std::string, double> weights;
  for (const auto& [name, node] : this->nodes) {
    if (now - node.heard_at > kNewsAge) {
      continue;
    }
    for (const RouteCost& cost : node.load.costs) {
      const double weight = cost.rate + kRowWeight;
      RouteCost& mean = means[cost.route];
      mean.route = cost.route;
      mean.rate += cost.rate;
      mean.slot_seconds += weight * cost.slot_seconds;
      for (const auto& [callee, calls] : cost.onward) {
        mean.onward[callee] += weight * calls;
      }
      weights[cost.route] += weight;
    }
  }
  for (auto& [route, mean] : means) {
    const double weight = weights[route];
    mean.slot_seconds /= weight;
    for (auto& [callee, calls] : mean.onward) {
      calls /= weight;
    }
  }
  return means;
}

void FleetLoad::AddCost(const MeshConfiguration& configuration,
                        const CostTable& costs,
                        const std::string& route,
                        double runs,
                        int depth,
                        std::map<std::string, double>& sums) {
  const auto cost = costs.find(route);
  const MeshRoute* found = configuration.FindRouteByName(route);
  if (cost == costs.end() || found == nullptr || depth >= kDeepest) {
    return;
  }
  double total_weight = 0;
  for (const RoutePart& part : found->parts) {
    total_weight += part.weight;
  }
  for (const RoutePart& part : found->parts) {
    sums[part.service] +=
        runs * cost->second.slot_seconds * part.weight / total_weight;
  }
  for (const auto& [callee, calls] : cost->second.onward) {
    if (calls >= kLeastCalls) {
      AddCost(configuration, costs, callee, runs * calls, depth + 1, sums);
    }
  }
}

std::map<std::string, double> FleetLoad::TreeCost(
    const MeshConfiguration& configuration,
    const std::string& route,
    TimePoint now) const {
  std::map<std::string, double> sums;
  AddCost(configuration, this->MeanCosts(now), route, 1, 0, sums);
  return sums;
}

std::map<RootKind, double> FleetLoad::AdmittedParts(
    const MeshConfiguration& configuration,
    TimePoint now) const {
  const CostTable costs = this->MeanCosts(now);
  std::map<RootKind, double> rates;
  std::map<std::string, double> slots;
  for (const auto& [name, node] : this->nodes) {
    if (now - node.heard_at > kNewsAge) {
      continue;
    }
    const double drained =
        std::max(kLeastDrained, 1 - kDrainPart * node.load.waiting);
    slots[node.load.service] += node.load.slots * kFilledPart * drained;
    for (const auto& [kind, rate] : node.load.roots) {
      rates[kind] += rate;
    }
  }
  std::vector<RootOffer> offers;
  for (const auto& [kind, rate] : rates) {
    RootOffer offer;
    offer.kind = kind;
    offer.rate = rate;
    AddCost(configuration, costs, kind.route, 1, 0, offer.slot_seconds);
    offers.push_back(std::move(offer));
  }
  return daisywinch::AdmittedParts(offers, slots);
}

}  // namespace daisywinch
