#ifndef DAISYWINCH_STATE_ROOT_ADMISSION_H
#define DAISYWINCH_STATE_ROOT_ADMISSION_H

#include <cstdint>
#include <map>
#include <string>
#include <tuple>
#include <vector>

namespace daisywinch {

/// Root requests that are admitted alike: those of one route and priority. A
/// root request is one that begins a call tree.
struct RootClass {
  std::string route;
  /// 0 is the highest priority.
  std::uint32_t priority = 0;

  friend bool operator<(const RootClass& left, const RootClass& right) {
    return std::tie(left.route, left.priority) <
           std::tie(right.route, right.priority);
  }
};

/// Offered load of one root class and the capacity that it needs.
struct OfferedLoad {
  RootClass root_class;
  /// Requests per second.
  double rate = 0;
  /// Total slot time of the call tree of one request, in seconds, by service.
  std::map<std::string, double> slot_seconds;
};

/// Computes the fraction of each root class that the slots of the services can
/// handle.
///
/// A small fraction of every class is admitted first, to prevent starvation.
/// The remaining slots are assigned in the order of priority and, within a
/// priority, to the classes that need the least capacity of the bottleneck
/// service first (the greedy solution of the fractional knapsack problem,
/// Dantzig 1957). Services missing from `slots` don't limit the admission.
std::map<RootClass, double> AdmittedFractions(
    const std::vector<OfferedLoad>& loads,
    const std::map<std::string, double>& slots);

}  // namespace daisywinch

#endif  // DAISYWINCH_STATE_ROOT_ADMISSION_H
