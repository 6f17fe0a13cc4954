#ifndef DAISYWINCH_COORDINATION_TREE_COSTS_H
#define DAISYWINCH_COORDINATION_TREE_COSTS_H

#include <array>
#include <cstddef>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

#include "state/mesh_configuration.h"
#include "state/route_cost_estimator.h"

namespace daisywinch {

/// Estimated calls per run below which a nested call is regarded as noise.
inline constexpr double kMinCallsPerRun = 0.02;

/// Computes the slot time of whole call trees from the costs of single runs.
///
/// Each subtree is computed once, so the work grows with the number of routes
/// and their callees, not with the number of paths through the call graph.
class TreeCosts {
 public:
  using SecondsByService = std::map<std::string, double>;

  /// The arguments must outlive the object.
  TreeCosts(const MeshConfiguration& configuration,
            const std::map<std::string, RouteCost>& costs)
      : configuration(configuration), costs(costs) {}

  /// Returns the slot-seconds of each service that one request of a class
  /// takes, with all calls that it causes; see RouteClasses. Empty for an
  /// unknown class.
  const SecondsByService& CostOf(const std::string& route_class) {
    return this->SubtreeCost(this->IndexOf(route_class), 0);
  }

 private:
  /// Depth at which a call tree is not followed further, as it probably
  /// contains a loop.
  static constexpr std::size_t kMaxDepth = 10;

  /// A class with the costs of its runs alone.
  struct ClassCost {
    SecondsByService own_seconds;
    /// Indices of the classes that a run calls, with the number of calls.
    std::vector<std::pair<std::size_t, double>> callees;
    /// Costs of the subtrees that begin with the class, by its depth.
    std::array<std::optional<SecondsByService>, kMaxDepth> subtree_seconds;
  };

  /// Returns the position of the class, and adds it and its callees if needed.
  std::size_t IndexOf(const std::string& route_class);
  ClassCost MakeClassCost(const std::string& route_class);
  /// Adds the costs of a number of runs, which the services share.
  void AddRuns(const RouteCost& cost,
               double runs,
               const std::vector<WeightedService>& shares,
               ClassCost& result);
  const SecondsByService& SubtreeCost(std::size_t index, std::size_t depth);

  const MeshConfiguration& configuration;
  const std::map<std::string, RouteCost>& costs;
  std::unordered_map<std::string, std::size_t> indices;
  std::deque<ClassCost> classes;
};

}  // namespace daisywinch

#endif  // DAISYWINCH_COORDINATION_TREE_COSTS_H
