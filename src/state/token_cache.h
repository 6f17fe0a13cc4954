#ifndef DAISYWINCH_STATE_TOKEN_CACHE_H
#define DAISYWINCH_STATE_TOKEN_CACHE_H

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
  /// The holder has given up the unspent of the grant.
  bool closed = false;
};

/// Tokens of one customer that an entry has drawn ahead.
class TokenCache {
 public:
  /// `lease` is counted from before each grant was requested for.
  explicit TokenCache(Duration lease);

  /// Tokens kept however small the demand is.
  void SetMinTokens(double tokens) { this->min_tokens = tokens; }

  void AddGrant(const std::string& minter,
                std::uint64_t minter_incarnation,
                const TokenGrant& grant,
                TimePoint requested_at);

  /// Notes that a call needs a token; TryAcquire() tells whether there is one.
  void AddDemand(TimePoint now);
  /// Spends one token if there is one whose lease has not ended.
  bool TryAcquire(TimePoint now);
  /// Changes the number of calls that wait for a token.
  void AddWaiting(int change) { this->waiting += change; }
  int Waiting() const { return this->waiting; }

  /// Tokens to ask for, by recent demand and the calls that wait; 0 when there
  /// are enough.
  double TokensToRequest(TimePoint now);
  double Available(TimePoint now);
  /// Whether tokens were requested of this stock lately.
  bool IsActive(TimePoint now) const;

  /// Reports what was spent since the last time, and closes grants that are
  /// spent or more than the demand needs.
  std::vector<GrantReport> CollectReports(TimePoint now);

 private:
  struct HeldGrant {
    std::string minter;
    std::uint64_t minter_incarnation = 0;
    std::uint64_t grant_id = 0;
    double amount = 0;
    double spent = 0;
    double reported = 0;
    TimePoint expires_at;
  };

  void RemoveExpired(TimePoint now);
  /// Tokens of grants that have not used up a part of their lease.
  double AvailableWithin(TimePoint now, double lease_fraction) const;
  void UpdateDemand(TimePoint now);
  /// Tokens that the recent demand is worth keeping.
  double TargetAmount() const;

  Duration lease;
  std::list<HeldGrant> grants;
  double min_tokens = 0;
  /// Tokens requested for since `last_demand_update`.
  double requested = 0;
  int waiting = 0;
  /// Tokens requested for per second, smoothed.
  double demand = 0;
  TimePoint last_demand_update;
  TimePoint last_demand_at;
};

}  // namespace daisywinch

#endif  // DAISYWINCH_STATE_TOKEN_CACHE_H
