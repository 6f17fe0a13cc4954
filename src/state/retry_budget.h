#ifndef DAISYWINCH_STATE_RETRY_BUDGET_H
#define DAISYWINCH_STATE_RETRY_BUDGET_H

namespace daisywinch {

/// Limits retries to a fraction of the first attempts.
///
/// The budget starts empty, so that at any time the number of retries is at
/// most `ratio` times the number of first attempts. See "Site Reliability
/// Engineering", Beyer et al. 2016, chapter 21.
class RetryBudget {
 public:
  /// `capacity` is the maximum number of unused retries that the budget
  /// accumulates.
  RetryBudget(double ratio, double capacity);

  void Deposit();
  /// Withdraws one retry; returns false if the budget is exhausted.
  bool TryWithdraw();

  void SetRatio(double new_ratio) { this->ratio = new_ratio; }
  double Available() const { return this->available; }

 private:
  double ratio;
  double capacity;
  double available = 0;
};

/// Returns the ratio of retries to calls for the routes of one level of a call
/// tree, so that over all levels together the calls beyond the first stay
/// within `ratio`.
///
/// A retry repeats the nested calls of its tree, so the ratios of the levels
/// multiply. Leaf routes, which make no nested calls, get the larger share: a
/// retry there repeats a single call and saves a whole tree.
double RetryRatioPerLevel(double ratio, int levels, bool is_leaf);

/// Ratios of retries to calls at a service that runs leaf routes only.
struct LeafRetryRatios {
  double roots = 0;
  double nested = 0;
};

/// Divides the retries that a service may get between its root requests and its
/// nested calls, which arrive at the given rates; answers targets that refuse
/// calls at random.
///
/// One retry of a root request may save the whole request, one of a nested call
/// only one of the calls that its tree needs. So roots get up to half of the
/// retries first. The total is `ratio` of all calls, whatever the rates.
LeafRetryRatios DivideLeafRetries(double ratio,
                                  double root_rate,
                                  double nested_rate);

}  // namespace daisywinch

#endif  // DAISYWINCH_STATE_RETRY_BUDGET_H
