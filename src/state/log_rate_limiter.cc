#include "state/log_rate_limiter.h"

#include <utility>

namespace daisywinch {

namespace {

/// Limit and burst for requests that failed or were refused.
constexpr double kFailureLinesPerSecond = 40;
constexpr double kFailureBurst = 80;
/// Limit and burst for successful requests.
constexpr double kSuccessLinesPerSecond = 2;
constexpr double kSuccessBurst = 4;

}  // namespace

LogRateLimiter::LogRateLimiter(TimePoint now)
    : failures(kFailureLinesPerSecond, kFailureBurst, kFailureBurst, now),
      successes(kSuccessLinesPerSecond, kSuccessBurst, kSuccessBurst, now) {}

std::optional<std::uint64_t> LogRateLimiter::TryAcquire(bool has_failed,
                                                        TimePoint now) {
  TokenBucket& budget = has_failed ? this->failures : this->successes;
  if (!budget.TryAcquire(1, now)) {
    ++this->suppressed;
    return std::nullopt;
  }
  return std::exchange(this->suppressed, 0);
}

}  // namespace daisywinch
