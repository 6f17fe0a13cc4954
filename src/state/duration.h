#ifndef DAISYWINCH_STATE_DURATION_H
#define DAISYWINCH_STATE_DURATION_H

#include <algorithm>
#include <cstdint>
#include <optional>
#include <string_view>

#include "state/clock.h"

namespace daisywinch {

/// Parses a time span written as a number and its unit, `ms` or `s`, such as
/// "1500ms" or "2.5s". Returns nothing for any other text and for negative
/// numbers.
std::optional<Duration> ParseDuration(std::string_view text);

/// A span in seconds as a floating-point number.
inline double ToSeconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

/// A span in whole microseconds; 0 for one below zero.
inline std::uint64_t ToMicroseconds(Duration duration) {
  return std::max<std::int64_t>(
      0,
      std::chrono::duration_cast<std::chrono::microseconds>(duration).count());
}

/// A span from seconds as a floating-point number.
inline Duration FromSeconds(double seconds) {
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(seconds));
}

}  // namespace daisywinch

#endif  // DAISYWINCH_STATE_DURATION_H
