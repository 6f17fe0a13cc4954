#ifndef DAISYWINCH_STATE_CONCURRENCY_LIMIT_H
#define DAISYWINCH_STATE_CONCURRENCY_LIMIT_H

#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>

#include "state/clock.h"

namespace daisywinch {

/// Mean latency of one route against the best mean of the last minute.
class LatencyTrend {
 public:
  void Add(Duration latency, TimePoint now);

  /// Recent mean over the best one; 1 until enough is known.
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

/// Learns how many requests a target runs at once without slowing down.
///
/// Additive increase while the latency stays near its own recent best and the
/// limit is used, multiplicative decrease at most once a round trip when it
/// does not ("Congestion Avoidance and Control", Jacobson 1988). When a limit
/// cut to half has not made the target faster, the target is slow for another
/// reason than overload: the limit comes back and the best latency is learned
/// anew.
class ConcurrencyLimit {
 public:
  /// Sets the bounds; the limit starts at the upper one.
  void SetBounds(int new_min_limit, int new_max_limit);

  /// Takes the latency of a finished request, without the time spent in
  /// onward calls; `in_flight` counts the requests that ran beside it.
  void RecordLatency(std::string_view route,
                     Duration latency,
                     int in_flight,
                     TimePoint now);
  /// Takes a request that the target shed or failed to answer in time.
  void RecordFailure(TimePoint now);

  /// Learns latencies anew, after the target has changed.
  void ResetLatencies();

  int Limit() const;
  /// Best recent latency of a route, zero if none is known.
  Duration BestLatency(std::string_view route) const;
  /// Recent latency over the best, of one route.
  double Slowdown(std::string_view route) const;

 private:
  /// A run of decreases, from the first one on.
  struct DecreaseEpisode {
    double limit = 0;
    double slowdown = 0;
  };

  void Decrease(TimePoint now, Duration round_trip);
  /// Ends the episode once the limit is half of what it was at its start.
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
