#ifndef DAISYWINCH_STATE_CLOCK_H
#define DAISYWINCH_STATE_CLOCK_H

#include <chrono>

namespace daisywinch {

/// Time base that keeps counting while the machine is suspended.
///
/// Backed by CLOCK_BOOTTIME, so a process that wakes late sees the time that
/// has really passed and lets nothing stale through.
struct BootTime {
  using duration = std::chrono::nanoseconds;
  using rep = duration::rep;
  using period = duration::period;
  using time_point = std::chrono::time_point<BootTime>;
  static constexpr bool is_steady = true;

  static time_point now();
};

using Duration = BootTime::duration;
using TimePoint = BootTime::time_point;

/// Source of the current time, passed to everything that decides by time.
class Clock {
 public:
  virtual ~Clock() = default;

  virtual TimePoint Now() const = 0;
};

/// Clock of the running machine.
class SystemClock : public Clock {
 public:
  TimePoint Now() const override;
};

}  // namespace daisywinch

#endif  // DAISYWINCH_STATE_CLOCK_H
