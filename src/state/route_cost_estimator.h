#ifndef DAISYWINCH_STATE_ROUTE_COST_ESTIMATOR_H
#define DAISYWINCH_STATE_ROUTE_COST_ESTIMATOR_H

#include <map>
#include <string>
#include <vector>

#include "state/call_rate_estimator.h"
#include "state/clock.h"

namespace daisywinch {

/// Cost of one run of a route at one target. A run is one request that the
/// target handles.
struct RouteCost {
  std::string route;
  /// Runs per second.
  double rate = 0;
  /// Mean time for which a run occupies a slot, in seconds.
  double slot_seconds = 0;
  /// Mean number of nested calls per run, by callee route.
  std::map<std::string, double> nested_calls;
};

/// Estimates the nested calls that the runs of each route make at the local
/// target.
///
/// A target doesn't tell which run makes a call, so calls are attributed to the
/// routes that are active at that time; see CallRateEstimator. Windows in which
/// many runs fail are not used: a run that fails early makes fewer calls, and a
/// demand estimate that decreases under overload would prolong the overload.
///
/// Meant for a bounded number of routes; see RouteClasses. Beyond that, the
/// routes that have been idle for longest are forgotten.
class RouteCostEstimator {
 public:
  void RunStarted(const std::string& route, TimePoint now);
  void RunEnded(const std::string& route,
                Duration slot_time,
                bool has_failed,
                bool is_cold,
                TimePoint now);
  /// The local target calls a route.
  void RecordNestedCall(const std::string& route, TimePoint now);

  /// Costs of all routes with recent runs.
  std::vector<RouteCost> Costs(TimePoint now);

 private:
  /// Sums of one window, or exponentially decayed sums of all windows so far.
  struct Sums {
    double runs = 0;
    double failed_runs = 0;
    double slot_seconds = 0;
  };

  struct RouteState {
    int active_runs = 0;
    TimePoint last_accumulated;
    TimePoint last_ended;
    Sums window;
    Sums total;
    /// Sums over the runs at a cold target, which take longer. They are used
    /// only as long as there are no others.
    Sums cold_total;
    /// Runs per second in the last window.
    double rate = 0;
  };

  /// Closes the interval and the window if they are over.
  void Advance(TimePoint now);
  void AccumulateActiveTime(TimePoint now);
  void CloseWindow(Duration elapsed);
  /// Keeps the number of routes bounded.
  void ForgetIdleRoutes();
  /// Whether failures make the window a worse basis than the current estimate.
  bool IsWindowUnreliable() const;

  std::map<std::string, RouteState> routes;
  CallRateEstimator call_rates;
  TimePoint interval_start;
  TimePoint window_start;
};

}  // namespace daisywinch

#endif  // DAISYWINCH_STATE_ROUTE_COST_ESTIMATOR_H
