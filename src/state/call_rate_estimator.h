#ifndef DAISYWINCH_STATE_CALL_RATE_ESTIMATOR_H
#define DAISYWINCH_STATE_CALL_RATE_ESTIMATOR_H

#include <deque>
#include <map>
#include <string>
#include <vector>

namespace daisywinch {

/// Learns how many calls each of several routes makes while it runs, from
/// calls that do not say which route made them.
///
/// Time is cut into short slots; for each, the active time of every route and
/// the calls to every callee are history. The calls of a interval are taken for
/// a sum of Poisson processes, one a route, with a rate in proportion to the
/// route's active time. The rates are found by expectation maximization over
/// all history slots (the Richardson-Lucy iteration: Richardson 1972, Lucy
/// 1974).
class CallRateEstimator {
 public:
  void AddActiveTime(const std::string& route, double seconds);
  void AddCall(const std::string& callee);

  /// Ends the interval that is being filled.
  void CloseInterval();

  /// Drops the slots that were closed since the last call of FitRecent.
  void DiscardRecent();

  /// Makes the slots that were closed since the last call part of what is
  /// learned from.
  void FitRecent();

  /// Calls to expect of the slots that were closed since the last call of
  /// FitRecent or DiscardRecent, by the rates learned so far.
  double ExpectedCalls() const;
  /// Calls in those slots.
  double RecentCalls() const;

  /// Calls that a route makes, by callee, for each second that one of its runs
  /// is active.
  std::map<std::string, double> Rates(const std::string& route) const;

 private:
  /// What happened in one interval, by the index of route or callee.
  struct Interval {
    std::vector<float> active_seconds;
    std::vector<float> calls;
  };

  static std::size_t IndexOf(std::map<std::string, std::size_t>& indices,
                             const std::string& name);
  static void AddAt(std::vector<float>& values,
                    std::size_t index,
                    double amount);
  void UpdateRates(std::size_t callee);

  std::map<std::string, std::size_t> routes;
  std::map<std::string, std::size_t> callees;
  Interval current;
  std::vector<Interval> recent;
  std::deque<Interval> history;
  /// By callee, then by route.
  std::vector<std::vector<double>> rates;
};

}  // namespace daisywinch

#endif  // DAISYWINCH_STATE_CALL_RATE_ESTIMATOR_H
