#ifndef DAISYWINCH_STATE_CALL_ATTEMPTS_H
#define DAISYWINCH_STATE_CALL_ATTEMPTS_H

#include "state/retry_budget.h"

namespace daisywinch {

/// How one attempt of a call ended, as far as it decides about another one.
struct AttemptResult {
  /// The attempt brought no answer, or a failure.
  bool has_failed = false;
  /// The request has not run and never will.
  bool has_not_run = false;
  /// The request may have reached the target.
  bool may_have_reached_target = true;
  /// The gate refused the request without sending it to its target.
  bool was_refused_unsent = false;
};

/// Decides whether a call goes to another target after an attempt; answers
/// targets that are full, gone or failing while others are not.
///
/// A request that reached no target may be redirected freely, as no target has
/// work from it. Sending it to a second target is a retry, which draws on the
/// budget, and only requests that have not run or may be repeated are retried.
class CallAttempts {
 public:
  /// `max_targets` is the number of targets that may receive the call.
  CallAttempts(bool is_repeatable, int max_targets)
      : is_repeatable(is_repeatable), max_targets(max_targets) {}

  /// Records the end of an attempt and returns whether to send the call to
  /// another target. If that is a retry, withdraws it from the budget.
  bool MayTryAgain(const AttemptResult& result, RetryBudget& budget);

 private:
  bool is_repeatable;
  int max_targets;
  int targets_reached = 0;
  int redirects = 0;
};

}  // namespace daisywinch

#endif  // DAISYWINCH_STATE_CALL_ATTEMPTS_H
