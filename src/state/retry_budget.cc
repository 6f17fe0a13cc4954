#include "state/retry_budget.h"

#include <algorithm>
#include <cmath>

namespace daisywinch {

namespace {

/// Fraction of the logarithm of the allowed factor that leaf routes use.
constexpr double kLeafFraction = 0.6;
/// Part of the retries of a service that its root requests may use, unless they
/// are most of its calls.
constexpr double kMaxRootFraction = 0.5;

}  // namespace

RetryBudget::RetryBudget(double ratio, double capacity)
    : ratio(ratio), capacity(capacity) {}

void RetryBudget::Deposit() {
  this->available = std::min(this->capacity, this->available + this->ratio);
}

bool RetryBudget::TryWithdraw() {
  if (this->available < 1) {
    return false;
  }
  this->available -= 1;
  return true;
}

double RetryRatioPerLevel(double ratio, int levels, bool is_leaf) {
  const double exponent =
      is_leaf ? kLeafFraction : (1 - kLeafFraction) / std::max(1, levels - 1);
  return std::pow(1 + ratio, exponent) - 1;
}

LeafRetryRatios DivideLeafRetries(double ratio,
                                  double root_rate,
                                  double nested_rate) {
  if (root_rate <= 0 || nested_rate <= 0) {
    return {ratio, ratio};
  }
  const double retries = ratio * (root_rate + nested_rate);
  const double root_retries =
      std::clamp(kMaxRootFraction * retries, ratio * root_rate, root_rate);
  return {root_retries / root_rate, (retries - root_retries) / nested_rate};
}

}  // namespace daisywinch
