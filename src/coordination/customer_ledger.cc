#include "coordination/customer_ledger.h"

#include <algorithm>
#include <utility>

#include "state/time_text.h"

namespace daisywinch {

namespace {

/// Part of the burst below which a bucket is about to run dry.
constexpr double kLowPart = 0.25;
/// Part of a customer's rate above which its demand is held to parts.
constexpr double kHeldPart = 0.95;
/// Part of the operators' allowance beyond rate and burst that covers errors
/// of this node's copy of the bucket; the rest covers news on its way.
constexpr double kErrorPart = 0.25;
/// Part of the allowance by which rate and burst are widened, so that a copy
/// that is a little behind refuses nothing that the customer is owed.
constexpr double kWidening = 0.3;
/// Demand in requests per second that counts at each node although it was not
/// told, and the part of a customer's rate that it makes up at most.
constexpr double kMostUntoldDemand = 0.1;
constexpr double kUntoldPart = 0.1;
/// Requests that a node may take at once of its part.
constexpr double kLeastOwnTokens = 2;
/// Time after its last news in which a node counts as heard: two may be lost.
constexpr std::chrono::milliseconds kSilence{1300};
/// Time for which the part of a node that left the list without a word is
/// kept for it.
constexpr std::chrono::seconds kRemembered{30};
/// Debt, in seconds of the rate, beyond which what others took is forgiven: it
/// was taken over a long silence, in which the rate flowed on.
constexpr double kMostDebtSeconds = 1;
/// Mean age in seconds of what the others have told when it is heard: both the
/// node and its relay tell twice a second.
constexpr double kNewsDelay = 0.4;
/// Requests beyond what was told that are not worth telling at once.
constexpr double kFewRequests = 2;
/// News closer together than this say nothing of a pace.
constexpr double kLeastSpan = 0.05;

}  // namespace

void CustomerLedger::Configure(const MeshConfiguration& configuration,
                               TimePoint now) {
  std::unordered_map<std::string, Account> kept;
  for (const MeshCustomer& customer : configuration.Customers()) {
    const auto found = this->accounts.find(customer.name);
    Account account = found == this->accounts.end() ? Account() : found->second;
    const double widening = 1 + kWidening * this->bounds.quota_over;
    account.rate = customer.rate * widening;
    account.burst = customer.burst * widening;
    if (account.is_new) {
      account.is_new = false;
      account.tokens = account.burst;
      account.own_tokens = kLeastOwnTokens;
      account.refilled_at = now;
    }
    account.tokens = std::min(account.tokens, CapacityOf(account));
    kept[customer.name] = account;
  }
  this->accounts = std::move(kept);
  this->SumPeers();
}

void CustomerLedger::TakeNews(const std::string& node,
                              std::uint64_t incarnation,
                              const std::map<std::string, CustomerUse>& uses,
                              bool is_leaving,
                              TimePoint now) {
  for (auto& [name, account] : this->accounts) {
    Refill(account, this->PartOf(account, now), now);
  }
  Peer& peer = this->peers[node];
  const bool is_known = peer.incarnation == incarnation;
  const double span = ToSeconds(now - peer.heard_at);
  std::map<std::string, PeerUse> next;
  for (const auto& [customer, use] : uses) {
    PeerUse& last = peer.uses[customer];
    // Counts of another run compare with nothing; the pace goes on meanwhile.
    PeerUse told = {use.admitted, use.demand, last.pace, use.reserved};
    if (is_known && use.admitted >= last.admitted && span > kLeastSpan) {
      const double taken = static_cast<double>(use.admitted - last.admitted);
      told.pace = taken / span;
      const auto account = this->accounts.find(customer);
      if (account != this->accounts.end()) {
        // What was reckoned for the peer meanwhile was a guess.
        Account& known = account->second;
        known.tokens = std::min(CapacityOf(known),
                                known.tokens - (taken - last.pace * span));
        if (now - peer.heard_at > kSilence) {
          known.tokens = std::max(known.tokens, -kMostDebtSeconds * known.rate);
        }
      }
    }
    next[customer] = told;
  }
  peer = {incarnation, now, is_leaving, std::move(next)};
  this->SumPeers();
}

void CustomerLedger::SetNodes(const std::set<std::string>& nodes,
                              std::size_t size,
                              TimePoint now) {
  for (auto& [name, account] : this->accounts) {
    Refill(account, this->PartOf(account, now), now);
  }
  // A node that left the list may be only cut off: it goes on admitting.
  std::erase_if(this->peers, [&nodes, now](const auto& peer) {
    const bool is_over =
        peer.second.is_leaving || now - peer.second.heard_at > kRemembered;
    return !nodes.contains(peer.first) && is_over;
  });
  this->other_nodes = nodes;
  this->fleet_size = std::max<std::size_t>(1, size);
  const double equal_part = 1.0 / static_cast<double>(this->fleet_size);
  for (auto& [name, account] : this->accounts) {
    account.agreed_part =
        std::max(account.agreed_part, account.told_demand > 0 ? 0 : equal_part);
    if (account.admitted == 0) {
      // Until the others are heard, an equal part of the burst is this node's.
      account.own_tokens = kLeastOwnTokens + account.burst * equal_part;
    }
  }
  this->SumPeers();
}

void CustomerLedger::SumPeers() {
  for (auto& [name, account] : this->accounts) {
    account.others_demand = 0;
    account.others_pace = 0;
    account.reserved = 0;
  }
  for (const auto& [node, peer] : this->peers) {
    for (const auto& [customer, use] : peer.uses) {
      const auto account = this->accounts.find(customer);
      if (account != this->accounts.end()) {
        account->second.others_demand += use.demand;
        account->second.others_pace += use.pace;
        account->second.reserved += use.reserved;
      }
    }
  }
}

double CustomerLedger::PartOf(Account& account, TimePoint now) const {
  const double nodes = static_cast<double>(this->fleet_size);
  const double untold =
      std::min(kMostUntoldDemand, kUntoldPart * account.rate / nodes);
  const double own = account.told_demand + untold;
  const double part =
      own / (own + account.others_demand + untold * (nodes - 1));
  if (this->IsAnyoneSilent(now)) {
    return std::min(part, account.agreed_part);
  }
  account.agreed_part = part;
  return part;
}

bool CustomerLedger::IsAnyoneSilent(TimePoint now) const {
  const bool is_peer_silent = std::any_of(
      this->peers.begin(), this->peers.end(), [now](const auto& peer) {
        return !peer.second.is_leaving && now - peer.second.heard_at > kSilence;
      });
  return is_peer_silent ||
         std::any_of(this->other_nodes.begin(), this->other_nodes.end(),
                     [this](const std::string& node) {
                       return !this->peers.contains(node);
                     });
}

void CustomerLedger::Refill(Account& account, double part, TimePoint now) {
  const double elapsed = std::max(0.0, ToSeconds(now - account.refilled_at));
  account.refilled_at = now;
  account.tokens =
      std::min(CapacityOf(account),
               account.tokens + elapsed * (account.rate - account.others_pace));
  const double most = kLeastOwnTokens + std::max(0.0, account.tokens) * part;
  account.own_tokens =
      std::min(most, account.own_tokens + elapsed * account.rate * part);
}

bool CustomerLedger::Take(const std::string& customer, TimePoint now) {
  const auto found = this->accounts.find(customer);
  if (found == this->accounts.end() || found->second.rate <= 0) {
    return true;
  }
  Account& account = found->second;
  account.own_demand.Add(1, now);
  Refill(account, this->PartOf(account, now), now);
  // Nodes that are not heard have their part of it too.
  const double heard_part =
      account.burst > 0 ? CapacityOf(account) / account.burst : 1;
  const double error = kErrorPart * this->AllowanceOf(account) * heard_part;
  const bool is_over_rate =
      account.told_demand + account.others_demand > kHeldPart * account.rate;
  const bool is_short =
      account.tokens < kLowPart * account.burst - error / 2 && is_over_rate;
  const double on_the_way = is_over_rate ? account.others_pace * kNewsDelay : 0;
  const bool is_held = is_short || this->IsAnyoneSilent(now);
  if (account.tokens - on_the_way < 1 - error ||
      (is_held && account.own_tokens < 1)) {
    return false;
  }
  account.tokens -= 1;
  account.own_tokens = std::max(0.0, account.own_tokens - 1);
  ++account.admitted;
  return true;
}

bool CustomerLedger::IsFarAhead(TimePoint now) const {
  return std::any_of(
      this->accounts.begin(), this->accounts.end(), [&](const auto& entry) {
        const Account& account = entry.second;
        const double expected =
            account.told_demand * ToSeconds(now - account.told_at);
        const double unexpected =
            static_cast<double>(account.admitted - account.told_admitted) -
            expected;
        const double share = kErrorPart * this->AllowanceOf(account) /
                             static_cast<double>(this->fleet_size);
        return account.rate > 0 && unexpected > std::max(kFewRequests, share);
      });
}

double CustomerLedger::AllowanceOf(const Account& account) const {
  const double window = ToSeconds(this->bounds.quota_window);
  return (account.rate * window + account.burst) * this->bounds.quota_over +
         this->bounds.quota_slack;
}

std::string CustomerLedger::DescribeAccount(const std::string& customer,
                                            TimePoint now) const {
  const auto found = this->accounts.find(customer);
  if (found == this->accounts.end()) {
    return "unknown";
  }
  const Account& account = found->second;
  return "tokens " + std::to_string(account.tokens) + " own " +
         std::to_string(account.own_tokens) + " part " +
         std::to_string(account.agreed_part) + " demand " +
         std::to_string(account.told_demand) + " others " +
         std::to_string(account.others_demand) + " admitted " +
         std::to_string(account.admitted) + " rate " +
         std::to_string(account.rate) + " burst " +
         std::to_string(account.burst) +
         (this->IsAnyoneSilent(now) ? " silence" : "");
}

std::map<std::string, CustomerUse> CustomerLedger::Tell(TimePoint now) {
  std::map<std::string, CustomerUse> uses;
  for (auto& [name, account] : this->accounts) {
    account.told_demand = account.own_demand.PerSecond(now);
    account.told_admitted = account.admitted;
    account.told_at = now;
    if (account.admitted > 0) {
      uses[name] = {account.admitted, account.told_demand};
    }
  }
  return uses;
}

}  // namespace daisywinch
