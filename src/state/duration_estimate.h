#ifndef DAISYWINCH_STATE_DURATION_ESTIMATE_H
#define DAISYWINCH_STATE_DURATION_ESTIMATE_H

#include <optional>

#include "state/clock.h"

namespace daisywinch {

/// Estimates how long a further operation of a kind will take at most, from the
/// durations of earlier ones: their smoothed mean plus four times their
/// smoothed mean deviation, as RFC 6298 does for round-trip times.
class DurationEstimate {
 public:
  void Record(Duration duration);

  /// Nothing while no duration was recorded.
  std::optional<Duration> UpperBound() const;

 private:
  std::optional<Duration> mean;
  Duration deviation = Duration::zero();
};

}  // namespace daisywinch

#endif  // DAISYWINCH_STATE_DURATION_ESTIMATE_H
