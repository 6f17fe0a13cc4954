#ifndef DAISYWINCH_STATE_LOOP_DELAY_H
#define DAISYWINCH_STATE_LOOP_DELAY_H

#include <cstdint>
#include <string>

#include "state/clock.h"

namespace daisywinch {

/// Records how late an event loop runs its handlers. Used on the thread of the
/// loop.
class LoopDelay {
 public:
  explicit LoopDelay(std::string loop);

  /// Records the time between the moment at which a handler could have run and
  /// its run. Logs long delays.
  void Record(Duration delay);

  /// The longest delay so far and the number of long ones, in the Prometheus
  /// text format.
  std::string ToPrometheusText() const;

 private:
  std::string loop;
  Duration longest = Duration::zero();
  std::uint64_t long_delays = 0;
};

}  // namespace daisywinch

#endif  // DAISYWINCH_STATE_LOOP_DELAY_H
