#include "state/recent_maximum.h"

#include <algorithm>

namespace daisywinch {

namespace {

constexpr std::chrono::seconds kWindow{10};

}  // namespace

void RecentMaximum::Record(Duration duration, TimePoint now) {
  if (now - this->window_start >= kWindow) {
    const bool has_gap = now - this->window_start >= 2 * kWindow;
    this->previous = has_gap ? Duration::zero() : this->current;
    this->current = Duration::zero();
    this->window_start = now;
  }
  this->current = std::max(this->current, duration);
}

Duration RecentMaximum::Get(TimePoint now) const {
  const Duration age = now - this->window_start;
  if (age >= 2 * kWindow) {
    return Duration::zero();
  }
  return age >= kWindow ? this->current
                        : std::max(this->current, this->previous);
}

}  // namespace daisywinch
