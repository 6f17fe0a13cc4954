#ifndef DAISYWINCH_STATE_COLD_RATE_LIMITER_H
#define DAISYWINCH_STATE_COLD_RATE_LIMITER_H

#include <deque>
#include <optional>

#include "state/clock.h"

namespace daisywinch {

/// Limits the number of requests that a cold target gets in any second, by a
/// sliding window.
///
/// Requests are recorded while the target is warm too, so that the limit holds
/// from the first second after the target has become cold.
class ColdRateLimiter {
 public:
  /// Sets the rate, in requests per second, that the target can handle while it
  /// is cold; 0 means that the configuration sets no limit.
  void SetRate(double requests_per_second);

  /// Whether one more request stays within the limit.
  bool CanSend(TimePoint now);
  void RecordSent(TimePoint now);

  /// Earliest time at which one more request stays within the limit; nullopt if
  /// that is the case at `now`.
  std::optional<TimePoint> NextSendTime(TimePoint now);

 private:
  void RemoveExpired(TimePoint now);

  double rate = 0;
  std::deque<TimePoint> send_times;
};

}  // namespace daisywinch

#endif  // DAISYWINCH_STATE_COLD_RATE_LIMITER_H
