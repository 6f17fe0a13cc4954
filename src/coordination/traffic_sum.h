#ifndef DAISYWINCH_COORDINATION_TRAFFIC_SUM_H
#define DAISYWINCH_COORDINATION_TRAFFIC_SUM_H

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "state/clock.h"
#include "state/fatal_requests.h"
#include "state/root_admission.h"
#include "state/route_cost_estimator.h"

namespace daisywinch {

/// Time after its last update from which a node, or a data centre, is silent;
/// two updates may be lost.
inline constexpr std::chrono::milliseconds kUpdateTimeout{1300};

/// A customer's usage at one node or at several nodes together.
struct CustomerUsage {
  /// Requests admitted since the start of the sender, a node or a relay.
  std::uint64_t admitted = 0;
  /// Offered requests per second, refused ones included.
  double demand = 0;
  /// Requests of the burst that are reserved for silent nodes.
  double reserved = 0;
};

/// Root requests of one class, in requests per second.
struct RootTraffic {
  /// Requests that callers sent.
  double offered = 0;
  /// Requests that were answered with success.
  double served = 0;
};

/// Nested calls to one service, in calls per second.
struct NestedTraffic {
  double calls = 0;
  /// Calls that no target of the service had room for.
  double refused = 0;
};

/// Load that one node reports.
struct NodeLoad {
  /// Service of the node's local target.
  std::string service;
  /// Requests that the target may run concurrently; 0 while it accepts none.
  double slots = 0;
  std::vector<RouteCost> costs;
  /// Root requests at the node.
  std::map<RootClass, RootTraffic> roots;
  /// Nested calls of the node's target, by the service that they are for.
  std::map<std::string, NestedTraffic> nested;
};

/// Traffic update of one node: what its ingress and gate report to the other
/// nodes.
struct TrafficUpdate {
  std::map<std::string, CustomerUsage> customers;
  NodeLoad load;
  CrashReport crashes;
  /// The node is shutting down and admits no more requests.
  bool is_leaving = false;
  /// Time since the start of the node; all counts begin there.
  Duration age = Duration::zero();
};

/// Load of several nodes together.
struct LoadSum {
  /// Requests that the targets of each service may run concurrently.
  std::map<std::string, double> slots;
  /// Means over the nodes that run a route, with the sum of their rates.
  std::map<std::string, RouteCost> costs;
  std::map<RootClass, RootTraffic> roots;
  std::map<std::string, NestedTraffic> nested;
};

/// Traffic of several nodes together.
struct TrafficSum {
  std::map<std::string, CustomerUsage> customers;
  LoadSum load;
  CrashReport crashes;
  /// Nodes that sent an update recently; the traffic of the others is
  /// estimated.
  std::uint32_t members = 0;
  /// Those of them in the data centre of the relay.
  std::uint32_t local_members = 0;
  /// Time since the start of the relay; all counts begin there.
  Duration age = Duration::zero();
};

void AddTo(LoadSum& sum, const NodeLoad& load);
void AddTo(LoadSum& sum, const LoadSum& other);

}  // namespace daisywinch

#endif  // DAISYWINCH_COORDINATION_TRAFFIC_SUM_H
