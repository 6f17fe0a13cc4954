#include "state/route_table.h"

#include <algorithm>

namespace daisywinch {

namespace {

std::vector<std::string_view> SplitPath(std::string_view target) {
  std::string_view path = target.substr(0, target.find('?'));
  std::vector<std::string_view> segments;
  while (!path.empty()) {
    path.remove_prefix(1);
    const std::size_t slash = path.find('/');
    segments.push_back(path.substr(0, slash));
    path = slash == std::string_view::npos ? std::string_view()
                                           : path.substr(slash);
  }
  return segments;
}

std::string BucketKey(std::string_view method, std::size_t segment_count) {
  return std::string(method) + " " + std::to_string(segment_count);
}

bool IsWildcard(std::string_view segment) {
  return segment.size() >= 2 && segment.front() == '{' && segment.back() == '}';
}

}  // namespace

RouteTable::RouteTable(const Configuration& configuration) {
  for (const Route& route : configuration.routes) {
    Pattern pattern;
    pattern.route = &route;
    for (const std::string_view segment : SplitPath(route.path)) {
      pattern.segments.emplace_back(segment);
      pattern.literal_count += IsWildcard(segment) ? 0 : 1;
    }
    this->patterns[BucketKey(route.method, pattern.segments.size())].push_back(
        pattern);
  }
  for (auto& [name, bucket] : this->patterns) {
    std::stable_sort(bucket.begin(), bucket.end(),
                     [](const Pattern& left, const Pattern& right) {
                       return left.literal_count > right.literal_count;
                     });
  }
}

const Route* RouteTable::Find(std::string_view method,
                              std::string_view target) const {
  if (target.empty() || target.front() != '/') {
    return nullptr;
  }
  const std::vector<std::string_view> path = SplitPath(target);
  const auto bucket = this->patterns.find(BucketKey(method, path.size()));
  if (bucket == this->patterns.end()) {
    return nullptr;
  }
  for (const Pattern& pattern : bucket->second) {
    if (pattern.Matches(path)) {
      return pattern.route;
    }
  }
  return nullptr;
}

bool RouteTable::Pattern::Matches(
    const std::vector<std::string_view>& path) const {
  for (std::size_t index = 0; index < path.size(); ++index) {
    const std::string& segment = this->segments[index];
    if (!IsWildcard(segment) && segment != path[index]) {
      return false;
    }
  }
  return true;
}

}  // namespace daisywinch
