#ifndef DAISYWINCH_STATE_TARGET_RATE_LIMITER_H
#define DAISYWINCH_STATE_TARGET_RATE_LIMITER_H

#include <cstddef>
#include <deque>
#include <optional>

#include "state/clock.h"

namespace daisywinch {

/// Limits the rate of the requests that a target gets, by a sliding window.
///
/// The window is long enough for a whole number of requests, and at least a
/// second, so that no second has more requests than the rate, rounded up.
/// Requests are recorded while there is no limit too, so that a limit holds
/// from the first second in which it applies.
class TargetRateLimiter {
 public:
  /// Sets the limit in requests per second; nullopt means that there is none.
  void SetRate(std::optional<double> requests_per_second);

  /// Whether one more request stays within the limit.
  bool CanSend(TimePoint now);
  void RecordSent(TimePoint now);

  /// Time until one more request stays within the limit if `waiting` requests
  /// are sent before it; zero if that is the case at `now`.
  Duration SendDelay(std::size_t waiting, TimePoint now);

 private:
  /// Maximum number of requests in a window.
  std::size_t MaxRequests() const;
  Duration Window() const;
  /// Number of requests sent within the window.
  std::size_t SentInWindow(TimePoint now) const;
  void RemoveExpired(TimePoint now);

  std::optional<double> rate;
  std::deque<TimePoint> send_times;
};

}  // namespace daisywinch

#endif  // DAISYWINCH_STATE_TARGET_RATE_LIMITER_H
