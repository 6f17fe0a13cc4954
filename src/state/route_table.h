#ifndef DAISYWINCH_STATE_ROUTE_TABLE_H
#define DAISYWINCH_STATE_ROUTE_TABLE_H

#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "state/configuration.h"

namespace daisywinch {

/// Finds the route of a request by its method and path.
class RouteTable {
 public:
  RouteTable() = default;
  /// Keeps pointers into the configuration, which must outlive the table.
  explicit RouteTable(const Configuration& configuration);

  /// The matching route with the most literal path segments; null if there is
  /// none.
  ///
  /// `target` is the request target; its query is ignored.
  const Route* Find(std::string_view method, std::string_view target) const;

 private:
  struct Pattern {
    const Route* route = nullptr;
    std::vector<std::string> segments;
    int literal_count = 0;

    bool Matches(const std::vector<std::string_view>& path) const;
  };

  /// Patterns by method and number of segments, those with most literal
  /// segments first.
  std::unordered_map<std::string, std::vector<Pattern>> patterns;
};

}  // namespace daisywinch

#endif  // DAISYWINCH_STATE_ROUTE_TABLE_H
