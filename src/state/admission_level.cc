#include "state/admission_level.h"

#include <algorithm>
#include <cmath>

namespace daisywinch {

namespace {

constexpr std::chrono::milliseconds kInterval{20};
/// Part of the shed fraction by which the marginal class is cut.
constexpr double kCut = 0.5;
constexpr double kRise = 0.05;
/// Keeps a trickle of work coming, so that a low level heals.
constexpr double kLowest = 0.05;
/// Distance to the next class below which that class is cut instead.
constexpr double kClassEdge = 0.05;

}  // namespace

double WantedPart(double level, RequestClass request_class) {
  return std::clamp(level - static_cast<double>(request_class), 0.0, 1.0);
}

void AdmissionLevel::TakeOffered(TimePoint now) {
  this->CloseInterval(now);
  ++this->offered;
}

void AdmissionLevel::TakeShed(TimePoint now) {
  this->CloseInterval(now);
  ++this->shed;
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
    const double shed_part =
        std::min(1.0, static_cast<double>(this->shed) /
                          std::max(1, std::max(this->offered, this->shed)));
    const double whole_classes =
        std::max(0.0, std::ceil(this->level - kClassEdge) - 1);
    const double marginal = this->level - whole_classes;
    this->level = whole_classes + marginal * (1 - kCut * shed_part);
  } else if (this->was_idle) {
    this->level += kRise;
  }
  this->level = std::clamp(this->level, kLowest, kHighest);
  this->offered = 0;
  this->shed = 0;
  this->was_idle = false;
  this->interval_started = now;
}

}  // namespace daisywinch
