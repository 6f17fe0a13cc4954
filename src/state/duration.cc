#include "state/duration.h"

#include <charconv>
#include <cmath>

namespace daisywinch {

namespace {

/// Longer durations are rejected as malformed.
constexpr double kMaxSeconds = 1e6;
constexpr double kMillisecondsPerSecond = 1000;

}  // namespace

std::optional<Duration> ParseDuration(std::string_view text) {
  double scale = 1;
  if (text.ends_with("ms")) {
    text.remove_suffix(2);
    scale = kMillisecondsPerSecond;
  } else if (text.ends_with('s')) {
    text.remove_suffix(1);
  } else {
    return std::nullopt;
  }
  double number = 0;
  const std::from_chars_result result =
      std::from_chars(text.data(), text.data() + text.size(), number);
  const bool is_whole_text = result.ptr == text.data() + text.size();
  if (text.empty() || result.ec != std::errc() || !is_whole_text ||
      !std::isfinite(number) || number < 0 || number / scale > kMaxSeconds) {
    return std::nullopt;
  }
  return FromSeconds(number / scale);
}

}  // namespace daisywinch
