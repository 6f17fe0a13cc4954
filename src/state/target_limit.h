#ifndef DAISYWINCH_STATE_TARGET_LIMIT_H
#define DAISYWINCH_STATE_TARGET_LIMIT_H

#include <string>
#include <string_view>

#include "state/clock.h"
#include "state/cold_start_ramp.h"
#include "state/concurrency_limit.h"
#include "state/configuration.h"

namespace daisywinch {

/// What a request told of the target that ran it.
struct TargetSample {
  std::string route;
  TimePoint started_at;
  /// Time in the target itself, without onward calls.
  Duration latency = Duration::zero();
  /// Requests in flight beside it when it ended.
  int in_flight = 0;
  /// Identifies the run of the target; empty if it does not tell.
  std::string instance;
};

/// How many requests the target beside this node may run at once.
///
/// Joins the learned_limit limit and the ramp of a cold target. What the gate
/// has seen itself decides; health endpoints are not asked.
class TargetLimit {
 public:
  /// Takes what the questionnaire says; the target counts as cold at first.
  void Configure(const Service& service);

  void RecordResponse(const TargetSample& sample, TimePoint now);
  /// The target shed a request.
  void RecordShed(TimePoint now);
  /// The target did not answer in time.
  void RecordTimeout(TimePoint now);
  /// The target refused a connection or broke one.
  void RecordDisconnect(TimePoint now);

  int Limit() const;
  bool IsWarm() const { return this->ramp.IsWarm(); }
  Duration BestLatency(std::string_view route) const {
    return this->learned_limit.BestLatency(route);
  }
  /// Times that the target was found cold, the first one included.
  int ColdCount() const { return this->cold_count; }

 private:
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
