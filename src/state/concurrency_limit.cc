#include "state/concurrency_limit.h"

#include <algorithm>

namespace daisywinch {

namespace {

constexpr int kMinSamples = 20;
constexpr double kSmoothingFactor = 0.1;
constexpr std::chrono::seconds kBaselineWindow{30};
/// Slowdown above which requests are regarded as queueing inside the target.
constexpr double kToleratedSlowdown = 2.0;
constexpr double kDecreaseFactor = 0.9;
constexpr double kMinIncrease = 0.05;
/// Fraction of the limit at the start of an episode at which the effect of the
/// decreases is evaluated.
constexpr double kEvaluationFraction = 0.5;
/// The decreases helped if the slowdown fell below this fraction of its value
/// at the start of the episode.
constexpr double kImprovedFraction = 0.8;
/// Fraction of the limit that must be in use for the limit to increase.
constexpr double kMinUtilization = 0.8;
constexpr std::chrono::milliseconds kFailureRoundTrip{100};

}  // namespace

void LatencyTrend::Add(Duration latency, TimePoint now) {
  const std::chrono::duration<double> sample = latency;
  this->mean = this->count == 0
                   ? sample
                   : this->mean + kSmoothingFactor * (sample - this->mean);
  ++this->count;
  if (this->count < kMinSamples) {
    this->current_best = this->mean;
    this->previous_best = this->mean;
    this->window_start = now;
    return;
  }
  this->current_best = std::min(this->current_best, this->mean);
  if (now - this->window_start > kBaselineWindow) {
    this->previous_best = this->current_best;
    this->current_best = this->mean;
    this->window_start = now;
  }
}

double LatencyTrend::Slowdown() const {
  const std::chrono::duration<double> baseline = this->Baseline();
  if (this->count < kMinSamples || baseline.count() <= 0) {
    return 1;
  }
  return this->mean / baseline;
}

Duration LatencyTrend::Mean() const {
  return std::chrono::duration_cast<Duration>(this->mean);
}

Duration LatencyTrend::Baseline() const {
  return std::chrono::duration_cast<Duration>(
      std::min(this->previous_best, this->current_best));
}

void ConcurrencyLimit::SetBounds(int new_min_limit, int new_max_limit) {
  if (new_min_limit == this->min_limit && new_max_limit == this->max_limit) {
    return;
  }
  this->min_limit = new_min_limit;
  this->max_limit = new_max_limit;
  this->limit = new_max_limit;
}

void ConcurrencyLimit::RecordLatency(std::string_view route,
                                     Duration latency,
                                     int in_flight,
                                     TimePoint now) {
  LatencyTrend& trend = this->trends[std::string(route)];
  trend.Add(latency, now);
  const double slowdown = trend.Slowdown();
  if (slowdown > kToleratedSlowdown) {
    if (!this->episode) {
      this->episode = DecreaseEpisode{this->limit, slowdown};
    }
    this->Decrease(now, latency);
    this->EvaluateEpisode(slowdown);
    return;
  }
  this->episode.reset();
  if (in_flight >= kMinUtilization * this->limit) {
    const double step = std::max(kMinIncrease, 1 / this->limit);
    this->limit = std::min<double>(this->max_limit, this->limit + step);
  }
}

void ConcurrencyLimit::EvaluateEpisode(double slowdown) {
  const bool is_complete =
      this->limit <= kEvaluationFraction * this->episode->limit ||
      this->limit <= this->min_limit;
  if (!is_complete) {
    return;
  }
  const bool helped = slowdown < kImprovedFraction * this->episode->slowdown;
  if (!helped) {
    this->limit = this->episode->limit;
    this->ResetLatencies();
  }
  this->episode.reset();
}

void ConcurrencyLimit::ResetLatencies() {
  this->trends.clear();
}

void ConcurrencyLimit::RecordFailure(TimePoint now) {
  this->Decrease(now, kFailureRoundTrip);
}

int ConcurrencyLimit::Limit() const {
  return static_cast<int>(this->limit);
}

Duration ConcurrencyLimit::BestLatency(std::string_view route) const {
  const auto found = this->trends.find(std::string(route));
  return found == this->trends.end() ? Duration::zero()
                                     : found->second.Baseline();
}

double ConcurrencyLimit::Slowdown(std::string_view route) const {
  const auto found = this->trends.find(std::string(route));
  return found == this->trends.end() ? 1 : found->second.Slowdown();
}

void ConcurrencyLimit::Decrease(TimePoint now, Duration round_trip) {
  if (now < this->next_decrease) {
    return;
  }
  this->limit =
      std::max<double>(this->min_limit, this->limit * kDecreaseFactor);
  this->next_decrease = now + round_trip;
}

}  // namespace daisywinch
