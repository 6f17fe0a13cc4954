#include "protocol/traffic_codec.h"

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <map>
#include <string>

namespace daisywinch {

namespace {

/// A number received from a peer; 0 if it is not finite or not positive.
double SanitizeNumber(float number) {
  return std::isfinite(number) && number > 0 ? number : 0;
}

/// An age received from a peer, limited to one day.
Duration ClampAge(std::uint64_t milliseconds) {
  constexpr std::uint64_t kMaxAgeMs = 24 * 60 * 60 * 1000;
  return std::chrono::milliseconds(std::min(milliseconds, kMaxAgeMs));
}

template <typename Message>
void EncodeCustomers(const std::map<std::string, CustomerUsage>& customers,
                     Message& message) {
  for (const auto& [customer, usage] : customers) {
    protocol::CustomerDemand* demand = message.add_customers();
    demand->set_customer(customer);
    demand->set_rate(static_cast<float>(usage.demand));
    demand->set_admitted(usage.admitted);
    demand->set_reserved(static_cast<float>(usage.reserved));
  }
}

template <typename Message>
std::map<std::string, CustomerUsage> DecodeCustomers(const Message& message) {
  std::map<std::string, CustomerUsage> customers;
  for (const protocol::CustomerDemand& demand : message.customers()) {
    customers[demand.customer()] = {demand.admitted(),
                                    SanitizeNumber(demand.rate()),
                                    SanitizeNumber(demand.reserved())};
  }
  return customers;
}

template <typename Message>
void EncodeRoots(const std::map<RootClass, double>& roots, Message& message) {
  for (const auto& [root_class, rate] : roots) {
    protocol::RootDemand* root = message.add_roots();
    root->set_route(root_class.route);
    root->set_priority(root_class.priority);
    root->set_rate(static_cast<float>(rate));
  }
}

template <typename Message>
std::map<RootClass, double> DecodeRoots(const Message& message) {
  std::map<RootClass, double> roots;
  for (const protocol::RootDemand& root : message.roots()) {
    roots[{root.route(), root.priority()}] = SanitizeNumber(root.rate());
  }
  return roots;
}

template <typename Message>
void EncodeCost(const RouteCost& cost, Message& message) {
  protocol::RouteCost* row = message.add_costs();
  row->set_route(cost.route);
  row->set_rate(static_cast<float>(cost.rate));
  row->set_slot_seconds(static_cast<float>(cost.slot_seconds));
  for (const auto& [callee, calls] : cost.nested_calls) {
    protocol::OnwardCalls* nested_call = row->add_onward();
    nested_call->set_route(callee);
    nested_call->set_calls(static_cast<float>(calls));
  }
}

RouteCost DecodeCost(const protocol::RouteCost& row) {
  RouteCost cost;
  cost.route = row.route();
  cost.rate = SanitizeNumber(row.rate());
  cost.slot_seconds = SanitizeNumber(row.slot_seconds());
  for (const protocol::OnwardCalls& nested_call : row.onward()) {
    cost.nested_calls[nested_call.route()] =
        SanitizeNumber(nested_call.calls());
  }
  return cost;
}

}  // namespace

void EncodeTrafficUpdate(const TrafficUpdate& traffic,
                         protocol::NodeNews& message) {
  EncodeCustomers(traffic.customers, message);
  EncodeRoots(traffic.load.roots, message);
  message.set_service(traffic.load.service);
  message.set_slots(static_cast<float>(traffic.load.slots));
  message.set_refused_part(static_cast<float>(traffic.load.refused_fraction));
  for (const RouteCost& cost : traffic.load.costs) {
    EncodeCost(cost, message);
  }
}

TrafficUpdate DecodeTrafficUpdate(const protocol::NodeNews& message) {
  TrafficUpdate traffic;
  traffic.is_leaving = message.draining();
  traffic.age = ClampAge(message.age_ms());
  traffic.customers = DecodeCustomers(message);
  traffic.load.roots = DecodeRoots(message);
  traffic.load.service = message.service();
  traffic.load.slots = SanitizeNumber(message.slots());
  traffic.load.refused_fraction = SanitizeNumber(message.refused_part());
  for (const protocol::RouteCost& row : message.costs()) {
    traffic.load.costs.push_back(DecodeCost(row));
  }
  return traffic;
}

void EncodeTrafficSum(const TrafficSum& sum, protocol::SumNews& message) {
  message.set_members(sum.members);
  EncodeCustomers(sum.customers, message);
  EncodeRoots(sum.load.roots, message);
  for (const auto& [service, supply] : sum.load.services) {
    protocol::ServiceSupply* row = message.add_services();
    row->set_service(service);
    row->set_slots(static_cast<float>(supply.slots));
    row->set_refused_slots(static_cast<float>(supply.refused_slots));
  }
  for (const auto& [route, cost] : sum.load.costs) {
    EncodeCost(cost, message);
  }
}

TrafficSum DecodeTrafficSum(const protocol::SumNews& message) {
  TrafficSum sum;
  sum.members = message.members();
  sum.age = ClampAge(message.age_ms());
  sum.customers = DecodeCustomers(message);
  sum.load.roots = DecodeRoots(message);
  for (const protocol::ServiceSupply& row : message.services()) {
    sum.load.services[row.service()] = {SanitizeNumber(row.slots()),
                                        SanitizeNumber(row.refused_slots())};
  }
  for (const protocol::RouteCost& row : message.costs()) {
    sum.load.costs[row.route()] = DecodeCost(row);
  }
  return sum;
}

}  // namespace daisywinch
