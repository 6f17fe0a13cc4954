#ifndef DAISYWINCH_COORDINATION_FLEET_LOAD_H
#define DAISYWINCH_COORDINATION_FLEET_LOAD_H

#include <map>
#include <string>

#include "coordination/traffic_sum.h"
#include "coordination/tree_costs.h"
#include "state/clock.h"
#include "state/mesh_configuration.h"
#include "state/retry_budget.h"
#include "state/root_admission.h"

namespace daisywinch {

/// Aggregates the load reports of all nodes and computes which fraction of the
/// offered root requests the services can serve.
///
/// A service's capacity is counted in slots: requests that its targets can run
/// concurrently. Routes are given by their classes; see RouteClasses. From the
/// costs and nested calls that nodes report for each
/// route, computes how much slot time the whole call tree of a root request
/// takes at every service, and compares this demand with the services' slots.
///
/// Not thread-safe.
class FleetLoad {
 public:
  /// Records the load that one node reports of itself.
  void ApplyNodeLoad(const std::string& node,
                     const NodeLoad& load,
                     TimePoint now);
  /// Records the sum of several nodes, under one name for all of them.
  void ApplyLoadSum(const std::string& nodes, LoadSum sum, TimePoint now);

  /// Returns the fraction of each root class to admit, for the routes of the
  /// configuration.
  ///
  /// The number of usable slots is corrected by feedback: it is lowered while
  /// no target of a service has room for nested calls, and raised again when
  /// hardly any are refused. Thus wrong cost estimates, as after a restart
  /// during overload, have no lasting effect. It is not lowered below the slots
  /// that the requests need that are being served, so that refusals for other
  /// reasons can't stop the traffic.
  std::map<RootClass, double> AdmittedFractions(
      const MeshConfiguration& configuration,
      TimePoint now);

  /// Demand and usable slots of each service at the last computation, as text
  /// for the log: "service demand/slots", separated by spaces.
  const std::string& LastDemandSummary() const {
    return this->last_demand_summary;
  }

  /// Whether runs of the route at a service make no nested calls, as far as is
  /// known.
  bool IsLeaf(const std::string& route, const std::string& service) const;

  /// Ratios by which to retry calls to a service of which all runs are leaves,
  /// where `ratio` of them may be retried. Both are `ratio` for other services.
  LeafRetryRatios RetryRatios(const std::string& service, double ratio) const;

  /// Usable slots of each service at the last computation.
  const std::map<std::string, double>& LastUsableSlots() const {
    return this->last_usable_slots;
  }

  /// Returns the slot-seconds of each service that one request of the route
  /// takes, with its whole call tree.
  std::map<std::string, double> TreeCost(const MeshConfiguration& configuration,
                                         const std::string& route,
                                         TimePoint now) const;

 private:
  struct ReceivedLoad {
    LoadSum load;
    TimePoint received_at;
  };

  using SlotsByService = std::map<std::string, double>;

  /// Sum of all loads that were reported recently.
  LoadSum CurrentSum(TimePoint now) const;
  /// Updates the corrections by the fraction of nested calls that no target of
  /// a service had room for, at most once per correction interval.
  /// `slots_by_service` holds the slots without correction.
  void CorrectSupply(const LoadSum& sum,
                     TreeCosts& tree_costs,
                     const SlotsByService& slots_by_service,
                     TimePoint now);

  /// Calls per second to a service that runs leaf routes only.
  struct LeafCalls {
    double roots = 0;
    double nested = 0;
  };

  /// Updates `leaf_calls`.
  void CountLeafCalls(const MeshConfiguration& configuration,
                      const LoadSum& sum);

  std::map<std::string, ReceivedLoad> received_loads;
  /// Fraction of the slots of each service that is regarded as usable.
  std::map<std::string, double> corrections;
  TimePoint corrected_at;
  std::string last_demand_summary;
  std::map<std::string, double> last_usable_slots;
  /// Whether runs make no nested calls, by class; classes with known costs
  /// only.
  std::map<std::string, bool> leaves;
  std::map<std::string, LeafCalls> leaf_calls;
};

}  // namespace daisywinch

#endif  // DAISYWINCH_COORDINATION_FLEET_LOAD_H
