#include "state/token_minter.h"

#include <algorithm>

namespace daisywinch {

TokenMinter::TokenMinter(Duration lease, TimePoint now)
    : lease(lease), minted_until(now) {}

void TokenMinter::SetShare(const RateShare& new_share, TimePoint now) {
  this->Advance(now);
  this->share = new_share;
  this->at_hand =
      std::clamp(this->share.burst - this->lent, 0.0, this->at_hand);
}

TokenGrant TokenMinter::Draw(double wanted, TimePoint now) {
  this->Advance(now);
  const double amount = std::clamp(wanted, 0.0, this->at_hand);
  if (amount <= 0) {
    return {};
  }
  const std::uint64_t id = this->next_id++;
  this->at_hand -= amount;
  this->lent += amount;
  this->loans[id] = {amount, 0, now + this->lease};
  return {id, amount};
}

void TokenMinter::ReportSpent(std::uint64_t grant_id,
                              double spent,
                              TimePoint now) {
  this->Advance(now);
  const auto found = this->loans.find(grant_id);
  if (found == this->loans.end()) {
    return;
  }
  Loan& loan = found->second;
  const double added = std::clamp(spent, loan.spent, loan.amount) - loan.spent;
  loan.spent += added;
  this->lent = std::max(0.0, this->lent - added);
}

void TokenMinter::Close(std::uint64_t grant_id, double spent, TimePoint now) {
  this->ReportSpent(grant_id, spent, now);
  const auto found = this->loans.find(grant_id);
  if (found == this->loans.end()) {
    return;
  }
  const double rest = found->second.amount - found->second.spent;
  this->loans.erase(found);
  this->lent = std::max(0.0, this->lent - rest);
  this->at_hand =
      std::clamp(this->share.burst - this->lent, 0.0, this->at_hand + rest);
}

double TokenMinter::AtHand(TimePoint now) {
  this->Advance(now);
  return this->at_hand;
}

double TokenMinter::Lent(TimePoint now) {
  this->Advance(now);
  return this->lent;
}

void TokenMinter::Advance(TimePoint now) {
  while (!this->loans.empty() && this->loans.begin()->second.ends_at <= now) {
    const Loan loan = this->loans.begin()->second;
    this->Mint(loan.ends_at);
    this->lent = std::max(0.0, this->lent - (loan.amount - loan.spent));
    this->loans.erase(this->loans.begin());
  }
  this->Mint(now);
}

void TokenMinter::Mint(TimePoint until) {
  if (until <= this->minted_until) {
    return;
  }
  const std::chrono::duration<double> time = until - this->minted_until;
  this->minted_until = until;
  const double room = std::max(0.0, this->share.burst - this->lent);
  this->at_hand =
      std::min(room, this->at_hand + this->share.rate * time.count());
}

}  // namespace daisywinch
