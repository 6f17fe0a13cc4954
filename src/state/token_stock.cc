#include "state/token_stock.h"

#include <algorithm>
#include <cmath>

namespace daisywinch {

namespace {

/// Time of demand that a stock is meant to last for.
constexpr std::chrono::duration<double> kHorizon{0.3};
constexpr std::chrono::duration<double> kDemandDecay{0.5};
constexpr std::chrono::milliseconds kDemandInterval{50};
constexpr std::chrono::seconds kInUseTime{5};
/// Tokens that are missing for one by rounding still count as one.
constexpr double kRounding = 1e-9;
/// Part of the lease after which tokens are drawn to replace a grant.
constexpr double kRenewalPart = 0.5;
/// Part of the lease after which the rest of a grant is handed back.
constexpr double kReturnPart = 0.75;
/// Stock over the wanted one, as a factor, from which grants are handed back.
constexpr double kSurplus = 2;

}  // namespace

TokenStock::TokenStock(Duration lease) : lease(lease) {}

void TokenStock::AddGrant(const std::string& minter,
                          std::uint64_t minter_incarnation,
                          const TokenGrant& grant,
                          TimePoint asked_at) {
  if (grant.amount > 0) {
    this->grants.push_back({minter, minter_incarnation, grant.id, grant.amount,
                            0, 0, asked_at + this->lease});
  }
}

void TokenStock::AddDemand(TimePoint now) {
  this->UpdateDemand(now);
  this->asked += 1;
  this->last_asked_at = now;
}

bool TokenStock::Take(TimePoint now) {
  if (this->Available(now) < 1 - kRounding) {
    return false;
  }
  double missing = 1;
  for (Held& held : this->grants) {
    const double taken = std::min(missing, held.amount - held.spent);
    held.spent += taken;
    missing -= taken;
    if (missing <= 0) {
      break;
    }
  }
  return true;
}

double TokenStock::Available(TimePoint now) {
  this->RemoveEnded(now);
  return this->AvailableUntil(now, 1);
}

double TokenStock::Wanted(TimePoint now) {
  this->UpdateDemand(now);
  if (!this->IsInUse(now)) {
    return 0;
  }
  return std::max(0.0, this->Target() + this->waiting -
                           this->AvailableUntil(now, kRenewalPart));
}

double TokenStock::Target() const {
  return std::max(this->least_stock, this->demand * kHorizon.count());
}

double TokenStock::AvailableUntil(TimePoint now, double lease_part) const {
  const Duration least_rest =
      std::chrono::duration_cast<Duration>(this->lease * (1 - lease_part));
  double sum = 0;
  for (const Held& held : this->grants) {
    if (held.ends_at - now >= least_rest) {
      sum += held.amount - held.spent;
    }
  }
  return sum;
}

bool TokenStock::IsInUse(TimePoint now) const {
  return now - this->last_asked_at < kInUseTime;
}

std::vector<GrantReport> TokenStock::CollectReports(TimePoint now) {
  this->RemoveEnded(now);
  this->UpdateDemand(now);
  const Duration return_rest =
      std::chrono::duration_cast<Duration>(this->lease * (1 - kReturnPart));
  // Less than a token is of use to nobody here.
  const double kept = this->Target() < 1 ? 0 : kSurplus * this->Target();
  double surplus = this->Available(now) - kept;
  std::vector<GrantReport> reports;
  for (auto held = this->grants.begin(); held != this->grants.end();) {
    const double rest = held->amount - held->spent;
    const bool is_spent = rest <= kRounding;
    const bool is_old = held->ends_at - now < return_rest;
    const bool is_surplus = rest <= surplus || !this->IsInUse(now);
    const bool closed = is_spent || is_old || is_surplus;
    if (closed || held->spent > held->reported) {
      reports.push_back({held->minter, held->minter_incarnation, held->grant_id,
                         held->spent, closed});
      held->reported = held->spent;
    }
    if (closed) {
      surplus -= rest;
      held = this->grants.erase(held);
    } else {
      ++held;
    }
  }
  return reports;
}

void TokenStock::RemoveEnded(TimePoint now) {
  std::erase_if(this->grants,
                [now](const Held& held) { return held.ends_at <= now; });
}

void TokenStock::UpdateDemand(TimePoint now) {
  if (now - this->demand_updated_at < kDemandInterval) {
    return;
  }
  const std::chrono::duration<double> time = now - this->demand_updated_at;
  // A few calls say little of the demand to come: their own scatter is left
  // out, or a small customer's tokens would lie idle at every entry.
  const double steady = std::max(0.0, this->asked - std::sqrt(this->asked));
  const double rate = steady / time.count();
  const double kept = std::exp(-time.count() / kDemandDecay.count());
  // Demand rises at once and falls slowly.
  this->demand = std::max(rate, kept * this->demand + (1 - kept) * rate);
  this->asked = 0;
  this->demand_updated_at = now;
}

}  // namespace daisywinch
