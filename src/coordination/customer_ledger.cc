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
/// Demand in requests per second that counts although it was not told.
constexpr double kUntoldDemand = 0.1;
/// Requests that a node may take at once of its part.
constexpr double kLeastOwnTokens = 2;
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
    account.tokens = std::min(account.tokens, account.burst);
    kept[customer.name] = account;
  }
  this->accounts = std::move(kept);
  this->SumPeers();
}

void CustomerLedger::TakeNews(const std::string& node,
                              std::uint64_t incarnation,
                              const std::map<std::string, CustomerUse>& uses,
                              TimePoint now) {
  for (auto& [name, account] : this->accounts) {
    Refill(account, PartOf(account), now);
  }
  Peer& peer = this->peers[node];
  const bool is_known = peer.incarnation == incarnation;
  const double span = ToSeconds(now - peer.heard_at);
  std::map<std::string, PeerUse> next;
  for (const auto& [customer, use] : uses) {
    PeerUse& last = peer.uses[customer];
    PeerUse told = {use.admitted, use.demand, 0};
    if (is_known && use.admitted >= last.admitted && span > kLeastSpan) {
      const double taken = static_cast<double>(use.admitted - last.admitted);
      told.pace = taken / span;
      const auto account = this->accounts.find(customer);
      if (account != this->accounts.end()) {
        // What was reckoned for the peer meanwhile was a guess.
        account->second.tokens =
            std::min(account->second.burst,
                     account->second.tokens - (taken - last.pace * span));
      }
    }
    next[customer] = told;
  }
  peer = {incarnation, now, std::move(next)};
  this->SumPeers();
}

void CustomerLedger::KeepOnly(const std::set<std::string>& nodes,
                              TimePoint now) {
  for (auto& [name, account] : this->accounts) {
    Refill(account, PartOf(account), now);
  }
  std::erase_if(this->peers, [&nodes](const auto& peer) {
    return !nodes.contains(peer.first);
  });
  this->SumPeers();
}

void CustomerLedger::SumPeers() {
  for (auto& [name, account] : this->accounts) {
    account.others_demand = 0;
    account.others_pace = 0;
  }
  for (const auto& [node, peer] : this->peers) {
    for (const auto& [customer, use] : peer.uses) {
      const auto account = this->accounts.find(customer);
      if (account != this->accounts.end()) {
        account->second.others_demand += use.demand;
        account->second.others_pace += use.pace;
      }
    }
  }
}

double CustomerLedger::PartOf(const Account& account) {
  const double own = account.told_demand + kUntoldDemand;
  return own / (own + account.others_demand);
}

void CustomerLedger::Refill(Account& account, double part, TimePoint now) {
  const double elapsed = std::max(0.0, ToSeconds(now - account.refilled_at));
  account.refilled_at = now;
  account.tokens =
      std::min(account.burst,
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
  Refill(account, PartOf(account), now);
  const double window = ToSeconds(this->bounds.quota_window);
  const double allowance =
      (account.rate * window + account.burst) * this->bounds.quota_over +
      this->bounds.quota_slack;
  const bool is_held =
      account.tokens < kLowPart * account.burst &&
      account.told_demand + account.others_demand > kHeldPart * account.rate;
  if (account.tokens < 1 - kErrorPart * allowance ||
      (is_held && account.own_tokens < 1)) {
    return false;
  }
  account.tokens -= 1;
  account.own_tokens = std::max(0.0, account.own_tokens - 1);
  ++account.admitted;
  return true;
}

std::map<std::string, CustomerUse> CustomerLedger::Tell(TimePoint now) {
  std::map<std::string, CustomerUse> uses;
  for (auto& [name, account] : this->accounts) {
    account.told_demand = account.own_demand.PerSecond(now);
    if (account.admitted > 0) {
      uses[name] = {account.admitted, account.told_demand};
    }
  }
  return uses;
}

}  // namespace daisywinch
