#include "protocol/news_codec.h"

#include <algorithm>
#include <cmath>
#include <cstdint>
#include <map>
#include <string>

namespace daisywinch {

namespace {

/// A figure from the network; 0 for one that no node can mean.
double ReadFigure(float figure) {
  return std::isfinite(figure) && figure > 0 ? figure : 0;
}

/// An age from the network, at most a day.
Duration ReadAge(std::uint64_t milliseconds) {
  constexpr std::uint64_t kLongest = 24 * 60 * 60 * 1000;
  return std::chrono::milliseconds(std::min(milliseconds, kLongest));
}

template <typename News>
void EncodeCustomers(const std::map<std::string, CustomerUsage>& customers,
                     News& news) {
  for (const auto& [customer, use] : customers) {
    protocol::CustomerDemand* demand = news.add_customers();
    demand->set_customer(customer);
    demand->set_rate(static_cast<float>(use.demand));
    demand->set_admitted(use.admitted);
    demand->set_reserved(static_cast<float>(use.reserved));
  }
}

template <typename News>
std::map<std::string, CustomerUsage> DecodeCustomers(const News& news) {
  std::map<std::string, CustomerUsage> customers;
  for (const protocol::CustomerDemand& demand : news.customers()) {
    customers[demand.customer()] = {demand.admitted(),
                                    ReadFigure(demand.rate()),
                                    ReadFigure(demand.reserved())};
  }
  return customers;
}

template <typename News>
void EncodeRoots(const std::map<RootClass, double>& roots, News& news) {
  for (const auto& [kind, rate] : roots) {
    protocol::RootDemand* root = news.add_roots();
    root->set_route(kind.route);
    root->set_priority(kind.priority);
    root->set_rate(static_cast<float>(rate));
  }
}

template <typename News>
std::map<RootClass, double> DecodeRoots(const News& news) {
  std::map<RootClass, double> roots;
  for (const protocol::RootDemand& root : news.roots()) {
    roots[{root.route(), root.priority()}] = ReadFigure(root.rate());
  }
  return roots;
}

template <typename News>
void EncodeCost(const RouteCost& cost, News& news) {
  protocol::RouteCost* row = news.add_costs();
  row->set_route(cost.route);
  row->set_rate(static_cast<float>(cost.rate));
  row->set_slot_seconds(static_cast<float>(cost.slot_seconds));
  for (const auto& [callee, calls] : cost.nested_calls) {
    protocol::OnwardCalls* onward = row->add_onward();
    onward->set_route(callee);
    onward->set_calls(static_cast<float>(calls));
  }
}

RouteCost DecodeCost(const protocol::RouteCost& row) {
  RouteCost cost;
  cost.route = row.route();
  cost.rate = ReadFigure(row.rate());
  cost.slot_seconds = ReadFigure(row.slot_seconds());
  for (const protocol::OnwardCalls& onward : row.onward()) {
    cost.nested_calls[onward.route()] = ReadFigure(onward.calls());
  }
  return cost;
}

}  // namespace

void EncodeTrafficNews(const TrafficUpdate& traffic, protocol::NodeNews& news) {
  EncodeCustomers(traffic.customers, news);
  EncodeRoots(traffic.load.roots, news);
  news.set_service(traffic.load.service);
  news.set_slots(static_cast<float>(traffic.load.slots));
  news.set_refused_part(static_cast<float>(traffic.load.refused_fraction));
  for (const RouteCost& cost : traffic.load.costs) {
    EncodeCost(cost, news);
  }
}

TrafficUpdate DecodeTrafficNews(const protocol::NodeNews& news) {
  TrafficUpdate traffic;
  traffic.is_leaving = news.draining();
  traffic.age = ReadAge(news.age_ms());
  traffic.customers = DecodeCustomers(news);
  traffic.load.roots = DecodeRoots(news);
  traffic.load.service = news.service();
  traffic.load.slots = ReadFigure(news.slots());
  traffic.load.refused_fraction = ReadFigure(news.refused_part());
  for (const protocol::RouteCost& row : news.costs()) {
    traffic.load.costs.push_back(DecodeCost(row));
  }
  return traffic;
}

void EncodeTrafficSum(const TrafficSum& sum, protocol::SumNews& news) {
  news.set_members(sum.members);
  EncodeCustomers(sum.customers, news);
  EncodeRoots(sum.load.roots, news);
  for (const auto& [service, supply] : sum.load.services) {
    protocol::ServiceSupply* row = news.add_services();
    row->set_service(service);
    row->set_slots(static_cast<float>(supply.slots));
    row->set_refused_slots(static_cast<float>(supply.refused_slots));
  }
  for (const auto& [route, cost] : sum.load.costs) {
    EncodeCost(cost, news);
  }
}

TrafficSum DecodeTrafficSum(const protocol::SumNews& news) {
  TrafficSum sum;
  sum.members = news.members();
  sum.age = ReadAge(news.age_ms());
  sum.customers = DecodeCustomers(news);
  sum.load.roots = DecodeRoots(news);
  for (const protocol::ServiceSupply& row : news.services()) {
    sum.load.services[row.service()] = {ReadFigure(row.slots()),
                                        ReadFigure(row.refused_slots())};
  }
  for (const protocol::RouteCost& row : news.costs()) {
    sum.load.costs[row.route()] = DecodeCost(row);
  }
  return sum;
}

}  // namespace daisywinch
