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

/// A token request and the VM to send it to.
struct AddressedTokenRequest {
  std::string vm;
  TokenRequest request;
};

/// Token caches of one node, one per customer.
///
/// Each admitted request spends a token of its customer. Minters, several VMs
/// in each data centre, issue the tokens; nodes draw some ahead of demand,
/// under leases, and cache them.
///
/// Minters are asked in rounds. The fan-out of a customer is the number of
/// minters that a round may ask; it adapts to the demand. Not thread-safe.
class TokenCacheSet {
 public:
  /// `seed` is the first request id; it keeps the ids of this process apart
  /// from those of other processes.
  TokenCacheSet(std::string vm, std::string data_centre, std::uint64_t seed);

  /// Records that a request of a customer needs a token.
  void AddDemand(const std::string& customer, TimePoint now);
  /// Spends one token of a customer; returns false if none is available.
  bool TryAcquire(const std::string& customer, TimePoint now);
  /// Adds `change` to the number of a customer's requests that wait for a
  /// token.
  void AddWaiting(const std::string& customer, int change);
  int Waiting(const std::string& customer) const;

  /// Whether the last round asked the minters of all data centres and got next
  /// to nothing.
  bool IsExhausted(const std::string& customer) const;

  /// Makes the requests of a round, at most one per minter, which report spent
  /// tokens and draw those that are needed.
  ///
  /// To limit the number of messages, each node asks only a few minters, which
  /// differ between nodes. While these do not meet the demand it asks more:
  /// first all of the local data centre, then those of the others.
  std::vector<AddressedTokenRequest> MakeRequests(const Snapshot& snapshot,
                                                  TimePoint now);

  /// Adds the grants of a reply to the caches. Only the first reply to a
  /// request counts, and only within kHolderTokenLease of sending the request,
  /// because leases are counted from that time.
  void HandleReply(const std::string& vm,
                   const TokenReply& reply,
                   TimePoint now);

 private:
  struct CustomerCache {
    explicit CustomerCache(Duration lease) : tokens(lease) {}

    TokenCache tokens;
    /// Tokens requested and granted in the last round.
    double requested = 0;
    double granted = 0;
    /// Number of minters, from the front of `minters`, that a round may ask.
    std::size_t fan_out = 0;
    /// Index of the minter at which the next round starts.
    std::size_t next_minter = 0;
    /// Rounds since the fan-out was changed.
    int rounds_at_fan_out = 0;
    /// See IsExhausted().
    bool exhausted = false;
    /// All minters in the order of preference of this node.
    std::vector<std::string> minters;
  };

  /// Whether a minter replies to requests.
  struct MinterStatus {
    bool is_awaiting_reply = false;
    /// Send time of the first request without a reply.
    TimePoint unanswered_since;
    /// Send time of the last request.
    TimePoint sent_at;
  };

  /// False for a minter that does not reply, except when the next probe is due.
  bool ShouldRequestFrom(const std::string& minter, TimePoint now) const;
  CustomerCache& CacheFor(const std::string& customer);
  /// Recomputes the minters and minimum cache sizes after a change of the
  /// configuration or VM list.
  void UpdateMinters(const Snapshot& snapshot);
  std::vector<std::string> OrderMinters(const Snapshot& snapshot,
                                        const Customer& customer) const;
  /// Adapts the fan-out to the grants of the last round and the tokens that are
  /// wanted now.
  static void UpdateFanOut(CustomerCache& cache, double wanted);
  /// Adds a customer's draws for this round to the requests.
  void AddDraws(const std::string& customer,
                CustomerCache& cache,
                TimePoint now,
                std::map<std::string, TokenRequest>& requests);

  /// A request without a reply yet.
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
  /// Document versions for which the minters were computed.
  std::uint64_t minters_configuration_version = 0;
  std::uint64_t minters_vm_list_version = 0;
};

}  // namespace daisywinch

#endif  // DAISYWINCH_COORDINATION_TOKEN_CACHE_SET_H
