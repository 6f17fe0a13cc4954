#include "state/duration_estimate.h"

#include <chrono>

namespace daisywinch {

namespace {

/// Weights of a new duration, as divisors, and the number of deviations in the
/// upper bound: alpha, beta and K of RFC 6298.
constexpr int kMeanDivisor = 8;
constexpr int kDeviationDivisor = 4;
constexpr int kDeviations = 4;

}  // namespace

void DurationEstimate::Record(Duration duration) {
  if (!this->mean) {
    this->mean = duration;
    this->deviation = duration / 2;
    return;
  }
  const Duration error = duration - *this->mean;
  this->deviation +=
      (std::chrono::abs(error) - this->deviation) / kDeviationDivisor;
  *this->mean += error / kMeanDivisor;
}

std::optional<Duration> DurationEstimate::UpperBound() const {
  if (!this->mean) {
    return std::nullopt;
  }
  return *this->mean + kDeviations * this->deviation;
}

}  // namespace daisywinch
