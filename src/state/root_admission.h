#ifndef DAISYWINCH_STATE_ROOT_ADMISSION_H
#define DAISYWINCH_STATE_ROOT_ADMISSION_H

#include <cstdint>
#include <map>
#include <string>
#include <tuple>
#include <vector>

namespace daisywinch {

/// Roots that are treated alike: one route, one rank.
struct RootClass {
  std::string route;
  /// 0 is the highest rank.
  std::uint32_t priority = 0;

  friend bool operator<(const RootClass& left, const RootClass& right) {
    return std::tie(left.route, left.priority) <
           std::tie(right.route, right.priority);
  }
};

/// What callers ask for of one kind and what serving it takes.
struct OfferedLoad {
  RootClass root_class;
  /// Requests per second.
  double rate = 0;
  /// Time that the whole tree of a request holds slots, by service, in
  /// seconds.
  std::map<std::string, double> slot_seconds;
};

/// The fraction of each kind of root that fits the services' slots.
///
/// Kinds are served in the order of their rank, and within a rank those first
/// that need least of the service that is bottleneck (the greedy solution of
/// the fractional knapsack, Dantzig 1957). A small fraction of every kind is
/// admitted first, so that none starves.
std::map<RootClass, double> AdmittedFractions(
    const std::vector<OfferedLoad>& loads,
    const std::map<std::string, double>& slots);

}  // namespace daisywinch

#endif  // DAISYWINCH_STATE_ROOT_ADMISSION_H
