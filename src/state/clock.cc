#include "state/clock.h"

#include <time.h>

namespace daisywinch {

BootTime::time_point BootTime::now() {
  timespec now_spec = {};
  clock_gettime(CLOCK_BOOTTIME, &now_spec);
  return time_point(std::chrono::seconds(now_spec.tv_sec) +
                    std::chrono::nanoseconds(now_spec.tv_nsec));
}

TimePoint SystemClock::Now() const {
  return BootTime::now();
}

}  // namespace daisywinch
