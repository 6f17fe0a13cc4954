#include "state/retry_budget.h"

#include <algorithm>

namespace daisywinch {

RetryBudget::RetryBudget(double ratio, double capacity)
    : ratio(ratio), capacity(capacity) {}

void RetryBudget::Deposit() {
  this->available = std::min(this->capacity, this->available + this->ratio);
}

bool RetryBudget::TryWithdraw() {
  if (this->available < 1) {
    return false;
  }
  this->available -= 1;
  return true;
}

}  // namespace daisywinch
