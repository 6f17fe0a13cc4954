#ifndef DAISYWINCH_STATE_CONCURRENCY_LIMIT_H
#define DAISYWINCH_STATE_CONCURRENCY_LIMIT_H

#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>

#include "state/clock.h"

namespace daisywinch {

/// Smoothed latency of one route and its baseline: the minimum of the smoothed
/// latency in the current and the previous window of 30 s.
class LatencyTrend {
 public:
  void Add(Duration latency, TimePoint now);

  /// Smoothed latency divided by the baseline; 1 until there are enough
  /// samples.
  double Slowdown() const;
  Duration Mean() const;
  Duration Baseline() const;

 private:
  int count = 0;
  std::chrono::duration<double> mean{0};
  std::chrono::duration<double> previous_best{0};
  std::chrono::duration<double> current_best{0};
  TimePoint window_start;
};

/// Adaptive concurrency limit of a target, controlled by its latency.
///
/// The limit increases additively while the latency stays near the recent
/// minimum and the limit is utilized. When the latency rises above that, the
/// limit decreases multiplicatively, at most once per round trip ("Congestion
/// Avoidance and Control", Jacobson 1988). If the target has not become faster
/// after the limit was reduced to half, it is slow for another reason than
/// overload: the previous limit is restored and the minimum latency is measured
/// anew.
class ConcurrencyLimit {
 public:
  /// Sets the bounds of the limit. If they differ from the previous ones, the
  /// limit is reset to the upper bound.
  void SetBounds(int new_min_limit, int new_max_limit);

  /// Records the latency of a finished request, excluding nested calls.
  /// `in_flight` is the number of requests in flight when it ended, itself
  /// included.
  void RecordLatency(std::string_view route,
                     Duration latency,
                     int in_flight,
                     TimePoint now);
  /// Records a request that the target shed or didn't answer in time.
  void RecordFailure(TimePoint now);

  /// Discards the learned latencies, because the target has changed.
  void ResetLatencies();

  int Limit() const;
  /// Minimum recent latency of a route; zero if none is known.
  Duration BestLatency(std::string_view route) const;
  /// Recent latency of a route divided by the minimum one; 1 if unknown.
  double Slowdown(std::string_view route) const;

 private:
  /// A sequence of decreases, with the limit and the slowdown before the first.
  struct DecreaseEpisode {
    double limit = 0;
    double slowdown = 0;
  };

  void Decrease(TimePoint now, Duration round_trip);
  /// Ends the episode when the limit is down to half of its value at the start,
  /// or to the lower bound, and undoes the decreases if they didn't help.
  void EvaluateEpisode(double slowdown);

  std::unordered_map<std::string, LatencyTrend> trends;
  int min_limit = 1;
  int max_limit = 1;
  double limit = 1;
  TimePoint next_decrease;
  std::optional<DecreaseEpisode> episode;
};

}  // namespace daisywinch

#endif  // DAISYWINCH_STATE_CONCURRENCY_LIMIT_H
