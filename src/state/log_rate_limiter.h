#ifndef DAISYWINCH_STATE_LOG_RATE_LIMITER_H
#define DAISYWINCH_STATE_LOG_RATE_LIMITER_H

#include <cstdint>
#include <optional>

#include "state/clock.h"
#include "state/token_bucket.h"

namespace daisywinch {

/// Limits the number of log lines for requests.
///
/// Successful requests are sampled at a low rate. Failed and refused requests
/// have a budget of their own, which is larger. Suppressed lines are counted,
/// and the count is logged with the next line.
class LogRateLimiter {
 public:
  explicit LogRateLimiter(TimePoint now);

  /// Returns the number of lines suppressed since the last logged one if this
  /// line may be logged, otherwise nullopt.
  std::optional<std::uint64_t> TryAcquire(bool has_failed, TimePoint now);

 private:
  TokenBucket failures;
  TokenBucket successes;
  std::uint64_t suppressed = 0;
};

}  // namespace daisywinch

#endif  // DAISYWINCH_STATE_LOG_RATE_LIMITER_H
