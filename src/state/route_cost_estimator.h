#ifndef DAISYWINCH_STATE_ROUTE_COST_ESTIMATOR_H
#define DAISYWINCH_STATE_ROUTE_COST_ESTIMATOR_H

#include <map>
#include <string>
#include <vector>

#include "state/call_rate_estimator.h"
#include "state/clock.h"

namespace daisywinch {

/// What a run of a route costs at one target.
struct RouteCost {
  std::string route;
  /// Runs per second.
  double rate = 0;
  /// Mean time that a run holds a slot, in seconds.
  double slot_seconds = 0;
  /// Onward call_rates for each run, by the route that is called.
  std::map<std::string, double> nested_calls;
};

/// Learns which nested_calls call_rates the runs of each route make at the
/// target beside this node.
///
/// A target does not say for which run it makes a call, so call_rates are dealt
/// to the routes that run at that moment; see CallRateEstimator. Spans in which
/// many runs fail teach nothing: a run that fails early makes fewer call_rates,
/// and a demand that shrinks under overload would prolong it.
class RouteCostEstimator {
 public:
  void RunStarted(const std::string& route, TimePoint now);
  void RunEnded(const std::string& route,
                Duration slot_time,
                bool has_failed,
                TimePoint now);
  /// The target beside this node call_rates a route.
  void RecordNestedCall(const std::string& route, TimePoint now);

  /// The costs of all routes that have run lately.
  std::vector<RouteCost> Costs(TimePoint now);

 private:
  /// Sums of one window, or decayed sums of all spans so far.
  struct Sums {
    double runs = 0;
    double failed_runs = 0;
    double slot_seconds = 0;
  };

  struct RouteState {
    int active_runs = 0;
    TimePoint last_accumulated;
    Sums window;
    Sums total;
    /// Runs per second at the end of the last window.
    double rate = 0;
  };

  /// Closes slots and spans whose time is over.
  void Advance(TimePoint now);
  void AccumulateActiveTime(TimePoint now);
  void CloseWindow(Duration elapsed);
  /// Whether a window says less of the call_rates than what is known already.
  bool IsWindowUnreliable() const;

  std::map<std::string, RouteState> routes;
  CallRateEstimator call_rates;
  TimePoint interval_start;
  TimePoint window_start;
};

}  // namespace daisywinch

#endif  // DAISYWINCH_STATE_ROUTE_COST_ESTIMATOR_H
