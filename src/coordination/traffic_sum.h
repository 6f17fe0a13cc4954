#ifndef DAISYWINCH_COORDINATION_TRAFFIC_SUM_H
#define DAISYWINCH_COORDINATION_TRAFFIC_SUM_H

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "state/clock.h"
#include "state/root_admission.h"
#include "state/route_cost_estimator.h"

namespace daisywinch {

/// What a node, or several together, tell of one customer.
struct CustomerUsage {
  /// Requests that were admitted since a start that the teller names.
  std::uint64_t admitted = 0;
  /// Requests per second that are asked for.
  double demand = 0;
  /// Part of the burst, in requests, that is left to nodes that are not heard.
  double reserved = 0;
};

/// What one node tells of the load that it sees.
struct NodeLoad {
  /// Service of the target beside the node.
  std::string service;
  /// Requests that the target may run at once; 0 while it takes none.
  double slots = 0;
  /// Part of the calls of begun trees that its gate refuses, from 0 to 1.
  double refused_fraction = 0;
  std::vector<RouteCost> costs;
  /// Roots that the node was asked for, in requests per second.
  std::map<RootClass, double> roots;
};

/// What a node's entry and gate tell the other nodes.
struct TrafficUpdate {
  std::map<std::string, CustomerUsage> customers;
  NodeLoad load;
  /// The node stops and admits no more.
  bool is_leaving = false;
  /// Time since the node started, over which it counts.
  Duration age = Duration::zero();
};

/// The targets of a service, seen together.
struct ServiceSupply {
  /// Requests that the targets may run at once.
  double slots = 0;
  /// Slots, weighted with the part of the calls of begun trees that their
  /// gates refuse.
  double refused_slots = 0;
};

/// The load that several nodes see together.
struct LoadSum {
  std::map<std::string, ServiceSupply> services;
  /// Means over the nodes that run a route, and the sum of their rates.
  std::map<std::string, RouteCost> costs;
  std::map<RootClass, double> roots;
};

/// The traffic of several nodes together.
struct TrafficSum {
  std::map<std::string, CustomerUsage> customers;
  LoadSum load;
  /// Nodes that were heard lately; the others are reckoned with.
  std::uint32_t members = 0;
  /// Time since the start of the relay, over which it counts.
  Duration age = Duration::zero();
};

void AddTo(LoadSum& sum, const NodeLoad& load);
void AddTo(LoadSum& sum, const LoadSum& other);

}  // namespace daisywinch

#endif  // DAISYWINCH_COORDINATION_TRAFFIC_SUM_H
