#ifndef DAISYWINCH_COORDINATION_FLEET_LOAD_H
#define DAISYWINCH_COORDINATION_FLEET_LOAD_H

#include <map>
#include <string>

#include "coordination/traffic_sum.h"
#include "state/clock.h"
#include "state/mesh_configuration.h"
#include "state/root_admission.h"

namespace daisywinch {

/// The load of the whole fleet, put together from what the nodes tell.
///
/// Follows the calls of each root through the routes to what its whole tree
/// takes of every service, and compares that with the services' slots.
class FleetLoad {
 public:
  /// Takes what a node tells of itself.
  void ApplyNodeLoad(const std::string& node,
                     const NodeLoad& load,
                     TimePoint now);
  /// Takes what several nodes tell together, under a name for all of them.
  void ApplyLoadSum(const std::string& nodes, LoadSum sum, TimePoint now);

  /// The part of each kind of root to admit, for the configuration's routes.
  ///
  /// Corrects itself: while calls of begun trees are refused at a service, it
  /// is given less than its slots suggest, and more again when none are. So a
  /// demand that was
  /// learned wrong, as after a restart in the midst of overload, does no
  /// lasting harm.
  std::map<RootClass, double> AdmittedFractions(
      const MeshConfiguration& configuration,
      TimePoint now);

  /// Demand and counted slots of each service at the last computation, as text
  /// for the log.
  const std::string& LastDemandSummary() const {
    return this->last_demand_summary;
  }

  /// What the tree of a root takes of each service, in slot-seconds.
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

  /// What all have told that were heard lately.
  LoadSum CurrentSum(TimePoint now) const;
  static void AddCost(const MeshConfiguration& configuration,
                      const CostTable& costs,
                      const std::string& route,
                      double runs,
                      int depth,
                      std::map<std::string, double>& sums);

  void CorrectSupply(const LoadSum& sum, TimePoint now);

  std::map<std::string, ReceivedLoad> received_loads;
  /// Part of a service's slots that is counted on.
  std::map<std::string, double> corrections;
  TimePoint corrected_at;
  std::string last_demand_summary;
};

}  // namespace daisywinch

#endif  // DAISYWINCH_COORDINATION_FLEET_LOAD_H
