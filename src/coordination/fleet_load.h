#ifndef DAISYWINCH_COORDINATION_FLEET_LOAD_H
#define DAISYWINCH_COORDINATION_FLEET_LOAD_H

#include <map>
#include <string>

#include "coordination/traffic_sum.h"
#include "state/clock.h"
#include "state/mesh_configuration.h"
#include "state/root_admission.h"

namespace daisywinch {

/// Aggregates the load reports of all nodes and computes which fraction of the
/// offered root requests the services can serve.
///
/// Follows the calls of each route to the slot time that its whole call tree
/// takes of every service, and compares the demand with the services' slots.
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
  /// The slots that are counted on are corrected by feedback: while nested
  /// calls are refused at a service, it is counted with fewer slots, and with
  /// more again when none are refused. So a demand that was learned wrong, as
  /// after a restart during overload, does no lasting harm.
  std::map<RootClass, double> AdmittedFractions(
      const MeshConfiguration& configuration,
      TimePoint now);

  /// Demand and counted slots of each service at the last computation, as text
  /// for the log: "service demand/slots", separated by spaces.
  const std::string& LastDemandSummary() const {
    return this->last_demand_summary;
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

  /// Mean costs by route over all nodes that run it.
  using CostTable = std::map<std::string, RouteCost>;

  /// Sum of all loads that were reported recently.
  LoadSum CurrentSum(TimePoint now) const;
  static void AddCost(const MeshConfiguration& configuration,
                      const CostTable& costs,
                      const std::string& route,
                      double runs,
                      int depth,
                      std::map<std::string, double>& sums);

  void CorrectSupply(const LoadSum& sum, TimePoint now);

  std::map<std::string, ReceivedLoad> received_loads;
  /// Fraction of a service's slots that is counted on.
  std::map<std::string, double> corrections;
  TimePoint corrected_at;
  std::string last_demand_summary;
};

}  // namespace daisywinch

#endif  // DAISYWINCH_COORDINATION_FLEET_LOAD_H
