#include "state/weighted_service_chooser.h"

#include <algorithm>
#include <cstddef>

namespace daisywinch {

namespace {

bool HaveSameWeights(const std::vector<WeightedService>& left,
                     const std::vector<WeightedService>& right) {
  return std::equal(left.begin(), left.end(), right.begin(), right.end(),
                    [](const WeightedService& a, const WeightedService& b) {
                      return a.service == b.service && a.weight == b.weight;
                    });
}

}  // namespace

const std::string& WeightedServiceChooser::Choose(const MeshRoute& route) {
  if (route.traffic_split.size() == 1) {
    return route.traffic_split.front().service;
  }
  RouteState& state = this->routes[route.name];
  if (!HaveSameWeights(state.services, route.traffic_split)) {
    state.services = route.traffic_split;
    state.credits.assign(route.traffic_split.size(), 0);
  }
  double total = 0;
  for (std::size_t index = 0; index < state.services.size(); ++index) {
    state.credits[index] += state.services[index].weight;
    total += state.services[index].weight;
  }
  const auto selected =
      std::max_element(state.credits.begin(), state.credits.end());
  *selected -= total;
  return route.traffic_split[selected - state.credits.begin()].service;
}

}  // namespace daisywinch
