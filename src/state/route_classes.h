#ifndef DAISYWINCH_STATE_ROUTE_CLASSES_H
#define DAISYWINCH_STATE_ROUTE_CLASSES_H

#include <map>
#include <optional>
#include <string>
#include <string_view>

#include "state/clock.h"

namespace daisywinch {

/// Assigns routes to the classes by which nodes measure and report load.
///
/// A configuration may have thousands of routes, but the work and the messages
/// for load estimates must stay small. So only routes with a considerable share
/// of the requests have a class of their own, named like the route; the others
/// share one class for each service. The number of classes is bounded by
/// kMaxOwnClasses and the number of services.
///
/// Not thread-safe.
class RouteClasses {
 public:
  static constexpr std::size_t kMaxOwnClasses = 32;

  /// Counts a request for the route and returns the route's class. `service` is
  /// the service that handles it.
  std::string Count(const std::string& route,
                    const std::string& service,
                    TimePoint now);

  /// Name of the class that routes of a service share.
  static std::string SharedClass(std::string_view service);
  /// Service whose routes share the class; nothing for the class of one route.
  static std::optional<std::string_view> ServiceOf(std::string_view name);

 private:
  struct Usage {
    /// Decayed number of requests.
    double requests = 0;
    bool has_own_class = false;
  };

  /// Decays the numbers of requests, and selects the routes with a class of
  /// their own.
  void Review();

  std::map<std::string, Usage> usage_by_route;
  TimePoint reviewed_at;
};

}  // namespace daisywinch

#endif  // DAISYWINCH_STATE_ROUTE_CLASSES_H
