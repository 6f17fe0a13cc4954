#ifndef DAISYWINCH_STATE_TOKEN_CACHE_H
#define DAISYWINCH_STATE_TOKEN_CACHE_H

#include <cstdint>
#include <list>
#include <string>
#include <vector>

#include "state/clock.h"
#include "state/token_minter.h"

namespace daisywinch {

/// Report of a holder to the minter of a grant.
struct GrantReport {
  std::string minter;
  std::uint64_t minter_incarnation = 0;
  std::uint64_t grant_id = 0;
  /// Tokens spent since the grant was issued.
  double spent = 0;
  /// The holder returns the unspent tokens of the grant.
  bool closed = false;
};

/// Tokens of one customer that an ingress has prefetched from minters.
class TokenCache {
 public:
  /// `lease` is counted from the time just before each grant was requested, so
  /// that a grant never outlives its lease at the minter.
  explicit TokenCache(Duration lease);

  /// Sets the number of tokens to hold regardless of the demand.
  void SetMinTokens(double tokens) { this->min_tokens = tokens; }

  void AddGrant(const std::string& minter,
                std::uint64_t minter_incarnation,
                const TokenGrant& grant,
                TimePoint requested_at);

  /// Records that a call needs a token; TryAcquire() tells whether there is
  /// one.
  void AddDemand(TimePoint now);
  /// Spends one token of the grants whose leases have not expired; returns
  /// false if there is none.
  bool TryAcquire(TimePoint now);
  /// Changes the number of calls that wait for a token.
  void AddWaiting(int change) { this->waiting += change; }
  int Waiting() const { return this->waiting; }

  /// Number of tokens to request, based on recent demand and waiting calls; 0
  /// if there are enough.
  double TokensToRequest(TimePoint now);
  double Available(TimePoint now);
  /// Whether there was demand recently.
  bool IsActive(TimePoint now) const;

  /// Reports tokens spent since the last call, and closes grants that are used
  /// up, are near the end of their lease, or exceed the demand.
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
  /// Tokens of grants that have used at most `lease_fraction` of their lease.
  double AvailableWithin(TimePoint now, double lease_fraction) const;
  void UpdateDemand(TimePoint now);
  /// Number of tokens to hold for the recent demand.
  double TargetAmount() const;

  Duration lease;
  std::list<HeldGrant> grants;
  double min_tokens = 0;
  /// Demand in tokens since `last_demand_update`.
  double requested = 0;
  int waiting = 0;
  /// Smoothed demand in tokens per second.
  double demand = 0;
  TimePoint last_demand_update;
  TimePoint last_demand_at;
};

}  // namespace daisywinch

#endif  // DAISYWINCH_STATE_TOKEN_CACHE_H
