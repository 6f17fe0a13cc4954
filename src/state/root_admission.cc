#include "state/root_admission.h"

#include <algorithm>

namespace daisywinch {

namespace {

/// Part of every kind that is admitted before any other.
constexpr double kLeastPart = 0.1;

/// Slots that are still free, by service.
using FreeSlots = std::map<std::string, double>;

/// The largest part of a kind, up to `most`, that fits what is free.
double FittingPart(const RootOffer& offer, const FreeSlots& free, double most) {
  double part = most;
  for (const auto& [service, seconds] : offer.slot_seconds) {
    const auto found = free.find(service);
    const double needed = offer.rate * seconds;
    if (found != free.end() && needed > 0) {
      part = std::min(part, std::max(0.0, found->second) / needed);
    }
  }
  return part;
}

void Occupy(const RootOffer& offer, double part, FreeSlots& free) {
  for (const auto& [service, seconds] : offer.slot_seconds) {
    const auto found = free.find(service);
    if (found != free.end()) {
      found->second -= part * offer.rate * seconds;
    }
  }
}

/// The part of a service's slots that a request of the offer needs, at the
/// service that is shortest against all demand.
double Need(const RootOffer& offer,
            const std::string& shortest,
            const FreeSlots& slots) {
  const auto seconds = offer.slot_seconds.find(shortest);
  const auto found = slots.find(shortest);
  if (seconds == offer.slot_seconds.end() || found == slots.end()) {
    return 0;
  }
  return seconds->second / std::max(1.0, found->second);
}

/// The service with the most demand for each slot.
std::string ShortestService(const std::vector<RootOffer>& offers,
                            const FreeSlots& slots) {
  std::map<std::string, double> demand;
  for (const RootOffer& offer : offers) {
    for (const auto& [service, seconds] : offer.slot_seconds) {
      demand[service] += offer.rate * seconds;
    }
  }
  std::string shortest;
  double highest = 0;
  for (const auto& [service, sum] : demand) {
    const auto found = slots.find(service);
    const double load =
        found == slots.end() ? 0 : sum / std::max(1.0, found->second);
    if (load > highest) {
      highest = load;
      shortest = service;
    }
  }
  return shortest;
}

}  // namespace

std::map<RootKind, double> AdmittedParts(
    const std::vector<RootOffer>& offers,
    const std::map<std::string, double>& slots) {
  FreeSlots free = slots;
  std::map<RootKind, double> parts;
  for (const RootOffer& offer : offers) {
    parts[offer.kind] = kLeastPart;
    Occupy(offer, kLeastPart, free);
  }
  const std::string shortest = ShortestService(offers, slots);
  std::vector<const RootOffer*> order;
  order.reserve(offers.size());
  for (const RootOffer& offer : offers) {
    order.push_back(&offer);
  }
  std::sort(order.begin(), order.end(),
            [&](const RootOffer* left, const RootOffer* right) {
              if (left->kind.priority != right->kind.priority) {
                return left->kind.priority < right->kind.priority;
              }
              return Need(*left, shortest, slots) <
                     Need(*right, shortest, slots);
            });
  for (const RootOffer* offer : order) {
    const double part = FittingPart(*offer, free, 1 - kLeastPart);
    Occupy(*offer, part, free);
    parts[offer->kind] += part;
  }
  return parts;
}

}  // namespace daisywinch
