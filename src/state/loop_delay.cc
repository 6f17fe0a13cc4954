#include "state/loop_delay.h"

#include <algorithm>
#include <utility>

#include "state/duration.h"
#include "state/event_log.h"

namespace daisywinch {

namespace {

/// Minimum delay that is logged.
constexpr std::chrono::milliseconds kLongDelay{250};

}  // namespace

LoopDelay::LoopDelay(std::string loop) : loop(std::move(loop)) {}

void LoopDelay::Record(Duration delay) {
  this->longest = std::max(this->longest, delay);
  if (delay < kLongDelay) {
    return;
  }
  ++this->long_delays;
  LogEvent(EventId::kLoopDelayed,
           {{"loop", this->loop}, {"microseconds", ToMicroseconds(delay)}});
}

std::string LoopDelay::ToPrometheusText() const {
  const std::string label = "{loop=\"" + this->loop + "\"} ";
  return "# TYPE daisywinch_loop_delay_longest_seconds gauge\n"
         "daisywinch_loop_delay_longest_seconds" +
         label + std::to_string(ToSeconds(this->longest)) +
         "\n# TYPE daisywinch_loop_delays_total counter\n"
         "daisywinch_loop_delays_total" +
         label + std::to_string(this->long_delays) + "\n";
}

}  // namespace daisywinch
