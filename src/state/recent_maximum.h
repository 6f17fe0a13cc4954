#ifndef DAISYWINCH_STATE_RECENT_MAXIMUM_H
#define DAISYWINCH_STATE_RECENT_MAXIMUM_H

#include "state/clock.h"

namespace daisywinch {

/// Longest of the durations recorded lately.
class RecentMaximum {
 public:
  void Record(Duration duration, TimePoint now);

  /// The longest duration of the last one to two windows of ten seconds; zero
  /// if none was recorded.
  Duration Get(TimePoint now) const;

 private:
  TimePoint window_start;
  Duration current = Duration::zero();
  Duration previous = Duration::zero();
};

}  // namespace daisywinch

#endif  // DAISYWINCH_STATE_RECENT_MAXIMUM_H
