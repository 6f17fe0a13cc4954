#ifndef DAISYWINCH_STATE_CLOCK_H
#define DAISYWINCH_STATE_CLOCK_H

#include <chrono>

namespace daisywinch {

/// Steady clock that keeps counting while the VM is suspended.
///
/// Uses CLOCK_BOOTTIME: after a suspension, deadlines and leases that ran out
/// meanwhile count as expired. CLOCK_MONOTONIC would stop during a suspension
/// and leave them valid.
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

/// Source of the current time; injected so that tests can control it.
class Clock {
 public:
  virtual ~Clock() = default;

  virtual TimePoint Now() const = 0;
};

/// Clock of the operating system.
class SystemClock : public Clock {
 public:
  TimePoint Now() const override;
};

}  // namespace daisywinch

#endif  // DAISYWINCH_STATE_CLOCK_H
