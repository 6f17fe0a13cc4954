#include "state/token_bucket.h"

#include <algorithm>

namespace daisywinch {

TokenBucket::TokenBucket(double rate,
                         double burst,
                         double initial,
                         TimePoint now)
    : rate(rate),
      burst(burst),
      tokens(std::min(initial, burst)),
      last_refill(now) {}

bool TokenBucket::TryAcquire(double requested, TimePoint now) {
  this->Refill(now);
  if (this->tokens < requested) {
    return false;
  }
  this->tokens -= requested;
  return true;
}

double TokenBucket::Available(TimePoint now) {
  this->Refill(now);
  return this->tokens;
}

void TokenBucket::Configure(double new_rate, double new_burst, TimePoint now) {
  this->Refill(now);
  this->rate = new_rate;
  this->burst = new_burst;
  this->tokens = std::min(this->tokens, this->burst);
}

void TokenBucket::Refill(TimePoint now) {
  if (now <= this->last_refill) {
    return;
  }
  const std::chrono::duration<double> elapsed = now - this->last_refill;
  this->tokens =
      std::min(this->burst, this->tokens + this->rate * elapsed.count());
  this->last_refill = now;
}

}  // namespace daisywinch
