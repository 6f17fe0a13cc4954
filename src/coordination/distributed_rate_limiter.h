#ifndef DAISYWINCH_COORDINATION_DISTRIBUTED_RATE_LIMITER_H
#define DAISYWINCH_COORDINATION_DISTRIBUTED_RATE_LIMITER_H

#include <algorithm>
#include <cstdint>
#include <map>
#include <set>
#include <string>
#include <unordered_map>

#include "coordination/traffic_sum.h"
#include "state/clock.h"
#include "state/decayed_rate.h"
#include "state/mesh_configuration.h"
#include "state/mesh_settings.h"

namespace daisywinch {

/// Holds each customer to its rate and burst over the whole fleet.
///
/// Every node keeps a copy of the customer's one token bucket: it takes a
/// token for each request that it admits itself, and for those that the others
/// tell of; in between it goes on at the pace that they told last. While the
/// bucket has tokens nobody is refused. While a customer asks for more than
/// its rate, each node besides keeps to its part of the rate, so that the
/// copies do not all spend the same tokens; and while a node is not heard, all
/// keep to the parts of the moment before, whatever is asked. What views that
/// lag grant too much is a debt of the bucket and is paid back;
/// docs/design/06-mesh.md reckons the bound.
class DistributedRateLimiter {
 public:
  explicit DistributedRateLimiter(const MeshBounds& bounds) : bounds(bounds) {}

  void Configure(const MeshConfiguration& configuration, TimePoint now);

  /// Takes what another node tells, or a relay for all others under one name.
  /// `incarnation` names the run that counts.
  void ApplyUsageUpdate(const std::string& node,
                        std::uint64_t incarnation,
                        const std::map<std::string, CustomerUsage>& usages,
                        bool is_leaving,
                        TimePoint now);
  /// Sets the other nodes that may admit requests. One that is no longer among
  /// them and did not say that it stops is remembered for a while.
  /// `fleet_size` counts the nodes that they stand for and this one.
  void SetNodes(const std::set<std::string>& nodes,
                std::size_t fleet_size,
                TimePoint now);

  /// Counts a request of the customer; whether it is within rate and burst.
  bool TryAcquire(const std::string& customer, TimePoint now);

  /// What the last refusal of a customer rested on, as text for the log.
  std::string DescribeState(const std::string& customer, TimePoint now) const;

  /// Whether the others should hear from this node at once, as it has admitted
  /// more than they can expect.
  bool HasUrgentUpdate(TimePoint now) const;

  /// What this node tells. Parts of the rate are reckoned with the demand as
  /// it was told: were each node's own newer than the others', a sudden demand
  /// would raise all parts.
  std::map<std::string, CustomerUsage> MakeUsageUpdate(TimePoint now);

 private:
  struct CustomerState {
    double rate = 0;
    double burst = 0;
    /// Tokens of the fleet's bucket as this node sees it; below 0 is debt.
    double tokens = 0;
    /// Tokens of this node's part while the customer is over its rate.
    double local_tokens = 0;
    TimePoint refilled_at;
    bool is_new = true;
    std::uint64_t admitted = 0;
    DecayedRate local_demand = DecayedRate(std::chrono::seconds(2));
    double sent_demand = 0;
    std::uint64_t sent_admitted = 0;
    TimePoint sent_at;
    /// What the other nodes ask for and admit, in requests per second.
    double others_demand = 0;
    double others_admission_rate = 0;
    /// Part of the burst, in requests, that is left to nodes not heard.
    double reserved = 0;
    /// Part of the rate that was this node's when it last heard all others.
    double agreed_share = 0;
  };

  /// The last that a peer told of one customer.
  struct PeerUsage {
    std::uint64_t admitted = 0;
    double demand = 0;
    /// Requests per second that it admitted between its last two news.
    double admission_rate = 0;
    double reserved = 0;
  };

  struct Peer {
    std::uint64_t incarnation = 0;
    TimePoint last_seen_at;
    /// It has said that it stops.
    bool is_leaving = false;
    std::map<std::string, PeerUsage> usages;
  };

  static void Refill(CustomerState& state, double share, TimePoint now);
  /// The most tokens that this node's copy of the bucket holds.
  static double CapacityOf(const CustomerState& state) {
    return state.burst - std::min(state.burst, state.reserved);
  }
  void SumPeers();
  /// Requests in a window that the operators allow beyond rate and burst.
  double AllowanceOf(const CustomerState& state) const;
  /// Part of the customer's rate that is this node's.
  double ShareOf(CustomerState& state, TimePoint now) const;
  /// Whether a node that may admit requests has not been heard lately.
  bool IsAnyNodeSilent(TimePoint now) const;

  MeshBounds bounds;
  std::unordered_map<std::string, CustomerState> customer_states;
  std::map<std::string, Peer> peers;
  std::set<std::string> other_nodes;
  std::size_t fleet_size = 1;
};

}  // namespace daisywinch

#endif  // DAISYWINCH_COORDINATION_DISTRIBUTED_RATE_LIMITER_H
