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

/// Enforces each customer's rate and burst over the whole fleet.
///
/// Every node keeps a copy of the customer's single token bucket. The copy is
/// charged for each request that this node admits and for those that other
/// nodes report; between two updates of a peer it is charged at the admission
/// rate that the peer last showed. Normally a request is refused only when the
/// bucket is empty. While a customer asks for more than its rate and the bucket
/// is nearly empty, each node is also limited to its share of the rate, so that
/// the copies don't all spend the same tokens. A node is *silent* when it has
/// sent no update for over 1.3 s, or none yet, and has not announced its
/// shutdown: it may be isolated and still admit requests. While a node is
/// silent, all nodes are limited to the shares that were in effect before,
/// whatever the demand.
///
/// Requests that were admitted on stale data leave a debt (a negative balance)
/// in the bucket, which the refill pays back. Thus the fleet may admit more
/// than rate and burst allow for a short time; docs/design/06-mesh.md derives a
/// bound on the excess, and MeshBounds holds the excess that the operators
/// accept.
///
/// Not thread-safe.
class DistributedRateLimiter {
 public:
  explicit DistributedRateLimiter(const MeshBounds& bounds) : bounds(bounds) {}

  /// Sets the bounds; those on rate and burst apply from the next Configure().
  void SetBounds(const MeshBounds& new_bounds) { this->bounds = new_bounds; }
  /// Applies the customers' rates and bursts. Known customers keep the balance
  /// of their bucket; the bucket of a new one starts a quarter full.
  void Configure(const MeshConfiguration& configuration, TimePoint now);

  /// Processes an update of one node, or of a relay that reports the sum of all
  /// other nodes under one name. `usages` maps customers to their counts since
  /// the start of `incarnation`; counts of different incarnations aren't
  /// compared.
  void ApplyUsageUpdate(const std::string& node,
                        std::uint64_t incarnation,
                        const std::map<std::string, CustomerUsage>& usages,
                        bool is_leaving,
                        TimePoint now);
  /// Sets the other nodes that may admit requests. A node that is no longer
  /// among them and has not announced its shutdown keeps its share for 30 s.
  /// `fleet_size` counts all nodes of the fleet, this one included; it may
  /// exceed the number of names, as one name can stand for several nodes.
  void SetNodes(const std::set<std::string>& nodes,
                std::size_t fleet_size,
                TimePoint now);

  /// Counts a request of the customer and returns whether it is within rate and
  /// burst. Customers that are not configured or have no rate are not limited.
  bool TryAcquire(const std::string& customer, TimePoint now);
  /// Gives back what the last successful TryAcquire() of the customer took, as
  /// its request was refused for another reason. To be called before the next
  /// MakeUsageUpdate(); the request still counts as demand.
  void Refund(const std::string& customer);

  /// Describes the customer's state for the log, as pairs of a name and a
  /// value; "unknown" for a customer that is not configured.
  std::string DescribeState(const std::string& customer, TimePoint now) const;

  /// Whether an update should be sent at once, because this node has admitted
  /// more requests than the other nodes can expect from its last update.
  bool HasUrgentUpdate(TimePoint now) const;

  /// Returns the usages to send to the other nodes and records them as sent.
  /// Shares are computed from the demand as sent: if each node used a newer
  /// value for its own demand than for that of the others, a sudden rise of the
  /// demand would enlarge all shares at once.
  std::map<std::string, CustomerUsage> MakeUsageUpdate(TimePoint now);

 private:
  struct CustomerState {
    double rate = 0;
    double burst = 0;
    /// Balance of this node's copy of the bucket; debt if negative.
    double tokens = 0;
    /// Balance of this node's share; limits it while the customer is over its
    /// rate or a node is silent.
    double local_tokens = 0;
    TimePoint refilled_at;
    bool is_new = true;
    /// Requests that this node has admitted since its start.
    std::uint64_t admitted = 0;
    DecayedRate local_demand = DecayedRate(std::chrono::seconds(2));
    /// As of the last update that this node sent.
    double sent_demand = 0;
    std::uint64_t sent_admitted = 0;
    TimePoint sent_at;
    /// Demand and admitted requests of the other nodes, in requests per second.
    double others_demand = 0;
    double others_admission_rate = 0;
    /// Requests of the burst that are reserved for silent nodes.
    double reserved = 0;
    /// This node's share of the rate, from 0 to 1, as of the last time when no
    /// node was silent.
    double agreed_share = 0;
  };

  /// A peer's last update on one customer.
  struct PeerUsage {
    std::uint64_t admitted = 0;
    double demand = 0;
    /// Requests per second that it admitted between its last two updates.
    double admission_rate = 0;
    double reserved = 0;
  };

  struct Peer {
    std::uint64_t incarnation = 0;
    TimePoint last_seen_at;
    /// It has announced its shutdown.
    bool is_leaving = false;
    std::map<std::string, PeerUsage> usages;
  };

  /// Adds the tokens accrued since the last refill to both balances, and
  /// charges the copy of the bucket for the requests that the other nodes are
  /// estimated to have admitted meanwhile.
  void Refill(CustomerState& state, double share, TimePoint now) const;
  /// Capacity of this node's copy of the bucket: the burst less what is
  /// reserved for silent nodes.
  static double CapacityOf(const CustomerState& state) {
    return state.burst - std::min(state.burst, state.reserved);
  }
  /// Admission rate of the nodes that report it, in requests per second. What
  /// is estimated for silent nodes is charged without delay, so none of it is
  /// in transit.
  static double ReportedAdmissionRate(const CustomerState& state);
  /// Recomputes each customer's demand, admission rate and reserved burst at
  /// the other nodes from their last updates.
  void SumPeers();
  /// Tokens that this node's share may hold when the bucket is empty.
  double MinLocalTokens() const;
  /// Requests per quota window that the operators allow beyond rate and burst:
  /// (rate * window + burst) * quota_over + quota_slack.
  double AllowanceOf(const CustomerState& state) const;
  /// This node's share of the customer's rate, from 0 to 1: its fraction of the
  /// fleet's demand. While a node is silent, at most the share in effect
  /// before.
  double ShareOf(CustomerState& state, TimePoint now) const;
  /// Whether a node that may admit requests has sent no update recently.
  bool IsAnyNodeSilent(TimePoint now) const;

  MeshBounds bounds;
  std::unordered_map<std::string, CustomerState> customer_states;
  std::map<std::string, Peer> peers;
  std::set<std::string> other_nodes;
  std::size_t fleet_size = 1;
};

}  // namespace daisywinch

#endif  // DAISYWINCH_COORDINATION_DISTRIBUTED_RATE_LIMITER_H
