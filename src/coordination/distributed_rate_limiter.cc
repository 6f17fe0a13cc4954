#include "coordination/distributed_rate_limiter.h"

#include <algorithm>
#include <utility>

#include "state/duration.h"

namespace daisywinch {

namespace {

/// Fraction of the burst below which a bucket counts as nearly empty.
constexpr double kLowBurstFraction = 0.25;
/// Fraction of a customer's rate above which the fleet's demand limits each
/// node to its share.
constexpr double kContendedRateFraction = 0.95;
/// Fraction of the operators' allowance beyond rate and burst that covers
/// errors of this node's copy of the bucket; the rest covers updates in
/// transit.
constexpr double kErrorFraction = 0.25;
/// Fraction of `quota_over` by which rate and burst are raised, so that a copy
/// that lags slightly behind refuses nothing within the configured limits.
constexpr double kLimitMargin = 0.3;
/// Demand, in requests per second, that is assumed at each node in addition to
/// the demand that it sent. Over all nodes, this additional demand is at most
/// the given fraction of the customer's rate.
constexpr double kMaxUnsentDemand = 0.1;
constexpr double kMaxUnsentFraction = 0.1;
/// Tokens that the shares of all nodes together may hold even when the bucket
/// is empty, and their range at one node. A node needs one token to admit a
/// request.
constexpr double kFleetLocalTokens = 40;
constexpr double kMinLocalTokens = 1;
constexpr double kMaxLocalTokens = 2;
/// Fraction of the burst that a new copy of the bucket holds. The nodes may
/// have been restarted together after they had spent the burst; it is full
/// again after half of the time that a refill takes.
constexpr double kStartingBurstFraction = 0.5;
/// Time for which a node that left the list without announcing its shutdown
/// keeps its share.
constexpr std::chrono::seconds kDepartedRetention{30};
/// Maximum debt after the first update of a node that was silent, as the time
/// in seconds in which the refill at full rate pays it back. Older admissions
/// are not charged, as tokens kept accruing during the silence.
constexpr double kMaxDebtSeconds = 1;
/// Mean age, in seconds, of the other nodes' counts on arrival: both the node
/// and its relay send twice a second.
constexpr double kUpdateDelaySeconds = 0.4;
/// Admitted requests beyond the sent demand that do not justify an urgent
/// update.
constexpr double kMinUrgentRequests = 2;
/// Minimum time between two updates, in seconds, for an admission rate to be
/// computed from them.
constexpr double kMinUpdateGapSeconds = 0.05;

}  // namespace

void DistributedRateLimiter::Configure(const MeshConfiguration& configuration,
                                       TimePoint now) {
  std::unordered_map<std::string, CustomerState> kept;
  for (const MeshCustomer& customer : configuration.Customers()) {
    const auto found = this->customer_states.find(customer.name);
    CustomerState state =
        found == this->customer_states.end() ? CustomerState() : found->second;
    const double margin = 1 + kLimitMargin * this->bounds.quota_over;
    state.rate = customer.rate * margin;
    state.burst = customer.burst * margin;
    if (state.is_new) {
      state.is_new = false;
      state.tokens = kStartingBurstFraction * state.burst;
      state.local_tokens = 0;
      state.refilled_at = now;
    }
    state.tokens = std::min(state.tokens, CapacityOf(state));
    kept[customer.name] = state;
  }
  this->customer_states = std::move(kept);
  this->SumPeers();
}

void DistributedRateLimiter::ApplyUsageUpdate(
    const std::string& node,
    std::uint64_t incarnation,
    const std::map<std::string, CustomerUsage>& usages,
    bool is_leaving,
    TimePoint now) {
  for (auto& [name, state] : this->customer_states) {
    Refill(state, this->ShareOf(state, now), now);
  }
  Peer& peer = this->peers[node];
  const bool is_known = peer.incarnation == incarnation;
  const double span = ToSeconds(now - peer.last_seen_at);
  std::map<std::string, PeerUsage> next_usages;
  for (const auto& [customer, usage] : usages) {
    PeerUsage& last = peer.usages[customer];
    // Counts of another incarnation cannot be compared; the previous admission
    // rate stays in use.
    PeerUsage received = {usage.admitted, usage.demand, last.admission_rate,
                          usage.reserved};
    if (is_known && usage.admitted >= last.admitted &&
        span > kMinUpdateGapSeconds) {
      const double newly_admitted =
          static_cast<double>(usage.admitted - last.admitted);
      received.admission_rate = newly_admitted / span;
      const auto state = this->customer_states.find(customer);
      if (state != this->customer_states.end()) {
        // Replaces the estimate that was charged since the peer's last update
        // by the actual count.
        CustomerState& customer_state = state->second;
        customer_state.tokens =
            std::min(CapacityOf(customer_state),
                     customer_state.tokens -
                         (newly_admitted - last.admission_rate * span));
        if (now - peer.last_seen_at > kUpdateTimeout) {
          customer_state.tokens = std::max(
              customer_state.tokens, -kMaxDebtSeconds * customer_state.rate);
        }
      }
    }
    next_usages[customer] = received;
  }
  peer = {incarnation, now, is_leaving, std::move(next_usages)};
  this->SumPeers();
}

void DistributedRateLimiter::SetNodes(const std::set<std::string>& nodes,
                                      std::size_t size,
                                      TimePoint now) {
  for (auto& [name, state] : this->customer_states) {
    Refill(state, this->ShareOf(state, now), now);
  }
  // A node that left the list may only be isolated and still admit requests.
  std::erase_if(this->peers, [&nodes, now](const auto& peer) {
    const bool may_forget = peer.second.is_leaving ||
                            now - peer.second.last_seen_at > kDepartedRetention;
    return !nodes.contains(peer.first) && may_forget;
  });
  this->other_nodes = nodes;
  this->fleet_size = std::max<std::size_t>(1, size);
  const double equal_share = 1.0 / static_cast<double>(this->fleet_size);
  const bool knows_traffic = !this->peers.empty();
  for (auto& [name, state] : this->customer_states) {
    if (!knows_traffic) {
      // Before the first update of the others, this node may use an equal share
      // of rate and burst. At its start it may have taken itself for the only
      // one.
      const double max_tokens =
          std::min(this->MinLocalTokens(), kFleetLocalTokens * equal_share) +
          std::max(0.0, state.tokens) * equal_share;
      state.agreed_share = equal_share;
      state.local_tokens = state.admitted == 0
                               ? max_tokens
                               : std::min(state.local_tokens, max_tokens);
    } else if (state.sent_demand <= 0) {
      state.agreed_share = std::max(state.agreed_share, equal_share);
    }
  }
  this->SumPeers();
}

void DistributedRateLimiter::SumPeers() {
  for (auto& [name, state] : this->customer_states) {
    state.others_demand = 0;
    state.others_admission_rate = 0;
    state.reserved = 0;
  }
  for (const auto& [node, peer] : this->peers) {
    for (const auto& [customer, usage] : peer.usages) {
      const auto state = this->customer_states.find(customer);
      if (state != this->customer_states.end()) {
        state->second.others_demand += usage.demand;
        state->second.others_admission_rate += usage.admission_rate;
        state->second.reserved += usage.reserved;
      }
    }
  }
}

double DistributedRateLimiter::ShareOf(CustomerState& state,
                                       TimePoint now) const {
  const double nodes = static_cast<double>(this->fleet_size);
  const double unsent =
      std::min(kMaxUnsentDemand, kMaxUnsentFraction * state.rate / nodes);
  const double local_weight = state.sent_demand + unsent;
  const double share = local_weight / (local_weight + state.others_demand +
                                       unsent * (nodes - 1));
  if (this->IsAnyNodeSilent(now)) {
    return std::min(share, state.agreed_share);
  }
  state.agreed_share = share;
  return share;
}

bool DistributedRateLimiter::IsAnyNodeSilent(TimePoint now) const {
  const bool is_peer_silent = std::any_of(
      this->peers.begin(), this->peers.end(), [now](const auto& peer) {
        return !peer.second.is_leaving &&
               now - peer.second.last_seen_at > kUpdateTimeout;
      });
  return is_peer_silent ||
         std::any_of(this->other_nodes.begin(), this->other_nodes.end(),
                     [this](const std::string& node) {
                       return !this->peers.contains(node);
                     });
}

void DistributedRateLimiter::Refill(CustomerState& state,
                                    double share,
                                    TimePoint now) const {
  const double elapsed = std::max(0.0, ToSeconds(now - state.refilled_at));
  state.refilled_at = now;
  state.tokens = std::min(
      CapacityOf(state),
      state.tokens + elapsed * (state.rate - state.others_admission_rate));
  const double max_tokens =
      this->MinLocalTokens() + std::max(0.0, state.tokens) * share;
  state.local_tokens =
      std::min(max_tokens, state.local_tokens + elapsed * state.rate * share);
}

double DistributedRateLimiter::ReportedAdmissionRate(
    const CustomerState& state) {
  const double silent_share =
      state.burst > 0 ? std::min(1.0, state.reserved / state.burst) : 0;
  return std::max(0.0, state.others_admission_rate - silent_share * state.rate);
}

bool DistributedRateLimiter::TryAcquire(const std::string& customer,
                                        TimePoint now) {
  const auto found = this->customer_states.find(customer);
  if (found == this->customer_states.end() || found->second.rate <= 0) {
    return true;
  }
  CustomerState& state = found->second;
  state.local_demand.Add(1, now);
  Refill(state, this->ShareOf(state, now), now);
  // Silent nodes may use their share of the allowance too, so this node uses
  // only the fraction of the reachable ones.
  const double reachable_fraction =
      state.burst > 0 ? CapacityOf(state) / state.burst : 1;
  const double error =
      kErrorFraction * this->AllowanceOf(state) * reachable_fraction;
  const double demand = state.sent_demand + state.others_demand;
  const bool is_over_rate = demand > kContendedRateFraction * state.rate;
  // What all nodes together may admit beyond the rate before they learn of it.
  const double unnoticed =
      std::max(0.0, demand - state.rate) * kUpdateDelaySeconds;
  const bool is_nearly_empty =
      is_over_rate &&
      state.tokens < kLowBurstFraction * state.burst - error / 2 + unnoticed;
  const double in_flight =
      is_over_rate ? ReportedAdmissionRate(state) * kUpdateDelaySeconds : 0;
  const bool is_limited_to_share =
      is_nearly_empty || this->IsAnyNodeSilent(now);
  if (state.tokens - in_flight < 1 - error ||
      (is_limited_to_share && state.local_tokens < 1)) {
    return false;
  }
  state.tokens -= 1;
  state.local_tokens = std::max(0.0, state.local_tokens - 1);
  ++state.admitted;
  return true;
}

void DistributedRateLimiter::Refund(const std::string& customer) {
  const auto found = this->customer_states.find(customer);
  if (found == this->customer_states.end() || found->second.rate <= 0) {
    return;
  }
  CustomerState& state = found->second;
  state.tokens = std::min(CapacityOf(state), state.tokens + 1);
  state.local_tokens += 1;
  --state.admitted;
}

bool DistributedRateLimiter::HasUrgentUpdate(TimePoint now) const {
  return std::any_of(
      this->customer_states.begin(), this->customer_states.end(),
      [&](const auto& entry) {
        const CustomerState& state = entry.second;
        const double expected =
            state.sent_demand * ToSeconds(now - state.sent_at);
        const double unexpected =
            static_cast<double>(state.admitted - state.sent_admitted) -
            expected;
        const double threshold = kErrorFraction * this->AllowanceOf(state) /
                                 static_cast<double>(this->fleet_size);
        return state.rate > 0 &&
               unexpected > std::max(kMinUrgentRequests, threshold);
      });
}

double DistributedRateLimiter::MinLocalTokens() const {
  return std::clamp(kFleetLocalTokens / static_cast<double>(this->fleet_size),
                    kMinLocalTokens, kMaxLocalTokens);
}

double DistributedRateLimiter::AllowanceOf(const CustomerState& state) const {
  const double window = ToSeconds(this->bounds.quota_window);
  return (state.rate * window + state.burst) * this->bounds.quota_over +
         this->bounds.quota_slack;
}

std::string DistributedRateLimiter::DescribeState(const std::string& customer,
                                                  TimePoint now) const {
  const auto found = this->customer_states.find(customer);
  if (found == this->customer_states.end()) {
    return "unknown";
  }
  const CustomerState& state = found->second;
  return "tokens " + std::to_string(state.tokens) + " local " +
         std::to_string(state.local_tokens) + " share " +
         std::to_string(state.agreed_share) + " demand " +
         std::to_string(state.sent_demand) + " others " +
         std::to_string(state.others_demand) + " admitted " +
         std::to_string(state.admitted) + " rate " +
         std::to_string(state.rate) + " burst " + std::to_string(state.burst) +
         " reserved " + std::to_string(state.reserved) +
         (this->IsAnyNodeSilent(now) ? " silent" : "");
}

std::map<std::string, CustomerUsage> DistributedRateLimiter::MakeUsageUpdate(
    TimePoint now) {
  std::map<std::string, CustomerUsage> usages;
  for (auto& [name, state] : this->customer_states) {
    state.sent_demand = state.local_demand.PerSecond(now);
    state.sent_admitted = state.admitted;
    state.sent_at = now;
    if (state.admitted > 0) {
      usages[name] = {state.admitted, state.sent_demand};
    }
  }
  return usages;
}

}  // namespace daisywinch
