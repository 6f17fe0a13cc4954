#include "state/admission_level.h"

#include <algorithm>
#include <cmath>

namespace daisywinch {

namespace {

constexpr std::chrono::milliseconds kInterval{50};
/// Work asked for over what could be started.
constexpr double kOverSupply = 1.1;
/// Least factor by which one interval lowers the marginal class.
constexpr double kDeepestCut = 0.7;
constexpr double kRise = 0.05;
/// Least wanted part of a class: keeps a trickle coming, so that a low level
/// heals.
constexpr double kLeastPart = 0.05;
constexpr double kRounding = 1e-9;

}  // namespace

double WantedPart(double level, RequestClass request_class) {
  return std::clamp(level - static_cast<double>(request_class), 0.0, 1.0);
}

void AdmissionLevel::TakeOffered(RequestClass request_class, TimePoint now) {
  this->CloseInterval(now);
  ++this->counts[static_cast<std::size_t>(request_class)].offered;
}

void AdmissionLevel::TakeShed(RequestClass request_class, TimePoint now) {
  this->CloseInterval(now);
  ++this->counts[static_cast<std::size_t>(request_class)].shed;
}

void AdmissionLevel::TakeIdle(TimePoint now) {
  this->CloseInterval(now);
  this->was_idle = true;
}

void AdmissionLevel::CloseInterval(TimePoint now) {
  if (now - this->interval_started < kInterval) {
    return;
  }
  if (this->WasTooHigh()) {
    this->Lower();
  } else if (this->was_idle || this->WasAnyShed()) {
    this->level = std::min(kHighest, this->level + kRise);
  }
  this->counts = {};
  this->was_idle = false;
  this->interval_started = now;
}

std::size_t AdmissionLevel::MarginalClass() const {
  return static_cast<std::size_t>(std::ceil(this->level - kRounding)) - 1;
}

bool AdmissionLevel::WasTooHigh() const {
  const auto end = this->counts.begin() + this->MarginalClass() + 1;
  return std::any_of(this->counts.begin(), end,
                     [](const ClassCount& count) { return count.shed > 0; });
}

bool AdmissionLevel::WasAnyShed() const {
  return std::any_of(this->counts.begin(), this->counts.end(),
                     [](const ClassCount& count) { return count.shed > 0; });
}

void AdmissionLevel::Lower() {
  std::size_t marginal = this->MarginalClass();
  double part = this->level - static_cast<double>(marginal);
  const auto end = this->counts.begin() + marginal;
  const bool is_more_important_shed =
      std::any_of(this->counts.begin(), end,
                  [](const ClassCount& count) { return count.shed > 0; });
  if (part <= kLeastPart + kRounding && is_more_important_shed) {
    marginal -= 1;
    part = 1;
  }
  const ClassCount& count = this->counts[marginal];
  const double offered = std::max({1, count.offered, count.shed});
  const double started_part = 1 - count.shed / offered;
  const double factor =
      is_more_important_shed
          ? kDeepestCut
          : std::clamp(kOverSupply * started_part, kDeepestCut, 1.0);
  this->level =
      static_cast<double>(marginal) + std::max(kLeastPart, part * factor);
}

}  // namespace daisywinch
