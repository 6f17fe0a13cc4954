#include "state/part_splitter.h"

#include <algorithm>
#include <cstddef>

namespace daisywinch {

namespace {

bool HaveSameParts(const std::vector<WeightedService>& left,
                   const std::vector<WeightedService>& right) {
  return std::equal(left.begin(), left.end(), right.begin(), right.end(),
                    [](const WeightedService& a, const WeightedService& b) {
                      return a.service == b.service && a.weight == b.weight;
                    });
}

}  // namespace

const std::string& PartSplitter::Choose(const MeshRoute& route) {
  if (route.traffic_split.size() == 1) {
    return route.traffic_split.front().service;
  }
  Credits& state = this->credits[route.name];
  if (!HaveSameParts(state.parts, route.traffic_split)) {
    state.parts = route.traffic_split;
    state.values.assign(route.traffic_split.size(), 0);
  }
  double total = 0;
  for (std::size_t index = 0; index < state.parts.size(); ++index) {
    state.values[index] += state.parts[index].weight;
    total += state.parts[index].weight;
  }
  const auto due = std::max_element(state.values.begin(), state.values.end());
  *due -= total;
  return route.traffic_split[due - state.values.begin()].service;
}

}  // namespace daisywinch
