#ifndef DAISYWINCH_STATE_COLD_RATE_LIMITER_H
#define DAISYWINCH_STATE_COLD_RATE_LIMITER_H

#include <deque>
#include <optional>

#include "state/clock.h"

namespace daisywinch {

/// Bounds the requests to a cold target in any span of one second.
///
/// Counts what is send_times at all times, so that a target that turns cold is
/// held to its allowance from the first second on.
class ColdRateLimiter {
 public:
  /// Requests per second that the cold target bears; 0 means that nothing is
  /// known of the target turning cold.
  void SetRate(double requests_per_second);

  /// Whether a cold target bears one more request now.
  bool CanSend(TimePoint now);
  void RecordSent(TimePoint now);

  /// When the next request fits; nothing if one fits now.
  std::optional<TimePoint> NextSendTime(TimePoint now);

 private:
  void RemoveExpired(TimePoint now);

  double rate = 0;
  std::deque<TimePoint> send_times;
};

}  // namespace daisywinch

#endif  // DAISYWINCH_STATE_COLD_RATE_LIMITER_H
