#ifndef DAISYWINCH_STATE_FAIR_SHARE_H
#define DAISYWINCH_STATE_FAIR_SHARE_H

#include <string>
#include <string_view>
#include <unordered_map>

#include "state/clock.h"

namespace daisywinch {

/// Tracks the recent usage of a target by each customer, relative to the
/// customers' weights.
///
/// Usage decays exponentially, so that only recent usage counts.
class FairShare {
 public:
  /// Sets the weight of a customer; its fair share is proportional to it.
  void SetWeight(std::string_view customer, double weight);

  void AddUsage(std::string_view customer, double amount, TimePoint now);

  /// Recent usage divided by the weight; 0 for an unknown customer.
  double NormalizedUsage(std::string_view customer, TimePoint now) const;

  /// Whether the normalized usage of a customer is clearly below that of all
  /// active customers together.
  bool IsUnderShare(std::string_view customer, TimePoint now) const;

 private:
  /// Weight and decaying usage of one customer.
  struct Account {
    double weight = 1;
    double usage = 0;
    TimePoint last_update;

    double Usage(TimePoint now) const;
  };

  std::unordered_map<std::string, Account> accounts;
};

}  // namespace daisywinch

#endif  // DAISYWINCH_STATE_FAIR_SHARE_H
