#include "state/concurrency_limit.h"

#include <algorithm>

namespace daisywinch {

namespace {

constexpr int kSamplesToTrust = 20;
constexpr double kSmoothing = 0.1;
constexpr std::chrono::seconds kWindow{30};
/// Slowdown that queueing inside the target explains best.
constexpr double kToleratedSlowdown = 2.0;
constexpr double kDecreaseFactor = 0.9;
constexpr double kLeastIncrease = 0.05;
/// Part of an episode's first limit at which the episode is judged.
constexpr double kJudgedPart = 0.5;
/// Part of an episode's first slowdown below which the decreases helped.
constexpr double kHelpedPart = 0.8;
/// Part of the limit that must be in use before it grows.
constexpr double kUsedPart = 0.8;
constexpr std::chrono::milliseconds kFailureRoundTrip{100};

}  // namespace

void LatencyTrend::Add(Duration latency, TimePoint now) {
  const std::chrono::duration<double> sample = latency;
  this->mean = this->count == 0
                   ? sample
                   : this->mean + kSmoothing * (sample - this->mean);
  ++this->count;
  if (this->count < kSamplesToTrust) {
    this->best_now = this->mean;
    this->best_before = this->mean;
    this->window_started = now;
    return;
  }
  this->best_now = std::min(this->best_now, this->mean);
  if (now - this->window_started > kWindow) {
    this->best_before = this->best_now;
    this->best_now = this->mean;
    this->window_started = now;
  }
}

double LatencyTrend::Ratio() const {
  const std::chrono::duration<double> baseline = this->Baseline();
  if (this->count < kSamplesToTrust || baseline.count() <= 0) {
    return 1;
  }
  return this->mean / baseline;
}

Duration LatencyTrend::Mean() const {
  return std::chrono::duration_cast<Duration>(this->mean);
}

Duration LatencyTrend::Baseline() const {
  return std::chrono::duration_cast<Duration>(
      std::min(this->best_before, this->best_now));
}

void ConcurrencyLimit::SetBounds(int new_lowest, int new_highest) {
  if (new_lowest == this->lowest && new_highest == this->highest) {
    return;
  }
  this->lowest = new_lowest;
  this->highest = new_highest;
  this->limit = new_highest;
}

void ConcurrencyLimit::TakeLatency(std::string_view route,
                                   Duration latency,
                                   int in_flight,
                                   TimePoint now) {
  LatencyTrend& trend = this->trends[std::string(route)];
  trend.Add(latency, now);
  const double slowdown = trend.Ratio();
  if (slowdown > kToleratedSlowdown) {
    if (!this->episode) {
      this->episode = Episode{this->limit, slowdown};
    }
    this->Decrease(now, latency);
    this->JudgeEpisode(slowdown);
    return;
  }
  this->episode.reset();
  if (in_flight >= kUsedPart * this->limit) {
    const double step = std::max(kLeastIncrease, 1 / this->limit);
    this->limit = std::min<double>(this->highest, this->limit + step);
  }
}

void ConcurrencyLimit::JudgeEpisode(double slowdown) {
  const bool is_over = this->limit <= kJudgedPart * this->episode->limit ||
                       this->limit <= this->lowest;
  if (!is_over) {
    return;
  }
  const bool helped = slowdown < kHelpedPart * this->episode->slowdown;
  if (!helped) {
    this->limit = this->episode->limit;
    this->ForgetLatencies();
  }
  this->episode.reset();
}

void ConcurrencyLimit::ForgetLatencies() {
  this->trends.clear();
}

void ConcurrencyLimit::TakeFailure(TimePoint now) {
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

double ConcurrencyLimit::SlowdownOf(std::string_view route) const {
  const auto found = this->trends.find(std::string(route));
  return found == this->trends.end() ? 1 : found->second.Ratio();
}

void ConcurrencyLimit::Decrease(TimePoint now, Duration round_trip) {
  if (now < this->next_decrease) {
    return;
  }
  this->limit = std::max<double>(this->lowest, this->limit * kDecreaseFactor);
  this->next_decrease = now + round_trip;
}

}  // namespace daisywinch
