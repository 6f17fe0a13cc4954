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

void AdmissionLevel::TakeOffered(TimePoint now) {
  this->CloseInterval(now);
  ++this->offered;
}

void AdmissionLevel::TakeShed(RequestClass request_class, TimePoint now) {
  this->CloseInterval(now);
  ++this->shed;
  this->most_important_shed =
      std::min(this->most_important_shed, request_class);
}

void AdmissionLevel::TakeIdle(TimePoint now) {
  this->CloseInterval(now);
  this->was_idle = true;
}

void AdmissionLevel::CloseInterval(TimePoint now) {
  if (now - this->interval_started < kInterval) {
    return;
  }
  if (this->shed > 0) {
    this->Lower();
  } else if (this->was_idle) {
    this->level = std::min(kHighest, this->level + kRise);
  }
  this->offered = 0;
  this->shed = 0;
  this->most_important_shed = RequestClass::kBackground;
  this->was_idle = false;
  this->interval_started = now;
}

void AdmissionLevel::Lower() {
  const double offered_count = std::max(1, std::max(this->offered, this->shed));
  const double started_part = 1 - this->shed / offered_count;
  const double factor =
      std::clamp(kOverSupply * started_part, kDeepestCut, 1.0);
  double whole_classes = std::ceil(this->level) - 1;
  double part = this->level - whole_classes;
  const double shed_class = static_cast<double>(this->most_important_shed);
  if (part <= kLeastPart + kRounding && whole_classes > shed_class) {
    whole_classes -= 1;
    part = 1;
  }
  this->level = whole_classes + std::max(kLeastPart, part * factor);
}

}  // namespace daisywinch
