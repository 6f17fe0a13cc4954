#include "state/token_minter.h"

#include <algorithm>

namespace daisywinch {

TokenMinter::TokenMinter(Duration lease, TimePoint now)
    : lease(lease), minted_until(now) {}

void TokenMinter::SetShare(const RateShare& new_share, TimePoint now) {
  this->Advance(now);
  this->share = new_share;
  this->available =
      std::clamp(this->share.burst - this->outstanding, 0.0, this->available);
}

TokenGrant TokenMinter::IssueGrant(double requested, TimePoint now) {
  this->Advance(now);
  const double amount = std::clamp(requested, 0.0, this->available);
  if (amount <= 0) {
    return {};
  }
  const std::uint64_t id = this->next_id++;
  this->available -= amount;
  this->outstanding += amount;
  this->grants[id] = {amount, 0, now + this->lease};
  return {id, amount};
}

void TokenMinter::ReportSpent(std::uint64_t grant_id,
                              double spent,
                              TimePoint now) {
  this->Advance(now);
  const auto found = this->grants.find(grant_id);
  if (found == this->grants.end()) {
    return;
  }
  OutstandingGrant& grant = found->second;
  const double added =
      std::clamp(spent, grant.spent, grant.amount) - grant.spent;
  grant.spent += added;
  this->outstanding = std::max(0.0, this->outstanding - added);
}

void TokenMinter::CloseGrant(std::uint64_t grant_id,
                             double spent,
                             TimePoint now) {
  this->ReportSpent(grant_id, spent, now);
  const auto found = this->grants.find(grant_id);
  if (found == this->grants.end()) {
    return;
  }
  const double unspent = found->second.amount - found->second.spent;
  this->grants.erase(found);
  this->outstanding = std::max(0.0, this->outstanding - unspent);
  this->available = std::clamp(this->share.burst - this->outstanding, 0.0,
                               this->available + unspent);
}

double TokenMinter::Available(TimePoint now) {
  this->Advance(now);
  return this->available;
}

double TokenMinter::Outstanding(TimePoint now) {
  this->Advance(now);
  return this->outstanding;
}

void TokenMinter::Advance(TimePoint now) {
  while (!this->grants.empty() &&
         this->grants.begin()->second.expires_at <= now) {
    const OutstandingGrant grant = this->grants.begin()->second;
    this->Mint(grant.expires_at);
    this->outstanding =
        std::max(0.0, this->outstanding - (grant.amount - grant.spent));
    this->grants.erase(this->grants.begin());
  }
  this->Mint(now);
}

void TokenMinter::Mint(TimePoint until) {
  if (until <= this->minted_until) {
    return;
  }
  const std::chrono::duration<double> time = until - this->minted_until;
  this->minted_until = until;
  const double room = std::max(0.0, this->share.burst - this->outstanding);
  this->available =
      std::min(room, this->available + this->share.rate * time.count());
}

}  // namespace daisywinch
