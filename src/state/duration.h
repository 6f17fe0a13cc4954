#ifndef DAISYWINCH_STATE_DURATION_H
#define DAISYWINCH_STATE_DURATION_H

#include <algorithm>
#include <cstdint>
#include <optional>
#include <string_view>

#include "state/clock.h"

namespace daisywinch {

/// Parses a duration written as a number and its unit, `ms` or `s`, such as
/// "1500ms" or "2.5s". Returns nothing for any other text, for negative numbers
/// and for durations over 1e6 seconds.
std::optional<Duration> ParseDuration(std::string_view text);

/// A duration in seconds.
inline double ToSeconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

/// A duration in whole microseconds; 0 if it is negative.
inline std::uint64_t ToMicroseconds(Duration duration) {
  return std::max<std::int64_t>(
      0,
      std::chrono::duration_cast<std::chrono::microseconds>(duration).count());
}

/// The duration of a number of seconds.
inline Duration FromSeconds(double seconds) {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(seconds));
}

}  // namespace daisywinch

#endif  // DAISYWINCH_STATE_DURATION_H
