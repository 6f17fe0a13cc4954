#include "protocol/news_codec.h"

#include <cmath>
#include <utility>

namespace daisywinch {

namespace {

/// A figure from the network; 0 for one that no node can mean.
double ReadFigure(float figure) {
  return std::isfinite(figure) && figure > 0 ? figure : 0;
}

}  // namespace

void EncodeTrafficNews(const TrafficNews& traffic, protocol::NodeNews& news) {
  for (const auto& [customer, use] : traffic.customers) {
    protocol::CustomerDemand* demand = news.add_customers();
    demand->set_customer(customer);
    demand->set_rate(static_cast<float>(use.demand));
    demand->set_admitted(use.admitted);
  }
  for (const auto& [kind, rate] : traffic.load.roots) {
    protocol::RootDemand* root = news.add_roots();
    root->set_route(kind.route);
    root->set_priority(kind.priority);
    root->set_rate(static_cast<float>(rate));
  }
  news.set_service(traffic.load.service);
  news.set_slots(static_cast<float>(traffic.load.slots));
  news.set_refused_part(static_cast<float>(traffic.load.refused_part));
  for (const RouteCost& cost : traffic.load.costs) {
    protocol::RouteCost* row = news.add_costs();
    row->set_route(cost.route);
    row->set_rate(static_cast<float>(cost.rate));
    row->set_slot_seconds(static_cast<float>(cost.slot_seconds));
    for (const auto& [callee, calls] : cost.onward) {
      protocol::OnwardCalls* onward = row->add_onward();
      onward->set_route(callee);
      onward->set_calls(static_cast<float>(calls));
    }
  }
}

TrafficNews DecodeTrafficNews(const protocol::NodeNews& news) {
  TrafficNews traffic;
  traffic.is_leaving = news.draining();
  for (const protocol::CustomerDemand& demand : news.customers()) {
    traffic.customers[demand.customer()] = {demand.admitted(),
                                            ReadFigure(demand.rate())};
  }
  for (const protocol::RootDemand& root : news.roots()) {
    traffic.load.roots[{root.route(), root.priority()}] =
        ReadFigure(root.rate());
  }
  traffic.load.service = news.service();
  traffic.load.slots = ReadFigure(news.slots());
  traffic.load.refused_part = ReadFigure(news.refused_part());
  for (const protocol::RouteCost& row : news.costs()) {
    RouteCost cost;
    cost.route = row.route();
    cost.rate = ReadFigure(row.rate());
    cost.slot_seconds = ReadFigure(row.slot_seconds());
    for (const protocol::OnwardCalls& onward : row.onward()) {
      cost.onward[onward.route()] = ReadFigure(onward.calls());
    }
    traffic.load.costs.push_back(std::move(cost));
  }
  return traffic;
}

}  // namespace daisywinch
