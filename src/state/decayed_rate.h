#ifndef DAISYWINCH_STATE_DECAYED_RATE_H
#define DAISYWINCH_STATE_DECAYED_RATE_H

#include <cmath>

#include "state/clock.h"
#include "state/duration.h"

namespace daisywinch {

/// Rate of events per second, averaged with exponentially decaying weights over
/// about one time constant.
class DecayedRate {
 public:
  explicit DecayedRate(Duration time_constant = std::chrono::seconds(1))
      : time_constant(ToSeconds(time_constant)) {}

  void Add(double amount, TimePoint now) {
    this->sum = this->SumAt(now) + amount;
    this->last_update = now;
  }

  double PerSecond(TimePoint now) const {
    return this->SumAt(now) / this->time_constant;
  }

 private:
  double SumAt(TimePoint now) const {
    if (now <= this->last_update) {
      return this->sum;
    }
    return this->sum *
           std::exp(-ToSeconds(now - this->last_update) / this->time_constant);
  }

  double time_constant;
  double sum = 0;
  TimePoint last_update;
};

}  // namespace daisywinch

#endif  // DAISYWINCH_STATE_DECAYED_RATE_H
