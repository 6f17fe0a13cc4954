#ifndef DAISYWINCH_STATE_TARGET_LIMIT_H
#define DAISYWINCH_STATE_TARGET_LIMIT_H

#include <string>
#include <string_view>

#include "state/clock.h"
#include "state/cold_start_ramp.h"
#include "state/concurrency_limit.h"
#include "state/configuration.h"

namespace daisywinch {

/// Measurements of one request that the target handled.
struct TargetSample {
  std::string route;
  TimePoint started_at;
  /// Processing time in the target, excluding nested calls.
  Duration latency = Duration::zero();
  /// Requests in flight when this one ended, itself included.
  int in_flight = 0;
  /// Identifies the process of the target; empty if it sends no identifier.
  std::string instance;
};

/// Concurrency limit of the local target.
///
/// Combines the adaptive limit with the ramp of a cold target. It relies only
/// on what the gate observes; health endpoints are not queried.
class TargetLimit {
 public:
  /// Sets the slots and the warm-up time from the service configuration. The
  /// target is regarded as cold at first.
  void Configure(const Service& service);

  void RecordResponse(const TargetSample& sample, TimePoint now);
  /// The target shed a request.
  void RecordShed(TimePoint now);
  /// The target didn't respond in time.
  void RecordTimeout(TimePoint now);
  /// The target refused a connection or closed one during a request. It is
  /// regarded as cold again, because it may have been restarted.
  void RecordDisconnect(TimePoint now);

  int Limit() const;
  bool IsWarm() const { return this->ramp.IsWarm(); }
  Duration BestLatency(std::string_view route) const {
    return this->learned_limit.BestLatency(route);
  }
  /// Number of times that the target was cold, including the initial one.
  int ColdCount() const { return this->cold_count; }

 private:
  /// Restarts the ramp and discards the learned latencies.
  void MarkCold(TimePoint now);

  ColdStartRamp ramp;
  ConcurrencyLimit learned_limit;
  bool configured = false;
  std::string instance;
  TimePoint cold_since;
  int consecutive_slow = 0;
  int consecutive_shed = 0;
  int cold_count = 1;
};

}  // namespace daisywinch

#endif  // DAISYWINCH_STATE_TARGET_LIMIT_H
