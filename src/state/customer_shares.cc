#include "state/customer_shares.h"

#include <algorithm>

#include "state/time_text.h"

namespace daisywinch {

namespace {

/// Time after which a silent peer's demand no longer counts: it is gone, or
/// its callers have gone elsewhere.
constexpr std::chrono::milliseconds kPeerAge{3000};
/// Part of the customer's rate below which its demand is taken for harmless.
constexpr double kCalmPart = 0.9;
/// Part of the operators' allowance that nodes may spend on requests that come
/// unevenly; the rest covers views that differ.
constexpr double kUnevenPart = 0.25;
/// Requests that a node may take at once beyond its share, at least and at
/// most.
constexpr double kLeastExtra = 1;
constexpr double kMostExtra = 6;
/// Demand in requests per second that counts although it was not told.
constexpr double kUntoldDemand = 0.1;
/// Part of the allowance that the shares are widened by, as demand that moves
/// between nodes is seen late.
constexpr double kWidening = 0.1;

}  // namespace

void CustomerShares::Configure(const MeshConfiguration& configuration,
                               int nodes,
                               TimePoint now) {
  this->node_count = std::max(1, nodes);
  std::unordered_map<std::string, Account> kept;
  for (const MeshCustomer& customer : configuration.Customers()) {
    const auto found = this->accounts.find(customer.name);
    Account account = found == this->accounts.end() ? Account() : found->second;
    account.rate = customer.rate;
    account.burst = customer.burst;
    if (account.is_new) {
      account.refilled_at = now;
    }
    kept[customer.name] = account;
  }
  this->accounts = std::move(kept);
}

void CustomerShares::TakeNews(const std::string& node,
                              const std::map<std::string, double>& demand,
                              TimePoint now) {
  this->peers[node] = {demand, now};
  std::erase_if(this->peers, [now](const auto& peer) {
    return now - peer.second.heard_at > kPeerAge;
  });
}

bool CustomerShares::Take(const std::string& customer, TimePoint now) {
  const auto found = this->accounts.find(customer);
  if (found == this->accounts.end()) {
    return true;
  }
  Account& account = found->second;
  if (account.rate <= 0) {
    return true;
  }
  account.own_demand.Add(1, now);
  const Grant grant = this->GrantOf(customer, account, now);
  if (account.is_new) {
    account.is_new = false;
    account.tokens = grant.capacity;
  }
  const double elapsed = ToSeconds(now - account.refilled_at);
  account.refilled_at = now;
  account.tokens =
      std::min(grant.capacity, account.tokens + elapsed * grant.rate);
  if (account.tokens < 1) {
    return false;
  }
  account.tokens -= 1;
  return true;
}

CustomerShares::Grant CustomerShares::GrantOf(const std::string& name,
                                              const Account& account,
                                              TimePoint now) const {
  const double own = std::min(account.own_demand.PerSecond(now),
                              account.told_demand + kUntoldDemand);
  double others = 0;
  int heard = 0;
  for (const auto& [node, peer] : this->peers) {
    if (now - peer.heard_at > kPeerAge) {
      continue;
    }
    ++heard;
    const auto demand = peer.rates.find(name);
    others += demand == peer.rates.end() ? 0 : demand->second;
  }
  // Until the others are heard, each is taken to have an equal demand.
  const int silent = std::max(0, this->node_count - 1 - heard);
  const double known = own + others;
  const double fleet = known + known * silent / (heard + 1);
  const double share = fleet > 0 ? own / fleet : 1.0 / this->node_count;
  const double window = ToSeconds(this->bounds.quota_window);
  const double allowance =
      (account.rate * window + account.burst) * this->bounds.quota_over +
      this->bounds.quota_slack;
  const double extra =
      std::clamp(kUnevenPart * allowance / this->node_count, kLeastExtra,
                 fleet < kCalmPart * account.rate ? kMostExtra : kLeastExtra);
  Grant grant;
  grant.rate = account.rate * share * (1 + kWidening * this->bounds.quota_over);
  grant.capacity = account.burst * share + extra;
  return grant;
}

std::map<std::string, double> CustomerShares::TellOwnDemand(TimePoint now) {
  constexpr double least = 0.05;
  std::map<std::string, double> demand;
  for (auto& [name, account] : this->accounts) {
    account.told_demand = account.own_demand.PerSecond(now);
    if (account.told_demand >= least) {
      demand[name] = account.told_demand;
    }
  }
  return demand;
}

}  // namespace daisywinch
