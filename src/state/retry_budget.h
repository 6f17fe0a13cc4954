#ifndef DAISYWINCH_STATE_RETRY_BUDGET_H
#define DAISYWINCH_STATE_RETRY_BUDGET_H

namespace daisywinch {

/// Bounds retries to a fraction of the fresh calls before them.
///
/// The budget starts empty, so at every moment the retries so far are at most
/// `ratio` times the fresh calls so far. See "Site Reliability Engineering",
/// Beyer et al. 2016, chapter 21.
class RetryBudget {
 public:
  /// `capacity` bounds the retries that a quiet time can save up.
  RetryBudget(double ratio, double capacity);

  void Deposit();
  /// Spends one retry if the budget allows it.
  bool TryWithdraw();

  void SetRatio(double new_ratio) { this->ratio = new_ratio; }
  double Available() const { return this->available; }

 private:
  double ratio;
  double capacity;
  double available = 0;
};

}  // namespace daisywinch

#endif  // DAISYWINCH_STATE_RETRY_BUDGET_H
