#ifndef DAISYWINCH_STATE_DECAYED_RATE_H
#define DAISYWINCH_STATE_DECAYED_RATE_H

#include <cmath>

#include "state/clock.h"
#include "state/duration.h"

namespace daisywinch {

/// Rate of events per second, averaged over about the last span.
class DecayedRate {
 public:
  explicit DecayedRate(Duration span = std::chrono::seconds(1))
      : span(ToSeconds(span)) {}

  void Add(double amount, TimePoint now) {
    this->sum = this->SumAt(now) + amount;
    this->updated_at = now;
  }

  double PerSecond(TimePoint now) const {
    return this->SumAt(now) / this->span;
  }

 private:
  double SumAt(TimePoint now) const {
    if (now <= this->updated_at) {
      return this->sum;
    }
    return this->sum *
           std::exp(-ToSeconds(now - this->updated_at) / this->span);
  }

  double span;
  double sum = 0;
  TimePoint updated_at;
};

}  // namespace daisywinch

#endif  // DAISYWINCH_STATE_DECAYED_RATE_H
