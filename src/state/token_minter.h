#ifndef DAISYWINCH_STATE_TOKEN_MINTER_H
#define DAISYWINCH_STATE_TOKEN_MINTER_H

#include <cstdint>
#include <map>

#include "state/clock.h"

namespace daisywinch {

/// Part of a customer's rate and burst.
struct RateShare {
  /// Tokens per second.
  double rate = 0;
  double burst = 0;

  friend bool operator==(const RateShare&, const RateShare&) = default;
};

/// Tokens that a minter gave to a holder under a lease.
struct TokenGrant {
  std::uint64_t id = 0;
  double amount = 0;
};

/// Mints the tokens of one customer's share and lends them to holders.
///
/// Invariant: tokens at hand and tokens outstanding whose spending was not
/// reported are together at most the share's burst. Minting adds at most rate *
/// time. So whatever is lost, late or repeated, the tokens spent in any window
/// w are at most rate * w + burst.
class TokenMinter {
 public:
  /// `lease` is the time after which a grant counts as spent. The minter
  /// starts with nothing at hand at `now`.
  TokenMinter(Duration lease, TimePoint now);

  /// Changes the share; tokens at hand over the new burst are lost.
  void SetShare(const RateShare& new_share, TimePoint now);

  /// Lends up to `requested` tokens; the amount may be 0.
  TokenGrant IssueGrant(double requested, TimePoint now);

  /// Takes the tokens of a grant spent so far, counted from its start, so
  /// that a repeated report does no harm. Reports on ended grants are ignored.
  void ReportSpent(std::uint64_t grant_id, double spent, TimePoint now);

  /// Takes the unspent unspent of a grant back, after a last report.
  void CloseGrant(std::uint64_t grant_id, double spent, TimePoint now);

  double Available(TimePoint now);
  double Outstanding(TimePoint now);

 private:
  struct OutstandingGrant {
    double amount = 0;
    double spent = 0;
    TimePoint expires_at;
  };

  /// Ends leases in the order of their ends and mints in between: minting
  /// must never use room that a lease still held at that moment.
  void Advance(TimePoint now);
  void Mint(TimePoint until);

  Duration lease;
  RateShare share;
  double available = 0;
  double outstanding = 0;
  TimePoint minted_until;
  /// Loans by id, which is also the order of their ends.
  std::map<std::uint64_t, OutstandingGrant> grants;
  std::uint64_t next_id = 1;
};

}  // namespace daisywinch

#endif  // DAISYWINCH_STATE_TOKEN_MINTER_H
