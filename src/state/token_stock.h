#ifndef DAISYWINCH_STATE_TOKEN_STOCK_H
#define DAISYWINCH_STATE_TOKEN_STOCK_H

#include <cstdint>
#include <list>
#include <string>
#include <vector>

#include "state/clock.h"
#include "state/token_minter.h"

namespace daisywinch {

/// What a holder tells the minter of a grant.
struct GrantReport {
  std::string minter;
  std::uint64_t minter_incarnation = 0;
  std::uint64_t grant_id = 0;
  /// Tokens spent since the grant was given.
  double spent = 0;
  /// The holder has given up the rest of the grant.
  bool closed = false;
};

/// Tokens of one customer that an entry has drawn ahead.
class TokenStock {
 public:
  /// `lease` is counted from before each grant was asked for.
  explicit TokenStock(Duration lease);

  /// Tokens kept however small the demand is.
  void SetLeastStock(double tokens) { this->least_stock = tokens; }

  void AddGrant(const std::string& minter,
                std::uint64_t minter_incarnation,
                const TokenGrant& grant,
                TimePoint asked_at);

  /// Notes that a call needs a token; Take() tells whether there is one.
  void AddDemand(TimePoint now);
  /// Spends one token if there is one whose lease has not ended.
  bool Take(TimePoint now);
  /// Changes the number of calls that wait for a token.
  void AddWaiting(int change) { this->waiting += change; }
  int Waiting() const { return this->waiting; }

  /// Tokens to ask for, by recent demand and the calls that wait; 0 when there
  /// are enough.
  double Wanted(TimePoint now);
  double Available(TimePoint now);
  /// Whether tokens were asked of this stock lately.
  bool IsInUse(TimePoint now) const;

  /// Reports what was spent since the last time, and closes grants that are
  /// spent or more than the demand needs.
  std::vector<GrantReport> CollectReports(TimePoint now);

 private:
  struct Held {
    std::string minter;
    std::uint64_t minter_incarnation = 0;
    std::uint64_t grant_id = 0;
    double amount = 0;
    double spent = 0;
    double reported = 0;
    TimePoint ends_at;
  };

  void RemoveEnded(TimePoint now);
  /// Tokens of grants that have not used up a part of their lease.
  double AvailableUntil(TimePoint now, double lease_part) const;
  void UpdateDemand(TimePoint now);
  /// Tokens that the recent demand is worth keeping.
  double Target() const;

  Duration lease;
  std::list<Held> grants;
  double least_stock = 0;
  /// Tokens asked for since `demand_updated_at`.
  double asked = 0;
  int waiting = 0;
  /// Tokens asked for per second, smoothed.
  double demand = 0;
  TimePoint demand_updated_at;
  TimePoint last_asked_at;
};

}  // namespace daisywinch

#endif  // DAISYWINCH_STATE_TOKEN_STOCK_H
