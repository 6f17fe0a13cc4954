#ifndef DAISYWINCH_STATE_TRAFFIC_SPLITTER_H
#define DAISYWINCH_STATE_TRAFFIC_SPLITTER_H

#include <string>
#include <unordered_map>
#include <vector>

#include "state/mesh_configuration.h"

namespace daisywinch {

/// Deals a route's requests to its parts by their weights.
///
/// Smooth weighted round robin: after any number of requests each part has its
/// share to within one request.
class TrafficSplitter {
 public:
  /// The service that takes the next request of the route.
  const std::string& Choose(const MeshRoute& route);

 private:
  /// Credits by part; a part is due when its credit is the highest.
  struct RouteState {
    std::vector<WeightedService> services;
    std::vector<double> credits;
  };

  std::unordered_map<std::string, RouteState> routes;
};

}  // namespace daisywinch

#endif  // DAISYWINCH_STATE_TRAFFIC_SPLITTER_H
