#include "state/retry_budget.h"

#include <algorithm>

namespace daisywinch {

RetryBudget::RetryBudget(double ratio, double capacity)
    : ratio(ratio), capacity(capacity) {}

void RetryBudget::AddFreshCall() {
  this->available = std::min(this->capacity, this->available + this->ratio);
}

bool RetryBudget::TakeRetry() {
  if (this->available < 1) {
    return false;
  }
  this->available -= 1;
  return true;
}

}  // namespace daisywinch
