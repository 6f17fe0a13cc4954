#ifndef DAISYWINCH_STATE_WEIGHTED_SERVICE_CHOOSER_H
#define DAISYWINCH_STATE_WEIGHTED_SERVICE_CHOOSER_H

#include <string>
#include <unordered_map>
#include <vector>

#include "state/mesh_configuration.h"

namespace daisywinch {

/// Splits the requests of a route among services in proportion to their
/// weights.
///
/// Uses smooth weighted round robin: after any number of requests, each service
/// has received its share to within one request.
class WeightedServiceChooser {
 public:
  /// Returns the service for the next request of the route.
  const std::string& Choose(const MeshRoute& route);

 private:
  /// Credits by service. The service with the highest credit gets the next
  /// request; a change of the weights resets them.
  struct RouteState {
    std::vector<WeightedService> services;
    std::vector<double> credits;
  };

  std::unordered_map<std::string, RouteState> routes;
};

}  // namespace daisywinch

#endif  // DAISYWINCH_STATE_WEIGHTED_SERVICE_CHOOSER_H
