#ifndef DAISYWINCH_STATE_COLD_ALLOWANCE_H
#define DAISYWINCH_STATE_COLD_ALLOWANCE_H

#include <deque>
#include <optional>

#include "state/clock.h"

namespace daisywinch {

/// Bounds the requests to a cold target in any span of one second.
///
/// Counts what is sent at all times, so that a target that turns cold is held
/// to its allowance from the first second on.
class ColdAllowance {
 public:
  /// Requests per second that the cold target bears; 0 means that nothing is
  /// known of the target turning cold.
  void SetRate(double requests_per_second);

  /// Whether a cold target bears one more request now.
  bool HasRoom(TimePoint now);
  void TakeSent(TimePoint now);

  /// When the next request fits; nothing if one fits now.
  std::optional<TimePoint> NextRoom(TimePoint now);

 private:
  void Forget(TimePoint now);

  double rate = 0;
  std::deque<TimePoint> sent;
};

}  // namespace daisywinch

#endif  // DAISYWINCH_STATE_COLD_ALLOWANCE_H
