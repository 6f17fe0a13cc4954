#ifndef DAISYWINCH_STATE_TREE_DEMAND_H
#define DAISYWINCH_STATE_TREE_DEMAND_H

#include <map>
#include <string>
#include <vector>

#include "state/call_mixture.h"
#include "state/clock.h"

namespace daisywinch {

/// What a run of a route costs at one target.
struct RouteCost {
  std::string route;
  /// Runs per second.
  double rate = 0;
  /// Mean time that a run holds a slot, in seconds.
  double slot_seconds = 0;
  /// Onward calls for each run, by the route that is called.
  std::map<std::string, double> onward;
};

/// Learns which onward calls the runs of each route make at the target beside
/// this node.
///
/// A target does not say for which run it makes a call, so calls are dealt to
/// the routes that run at that moment; see CallMixture. Spans in which many
/// runs fail teach nothing: a run that fails early makes fewer calls, and a
/// demand that shrinks under overload would prolong it.
class TreeDemand {
 public:
  void RunStarted(const std::string& route, TimePoint now);
  void RunEnded(const std::string& route,
                Duration slot_time,
                bool has_failed,
                TimePoint now);
  /// The target beside this node calls a route.
  void OnwardCall(const std::string& route, TimePoint now);

  /// The costs of all routes that have run lately.
  std::vector<RouteCost> Costs(TimePoint now);

 private:
  /// Sums of one span, or decayed sums of all spans so far.
  struct Sums {
    double runs = 0;
    double failed_runs = 0;
    double slot_seconds = 0;
  };

  struct RouteState {
    int active = 0;
    TimePoint active_since;
    Sums span;
    Sums learned;
    /// Runs per second at the end of the last span.
    double rate = 0;
  };

  /// Closes slots and spans whose time is over.
  void Advance(TimePoint now);
  void CountActive(TimePoint now);
  void CloseSpan(Duration elapsed);
  /// Whether a span says less of the calls than what is known already.
  bool IsSpanUseless() const;

  std::map<std::string, RouteState> routes;
  CallMixture calls;
  TimePoint slot_started;
  TimePoint span_started;
};

}  // namespace daisywinch

#endif  // DAISYWINCH_STATE_TREE_DEMAND_H
