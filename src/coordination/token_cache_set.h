#ifndef DAISYWINCH_COORDINATION_TOKEN_CACHE_SET_H
#define DAISYWINCH_COORDINATION_TOKEN_CACHE_SET_H

#include <cstdint>
#include <map>
#include <string>
#include <vector>

#include "coordination/token_messages.h"
#include "state/snapshot.h"
#include "state/token_cache.h"

namespace daisywinch {

/// A request and the VM that it goes to.
struct AddressedTokenRequest {
  std::string vm;
  TokenRequest request;
};

/// The stocks of tokens of one entry, one for each customer.
class TokenCacheSet {
 public:
  /// `seed` sets off the request ids of this process from those of others.
  TokenCacheSet(std::string vm, std::string data_centre, std::uint64_t seed);

  /// Notes that a call of a customer needs a token.
  void AddDemand(const std::string& customer, TimePoint now);
  /// Spends one token of a customer.
  bool TryAcquire(const std::string& customer, TimePoint now);
  /// Changes the number of a customer's calls that wait for a token.
  void AddWaiting(const std::string& customer, int change);
  int Waiting(const std::string& customer) const;

  /// Whether the last round of draws, from all data centres, gave nothing.
  bool IsExhausted(const std::string& customer) const;

  /// Requests that report what was spent and draw what is wanted, at most one
  /// for each minter.
  ///
  /// Each entry keeps to a few minters of its own, so that there is little to
  /// send. More are asked while those do not meet the demand: first all of
  /// the own data centre, then those of the others.
  std::vector<AddressedTokenRequest> MakeRequests(const Snapshot& snapshot,
                                                  TimePoint now);

  /// Takes the grants of a reply. Each request is good for one reply, in time
  /// for the leases counted from its sending.
  void HandleReply(const std::string& vm,
                   const TokenReply& reply,
                   TimePoint now);

 private:
  struct CustomerCache {
    explicit CustomerCache(Duration lease) : tokens(lease) {}

    TokenCache tokens;
    /// Tokens that the last requests asked for and got.
    double requested = 0;
    double granted = 0;
    /// Minters that the last requests went to.
    std::size_t fan_out = 0;
    /// Where the next round begins among the minters within reach.
    std::size_t next_minter = 0;
    /// Rounds since the reach was changed.
    int rounds_at_fan_out = 0;
    bool exhausted = false;
    /// All minters in the order in which this entry asks them.
    std::vector<std::string> minters;
  };

  /// What a minter did with the last requests.
  struct MinterStatus {
    bool is_awaiting_reply = false;
    /// Sending time of the first request that was not answered.
    TimePoint unanswered_since;
    TimePoint sent_at;
  };

  /// Whether a minter answers, or is to be tried again.
  bool ShouldRequestFrom(const std::string& minter, TimePoint now) const;
  CustomerCache& CacheFor(const std::string& customer);
  void UpdateMinters(const Snapshot& snapshot);
  std::vector<std::string> OrderMinters(const Snapshot& snapshot,
                                        const Customer& customer) const;
  /// Decides how many minters to ask by what the last round gave.
  static void UpdateFanOut(CustomerCache& cache, double wanted);
  void AddDraws(const std::string& customer,
                CustomerCache& cache,
                TimePoint now,
                std::map<std::string, TokenRequest>& requests);

  /// A request whose reply has not come.
  struct PendingRequest {
    std::string vm;
    TimePoint sent_at;
  };

  std::string vm;
  std::string data_centre;
  std::uint64_t next_request_id;
  std::map<std::uint64_t, PendingRequest> pending_requests;
  std::map<std::string, MinterStatus> minter_statuses;
  std::map<std::string, CustomerCache> caches;
  std::uint64_t minters_configuration_version = 0;
  std::uint64_t minters_vm_list_version = 0;
};

}  // namespace daisywinch

#endif  // DAISYWINCH_COORDINATION_TOKEN_CACHE_SET_H
