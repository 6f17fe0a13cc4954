#include "state/call_attempts.h"

namespace daisywinch {

namespace {

/// Maximum number of other gates that a call is sent to after one refused it
/// without sending it to its target.
constexpr int kMaxRedirects = 3;

}  // namespace

bool CallAttempts::MayTryAgain(const AttemptResult& result,
                               RetryBudget& budget) {
  this->targets_reached += result.may_have_reached_target ? 1 : 0;
  if (result.was_refused_unsent) {
    return ++this->redirects <= kMaxRedirects;
  }
  const bool is_safe = this->is_repeatable || result.has_not_run;
  return result.has_failed && is_safe &&
         this->targets_reached < this->max_targets && budget.TryWithdraw();
}

}  // namespace daisywinch
