#include "state/stop_schedule.h"

#include <algorithm>

namespace daisywinch {

namespace {

/// Maximum time from the stop signal for which calls are taken whatever their
/// deadline. Platforms let a node cut requests at the end of the grace period
/// that were sent in the first three seconds.
constexpr std::chrono::milliseconds kMaxAnyCallTime{2950};
/// The same as a fraction of the time until the exit, if that is shorter.
constexpr double kAnyCallFraction = 0.65;

}  // namespace

StopSchedule::StopSchedule(TimePoint started,
                           Duration time_left,
                           TimePoint answers_end)
    : any_call_until(started +
                     std::min<Duration>(kMaxAnyCallTime,
                                        std::chrono::duration_cast<Duration>(
                                            time_left * kAnyCallFraction))),
      answers_end(answers_end) {}

}  // namespace daisywinch
