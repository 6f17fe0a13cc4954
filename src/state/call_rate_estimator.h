#ifndef DAISYWINCH_STATE_CALL_RATE_ESTIMATOR_H
#define DAISYWINCH_STATE_CALL_RATE_ESTIMATOR_H

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace daisywinch {

/// Estimates the rate of calls that each route makes to each callee, from calls
/// that don't identify the calling route.
///
/// Time is divided into short intervals. For each, the active time of every
/// route and the number of calls to every callee are recorded. The calls of an
/// interval are modelled as the sum of independent Poisson processes, one for
/// each route, whose rates are proportional to the active time of the route.
/// The rates are fitted to all recorded intervals by expectation maximization
/// (the Richardson-Lucy iteration: Richardson 1972, Lucy 1974).
///
/// Closed intervals are held as recent ones until they are either added to the
/// history by FitRecent or dropped by DiscardRecent. The work of a fit is
/// limited for each interval and continues in the next ones, so that it can't
/// hold up the thread however many routes there are. Names that don't occur in
/// the history any more are forgotten.
class CallRateEstimator {
 public:
  void AddActiveTime(const std::string& route, double seconds);
  /// A run of the route has ended.
  void AddRun(const std::string& route);
  void AddCall(const std::string& callee);

  /// Ends the current interval, starts a new one and continues the last fit.
  void CloseInterval();

  /// Drops the recent intervals without using them for the estimate.
  void DiscardRecent();

  /// Adds the recent intervals to the history and starts to update the
  /// estimate.
  void FitRecent();

  /// Number of calls that the current estimate predicts for the recent
  /// intervals.
  double ExpectedCalls() const;
  /// Number of calls recorded in the recent intervals.
  double RecentCalls() const;

  /// Estimated calls per run of `route`, by callee; callees with less than
  /// `min_calls` are left out. `active_runs` is the number of its runs that
  /// have not ended.
  std::map<std::string, double> CallsPerRun(const std::string& route,
                                            int active_runs,
                                            double min_calls) const;

 private:
  using Index = std::uint32_t;

  /// Numbers names; numbers of forgotten names are used again.
  class NameTable {
   public:
    /// Returns the number of the name, and whether it is new.
    std::pair<Index, bool> Add(const std::string& name);
    std::optional<Index> Find(const std::string& name) const;
    /// Forgets the names whose numbers are not set in `is_used`.
    void Retain(const std::vector<bool>& is_used);
    /// All numbers are below.
    std::size_t Limit() const { return this->names.size(); }
    /// Empty for a number that is free.
    const std::string& NameOf(Index index) const { return this->names[index]; }

   private:
    std::map<std::string, Index> indices;
    std::vector<std::string> names;
    std::vector<Index> free_indices;
  };

  /// A measurement of one route or callee.
  struct Entry {
    Index index = 0;
    float amount = 0;
  };

  /// Measurements of one interval, of the routes and callees that occurred.
  struct Interval {
    std::vector<Entry> active_seconds;
    /// Runs that ended.
    std::vector<Entry> runs;
    std::vector<Entry> calls;
  };

  Index RouteIndex(const std::string& route);
  Index CalleeIndex(const std::string& callee);
  static std::vector<Entry> ToEntries(std::map<Index, float>& amounts);
  /// Forgets the names that neither the history nor the current interval
  /// contains.
  void ForgetUnusedNames();
  /// Updates the sums over the history.
  void SumHistory();
  /// Continues the fit within the limit of work for one interval.
  void ContinueFit();
  /// Performs one iteration for a callee and returns the number of steps that
  /// it took.
  std::size_t UpdateRates(Index callee);

  NameTable routes;
  NameTable callees;
  /// Measurements of the current interval.
  std::map<Index, float> active_seconds;
  std::map<Index, float> runs;
  std::map<Index, float> calls;
  std::vector<Interval> recent;
  std::deque<Interval> history;
  /// Sums over the history, by route.
  std::vector<double> total_active_seconds;
  std::vector<double> total_runs;
  /// Calls per active second, by callee, then by route; 0 until the first fit
  /// that includes both.
  std::vector<std::vector<double>> rates;
  /// Iterations of single callees that are left of the last fit, and the callee
  /// of the next one.
  std::size_t updates_left = 0;
  Index next_callee = 0;
};

}  // namespace daisywinch

#endif  // DAISYWINCH_STATE_CALL_RATE_ESTIMATOR_H
