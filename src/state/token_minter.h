#ifndef DAISYWINCH_STATE_TOKEN_MINTER_H
#define DAISYWINCH_STATE_TOKEN_MINTER_H

#include <cstdint>
#include <map>

#include "state/clock.h"

namespace daisywinch {

/// Share of a customer's rate and burst.
struct RateShare {
  /// Tokens per second.
  double rate = 0;
  double burst = 0;

  friend bool operator==(const RateShare&, const RateShare&) = default;
};

/// Tokens that a minter issued to a holder under a lease.
struct TokenGrant {
  std::uint64_t id = 0;
  double amount = 0;
};

/// Mints the tokens of one share of a customer's rate and issues them to
/// holders under leases. A token permits one request of the customer; holders
/// are the nodes that spend tokens.
///
/// Invariant: the available tokens plus the outstanding tokens (issued and not
/// reported as spent) never exceed the burst of the share. Minting adds at most
/// rate * time tokens. Hence in any window w at most rate * w + burst tokens
/// are spent, even if messages are lost, delayed or duplicated.
class TokenMinter {
 public:
  /// `lease` is the time after which a grant counts as spent. The minter starts
  /// with no available tokens at `now`.
  TokenMinter(Duration lease, TimePoint now);

  /// Changes the share; available tokens in excess of the new burst are
  /// discarded.
  void SetShare(const RateShare& new_share, TimePoint now);

  /// Issues up to `requested` tokens. If none are available, both id and amount
  /// of the grant are 0.
  TokenGrant IssueGrant(double requested, TimePoint now);

  /// Records the number of tokens of a grant that were spent since it was
  /// issued. The number is cumulative, so that duplicate reports are harmless.
  /// Reports for grants that were closed or have expired are ignored.
  void ReportSpent(std::uint64_t grant_id, double spent, TimePoint now);

  /// Closes a grant: records the last report and takes back the unspent tokens.
  void CloseGrant(std::uint64_t grant_id, double spent, TimePoint now);

  double Available(TimePoint now);
  double Outstanding(TimePoint now);

 private:
  struct OutstandingGrant {
    double amount = 0;
    double spent = 0;
    TimePoint expires_at;
  };

  /// Expires leases in order and mints the tokens in between. Minting must not
  /// use capacity that a lease still held at that time.
  void Advance(TimePoint now);
  void Mint(TimePoint until);

  Duration lease;
  RateShare share;
  double available = 0;
  double outstanding = 0;
  TimePoint minted_until;
  /// Outstanding grants by id, which is also the order of their expiry.
  std::map<std::uint64_t, OutstandingGrant> grants;
  std::uint64_t next_id = 1;
};

}  // namespace daisywinch

#endif  // DAISYWINCH_STATE_TOKEN_MINTER_H
