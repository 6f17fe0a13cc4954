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
void EncodeRequests(const std::map<RootClass, RootTraffic>& roots,
                    const std::map<std::string, NestedTraffic>& nested,
                    Message& message) {
  for (const auto& [root_class, traffic] : roots) {
    protocol::RootDemand* root = message.add_roots();
    root->set_route(root_class.route);
    root->set_priority(root_class.priority);
    root->set_rate(static_cast<float>(traffic.offered));
    root->set_served(static_cast<float>(traffic.served));
  }
  for (const auto& [service, traffic] : nested) {
    protocol::NestedDemand* calls = message.add_nested();
    calls->set_service(service);
    calls->set_rate(static_cast<float>(traffic.calls));
    calls->set_refused(static_cast<float>(traffic.refused));
  }
}

template <typename Message, typename Load>
void DecodeRequests(const Message& message, Load& load) {
  for (const protocol::RootDemand& root : message.roots()) {
    load.roots[{root.route(), root.priority()}] = {
        SanitizeNumber(root.rate()), SanitizeNumber(root.served())};
  }
  for (const protocol::NestedDemand& calls : message.nested()) {
    load.nested[calls.service()] = {SanitizeNumber(calls.rate()),
                                    SanitizeNumber(calls.refused())};
  }
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

/// An age for a message, in milliseconds; at most a day.
std::uint32_t EncodeAge(Duration age) {
  constexpr std::int64_t kMaxAgeMs = 24 * 60 * 60 * 1000;
  const std::int64_t milliseconds =
      std::chrono::duration_cast<std::chrono::milliseconds>(age).count();
  return static_cast<std::uint32_t>(
      std::clamp<std::int64_t>(milliseconds, 0, kMaxAgeMs));
}

template <typename Message>
void EncodeCrashes(const CrashReport& report, Message& message) {
  for (const TargetCrash& crash : report.crashes) {
    protocol::CrashNews* row = message.add_crashes();
    row->set_id(crash.id);
    row->set_age_ms(EncodeAge(crash.age));
    for (const RequestDigest digest : crash.running) {
      row->add_running(digest);
    }
  }
  for (const ClearedRequest& request : report.cleared) {
    protocol::ClearedNews* row = message.add_cleared();
    row->set_digest(request.digest);
    row->set_age_ms(EncodeAge(request.age));
  }
}

template <typename Message>
CrashReport DecodeCrashes(const Message& message) {
  CrashReport report;
  for (const protocol::CrashNews& row : message.crashes()) {
    report.crashes.push_back({row.id(),
                              {row.running().begin(), row.running().end()},
                              ClampAge(row.age_ms())});
  }
  for (const protocol::ClearedNews& row : message.cleared()) {
    report.cleared.push_back({row.digest(), ClampAge(row.age_ms())});
  }
  return report;
}

}  // namespace

void EncodeTrafficUpdate(const TrafficUpdate& traffic,
                         protocol::NodeNews& message) {
  EncodeCustomers(traffic.customers, message);
  EncodeRequests(traffic.load.roots, traffic.load.nested, message);
  message.set_service(traffic.load.service);
  message.set_slots(static_cast<float>(traffic.load.slots));
  for (const RouteCost& cost : traffic.load.costs) {
    EncodeCost(cost, message);
  }
  EncodeCrashes(traffic.crashes, message);
}

TrafficUpdate DecodeTrafficUpdate(const protocol::NodeNews& message) {
  TrafficUpdate traffic;
  traffic.is_leaving = message.draining();
  traffic.age = ClampAge(message.age_ms());
  traffic.customers = DecodeCustomers(message);
  DecodeRequests(message, traffic.load);
  traffic.load.service = message.service();
  traffic.load.slots = SanitizeNumber(message.slots());
  for (const protocol::RouteCost& row : message.costs()) {
    traffic.load.costs.push_back(DecodeCost(row));
  }
  traffic.crashes = DecodeCrashes(message);
  return traffic;
}

void EncodeTrafficSum(const TrafficSum& sum, protocol::SumNews& message) {
  message.set_members(sum.members);
  message.set_local_members(sum.local_members);
  EncodeCustomers(sum.customers, message);
  EncodeRequests(sum.load.roots, sum.load.nested, message);
  for (const auto& [service, slots] : sum.load.slots) {
    protocol::ServiceSupply* row = message.add_services();
    row->set_service(service);
    row->set_slots(static_cast<float>(slots));
  }
  for (const auto& [route, cost] : sum.load.costs) {
    EncodeCost(cost, message);
  }
  EncodeCrashes(sum.crashes, message);
}

TrafficSum DecodeTrafficSum(const protocol::SumNews& message) {
  TrafficSum sum;
  sum.members = message.members();
  sum.local_members = message.local_members();
  sum.age = ClampAge(message.age_ms());
  sum.customers = DecodeCustomers(message);
  DecodeRequests(message, sum.load);
  for (const protocol::ServiceSupply& row : message.services()) {
    sum.load.slots[row.service()] = SanitizeNumber(row.slots());
  }
  for (const protocol::RouteCost& row : message.costs()) {
    sum.load.costs[row.route()] = DecodeCost(row);
  }
  sum.crashes = DecodeCrashes(message);
  return sum;
}

}  // namespace daisywinch
