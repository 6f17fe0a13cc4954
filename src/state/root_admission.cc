#include "state/root_admission.h"

#include <algorithm>

namespace daisywinch {

namespace {

/// Fraction of every class that is admitted first, regardless of the capacity.
constexpr double kMinFraction = 0.1;

/// Unassigned slots by service.
using FreeSlotsByService = std::map<std::string, double>;

/// Largest fraction of the load, up to `max_fraction`, that fits into the free
/// slots.
double FittingFraction(const OfferedLoad& load,
                       const FreeSlotsByService& free_slots,
                       double max_fraction) {
  double fraction = max_fraction;
  for (const auto& [service, seconds] : load.slot_seconds) {
    const auto found = free_slots.find(service);
    const double needed = load.rate * seconds;
    if (found != free_slots.end() && needed > 0) {
      fraction = std::min(fraction, std::max(0.0, found->second) / needed);
    }
  }
  return fraction;
}

void ReserveSlots(const OfferedLoad& load,
                  double fraction,
                  FreeSlotsByService& free_slots) {
  for (const auto& [service, seconds] : load.slot_seconds) {
    const auto found = free_slots.find(service);
    if (found != free_slots.end()) {
      found->second -= fraction * load.rate * seconds;
    }
  }
}

/// Fraction of the slots of the bottleneck service that one request per second
/// occupies.
double BottleneckCost(const OfferedLoad& load,
                      const std::string& bottleneck,
                      const FreeSlotsByService& slots) {
  const auto seconds = load.slot_seconds.find(bottleneck);
  const auto found = slots.find(bottleneck);
  if (seconds == load.slot_seconds.end() || found == slots.end()) {
    return 0;
  }
  return seconds->second / std::max(1.0, found->second);
}

/// Service with the highest ratio of demand to slots; empty if there is no
/// demand.
std::string BottleneckService(const std::vector<OfferedLoad>& loads,
                              const FreeSlotsByService& slots) {
  std::map<std::string, double> demand;
  for (const OfferedLoad& load : loads) {
    for (const auto& [service, seconds] : load.slot_seconds) {
      demand[service] += load.rate * seconds;
    }
  }
  std::string bottleneck;
  double highest = 0;
  for (const auto& [service, sum] : demand) {
    const auto found = slots.find(service);
    const double load =
        found == slots.end() ? 0 : sum / std::max(1.0, found->second);
    if (load > highest) {
      highest = load;
      bottleneck = service;
    }
  }
  return bottleneck;
}

}  // namespace

std::map<RootClass, double> AdmittedFractions(
    const std::vector<OfferedLoad>& loads,
    const std::map<std::string, double>& slots) {
  FreeSlotsByService free_slots = slots;
  std::map<RootClass, double> fractions;
  for (const OfferedLoad& load : loads) {
    fractions[load.root_class] = kMinFraction;
    ReserveSlots(load, kMinFraction, free_slots);
  }
  const std::string bottleneck = BottleneckService(loads, slots);
  std::vector<const OfferedLoad*> order;
  order.reserve(loads.size());
  for (const OfferedLoad& load : loads) {
    order.push_back(&load);
  }
  std::sort(order.begin(), order.end(),
            [&](const OfferedLoad* left, const OfferedLoad* right) {
              if (left->root_class.priority != right->root_class.priority) {
                return left->root_class.priority < right->root_class.priority;
              }
              return BottleneckCost(*left, bottleneck, slots) <
                     BottleneckCost(*right, bottleneck, slots);
            });
  for (const OfferedLoad* load : order) {
    const double fraction =
        FittingFraction(*load, free_slots, 1 - kMinFraction);
    ReserveSlots(*load, fraction, free_slots);
    fractions[load->root_class] += fraction;
  }
  return fractions;
}

}  // namespace daisywinch
