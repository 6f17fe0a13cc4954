#ifndef DAISYWINCH_STATE_LOG_RATE_LIMITER_H
#define DAISYWINCH_STATE_LOG_RATE_LIMITER_H

#include <cstdint>
#include <optional>

#include "state/clock.h"
#include "state/token_bucket.h"

namespace daisywinch {

/// Bounds the lines that requests leave in the log.
///
/// Requests that were served are sampled; those that failed or were refused
/// are written as long as a budget of lines a second lasts, and are the last
/// to go. What was left out is counted and told with the next line.
class LogRateLimiter {
 public:
  explicit LogRateLimiter(TimePoint now);

  /// The number of lines left out since the last one, if this line may be
  /// written.
  std::optional<std::uint64_t> TryAcquire(bool has_failed, TimePoint now);

 private:
  TokenBucket failures;
  TokenBucket successes;
  std::uint64_t suppressed = 0;
};

}  // namespace daisywinch

#endif  // DAISYWINCH_STATE_LOG_RATE_LIMITER_H
