#include "state/part_splitter.h"

#include <algorithm>
#include <cstddef>

namespace daisywinch {

namespace {

bool HaveSameParts(const std::vector<RoutePart>& left,
                   const std::vector<RoutePart>& right) {
  return std::equal(left.begin(), left.end(), right.begin(), right.end(),
                    [](const RoutePart& a, const RoutePart& b) {
                      return a.service == b.service && a.weight == b.weight;
                    });
}

}  // namespace

const std::string& PartSplitter::Choose(const MeshRoute& route) {
  if (route.parts.size() == 1) {
    return route.parts.front().service;
  }
  Credits& state = this->credits[route.name];
  if (!HaveSameParts(state.parts, route.parts)) {
    state.parts = route.parts;
    state.values.assign(route.parts.size(), 0);
  }
  double total = 0;
  for (std::size_t index = 0; index < state.parts.size(); ++index) {
    state.values[index] += state.parts[index].weight;
    total += state.parts[index].weight;
  }
  const auto due = std::max_element(state.values.begin(), state.values.end());
  *due -= total;
  return route.parts[due - state.values.begin()].service;
}

}  // namespace daisywinch
