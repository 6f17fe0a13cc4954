#include "state/admission_level.h"

#include <algorithm>
#include <cmath>

namespace daisywinch {

namespace {

constexpr std::chrono::milliseconds kInterval{50};
/// Ratio of admitted requests to requests that could be started; above 1, so
/// that the queue doesn't run empty.
constexpr double kOversubscription = 1.1;
/// Lower bound of the factor that one interval applies to the admitted fraction
/// of the marginal class.
constexpr double kMinDecreaseFactor = 0.7;
constexpr double kIncreaseStep = 0.05;
/// Lower bound of the admitted fraction of a class. A few requests must still
/// arrive, otherwise a low level could not be corrected.
constexpr double kMinClassFraction = 0.05;
constexpr double kEpsilon = 1e-9;

}  // namespace

double AdmissionProbability(double level, RequestClass request_class) {
  return std::clamp(level - static_cast<double>(request_class), 0.0, 1.0);
}

void AdmissionLevel::RecordOffered(RequestClass request_class, TimePoint now) {
  this->CloseInterval(now);
  ++this->counts[static_cast<std::size_t>(request_class)].offered;
}

void AdmissionLevel::RecordShed(RequestClass request_class, TimePoint now) {
  this->CloseInterval(now);
  ++this->counts[static_cast<std::size_t>(request_class)].shed;
}

void AdmissionLevel::RecordIdle(TimePoint now) {
  this->CloseInterval(now);
  this->was_idle = true;
}

void AdmissionLevel::CloseInterval(TimePoint now) {
  if (now - this->interval_start < kInterval) {
    return;
  }
  if (this->WasOverloaded()) {
    this->Decrease();
  } else if (this->was_idle || this->WasAnyShed()) {
    this->level = std::min(kMaxLevel, this->level + kIncreaseStep);
  }
  this->counts = {};
  this->was_idle = false;
  this->interval_start = now;
}

std::size_t AdmissionLevel::MarginalClass() const {
  return static_cast<std::size_t>(std::ceil(this->level - kEpsilon)) - 1;
}

bool AdmissionLevel::WasOverloaded() const {
  const auto end = this->counts.begin() + this->MarginalClass() + 1;
  return std::any_of(this->counts.begin(), end,
                     [](const ClassCount& count) { return count.shed > 0; });
}

bool AdmissionLevel::WasAnyShed() const {
  return std::any_of(this->counts.begin(), this->counts.end(),
                     [](const ClassCount& count) { return count.shed > 0; });
}

void AdmissionLevel::Decrease() {
  std::size_t marginal = this->MarginalClass();
  double fraction = this->level - static_cast<double>(marginal);
  const auto end = this->counts.begin() + marginal;
  const bool is_more_important_shed =
      std::any_of(this->counts.begin(), end,
                  [](const ClassCount& count) { return count.shed > 0; });
  if (fraction <= kMinClassFraction + kEpsilon && is_more_important_shed) {
    marginal -= 1;
    fraction = 1;
  }
  const ClassCount& count = this->counts[marginal];
  const double offered = std::max({1, count.offered, count.shed});
  const double started_fraction = 1 - count.shed / offered;
  const double factor = is_more_important_shed
                            ? kMinDecreaseFactor
                            : std::clamp(kOversubscription * started_fraction,
                                         kMinDecreaseFactor, 1.0);
  this->level = static_cast<double>(marginal) +
                std::max(kMinClassFraction, fraction * factor);
}

}  // namespace daisywinch
