#include "state/line_limiter.h"

#include <utility>

namespace daisywinch {

namespace {

/// Lines a second and at once for requests that failed or were refused. Their
/// cost is not measured yet.
constexpr double kFailureLines = 40;
constexpr double kFailureBurst = 80;
/// The same for requests that were served.
constexpr double kSuccessLines = 2;
constexpr double kSuccessBurst = 4;

}  // namespace

LineLimiter::LineLimiter(TimePoint now)
    : failures(kFailureLines, kFailureBurst, kFailureBurst, now),
      successes(kSuccessLines, kSuccessBurst, kSuccessBurst, now) {}

std::optional<std::uint64_t> LineLimiter::Take(bool has_failed, TimePoint now) {
  TokenBucket& budget = has_failed ? this->failures : this->successes;
  if (!budget.Take(1, now)) {
    ++this->left_out;
    return std::nullopt;
  }
  return std::exchange(this->left_out, 0);
}

}  // namespace daisywinch
