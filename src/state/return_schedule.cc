#include "state/return_schedule.h"

#include <algorithm>

namespace daisywinch {

namespace {

/// Time reserved for a request that returns, as a factor of the mean time; most
/// requests take less.
constexpr double kTimeMargin = 1.2;
/// Range of the delays, as fractions of the latest useful one.
constexpr double kMinFraction = 0.6;
constexpr double kMaxFraction = 1;
/// Range of the delays as fractions of the objective, for customers over their
/// rate, and when the time that requests take is unknown or too long for a
/// return within the objective.
constexpr double kMinDefaultFraction = 0.15;
constexpr double kMaxDefaultFraction = 0.4;
/// Each request contributes to the mean time with a weight of one divided by
/// this.
constexpr int kMeanDivisor = 16;

}  // namespace

void ReturnSchedule::RecordServed(const RootClass& root_class, Duration time) {
  Duration& mean = this->mean_times.try_emplace(root_class, time).first->second;
  mean += (time - mean) / kMeanDivisor;
}

Duration ReturnSchedule::DelayFor(const RootClass& root_class,
                                  Duration objective,
                                  Duration elapsed) {
  const auto mean = this->mean_times.find(root_class);
  Duration latest = Duration::zero();
  if (mean != this->mean_times.end()) {
    latest = objective - elapsed -
             std::chrono::duration_cast<Duration>(mean->second * kTimeMargin);
  }
  const Duration default_latest =
      std::chrono::duration_cast<Duration>(objective * kMaxDefaultFraction);
  if (latest * kMaxFraction < default_latest) {
    return this->DelayOverRate(objective);
  }
  return this->Between(
      std::chrono::duration_cast<Duration>(latest * kMinFraction),
      std::chrono::duration_cast<Duration>(latest * kMaxFraction));
}

Duration ReturnSchedule::DelayOverRate(Duration objective) {
  return this->Between(
      std::chrono::duration_cast<Duration>(objective * kMinDefaultFraction),
      std::chrono::duration_cast<Duration>(objective * kMaxDefaultFraction));
}

Duration ReturnSchedule::Between(Duration low, Duration high) {
  std::uniform_real_distribution<double> position(0, 1);
  return low + std::chrono::duration_cast<Duration>((high - low) *
                                                    position(this->random));
}

}  // namespace daisywinch
