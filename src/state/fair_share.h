#ifndef DAISYWINCH_STATE_FAIR_SHARE_H
#define DAISYWINCH_STATE_FAIR_SHARE_H

#include <string>
#include <string_view>
#include <unordered_map>

#include "state/clock.h"

namespace daisywinch {

/// Compares what customers have used of a target lately with their weights.
///
/// Usage decays exponentially, so that a customer's past is forgiven.
class FairShare {
 public:
  /// Sets the weight of a customer; larger weights may use more.
  void SetWeight(std::string_view customer, double weight);

  void AddUsage(std::string_view customer, double amount, TimePoint now);

  /// Recent usage for each unit of weight.
  double NormalizedUsage(std::string_view customer, TimePoint now) const;

  /// Whether a customer has used clearly less for its weight than all
  /// customers together have for theirs.
  bool IsUnderShare(std::string_view customer, TimePoint now) const;

 private:
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
