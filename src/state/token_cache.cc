#include "state/token_cache.h"

#include <algorithm>
#include <cmath>

namespace daisywinch {

namespace {

/// Time for which the cached tokens should last at the recent demand.
constexpr std::chrono::duration<double> kDemandHorizon{0.3};
constexpr std::chrono::duration<double> kDemandTimeConstant{0.5};
constexpr std::chrono::milliseconds kDemandInterval{50};
constexpr std::chrono::seconds kIdleTimeout{5};
/// Tolerance for rounding errors: slightly less than one token counts as one.
constexpr double kEpsilon = 1e-9;
/// Fraction of the lease after which tokens are requested to replace a grant.
constexpr double kRenewalFraction = 0.5;
/// Fraction of the lease after which the unspent tokens of a grant are
/// returned.
constexpr double kReturnFraction = 0.75;
/// Grants are returned if the cache holds more than this multiple of the target
/// amount.
constexpr double kSurplusFactor = 2;

}  // namespace

TokenCache::TokenCache(Duration lease) : lease(lease) {}

void TokenCache::AddGrant(const std::string& minter,
                          std::uint64_t minter_incarnation,
                          const TokenGrant& grant,
                          TimePoint requested_at) {
  if (grant.amount > 0) {
    this->grants.push_back({minter, minter_incarnation, grant.id, grant.amount,
                            0, 0, requested_at + this->lease});
  }
}

void TokenCache::AddDemand(TimePoint now) {
  this->UpdateDemand(now);
  this->requested += 1;
  this->last_demand_at = now;
}

bool TokenCache::TryAcquire(TimePoint now) {
  if (this->Available(now) < 1 - kEpsilon) {
    return false;
  }
  double missing = 1;
  for (HeldGrant& held : this->grants) {
    const double taken = std::min(missing, held.amount - held.spent);
    held.spent += taken;
    missing -= taken;
    if (missing <= 0) {
      break;
    }
  }
  return true;
}

double TokenCache::Available(TimePoint now) {
  this->RemoveExpired(now);
  return this->AvailableWithin(now, 1);
}

double TokenCache::TokensToRequest(TimePoint now) {
  this->UpdateDemand(now);
  if (!this->IsActive(now)) {
    return 0;
  }
  return std::max(0.0, this->TargetAmount() + this->waiting -
                           this->AvailableWithin(now, kRenewalFraction));
}

double TokenCache::TargetAmount() const {
  return std::max(this->min_tokens, this->demand * kDemandHorizon.count());
}

double TokenCache::AvailableWithin(TimePoint now, double lease_fraction) const {
  const Duration min_lease_left =
      std::chrono::duration_cast<Duration>(this->lease * (1 - lease_fraction));
  double sum = 0;
  for (const HeldGrant& held : this->grants) {
    if (held.expires_at - now >= min_lease_left) {
      sum += held.amount - held.spent;
    }
  }
  return sum;
}

bool TokenCache::IsActive(TimePoint now) const {
  return now - this->last_demand_at < kIdleTimeout;
}

std::vector<GrantReport> TokenCache::CollectReports(TimePoint now) {
  this->RemoveExpired(now);
  this->UpdateDemand(now);
  const Duration return_lease_left =
      std::chrono::duration_cast<Duration>(this->lease * (1 - kReturnFraction));
  // A call needs a whole token, so less than one is not worth keeping.
  const double kept =
      this->TargetAmount() < 1 ? 0 : kSurplusFactor * this->TargetAmount();
  double surplus = this->Available(now) - kept;
  std::vector<GrantReport> reports;
  for (auto held = this->grants.begin(); held != this->grants.end();) {
    const double unspent = held->amount - held->spent;
    const bool is_spent = unspent <= kEpsilon;
    const bool is_old = held->expires_at - now < return_lease_left;
    const bool is_surplus = unspent <= surplus || !this->IsActive(now);
    const bool closed = is_spent || is_old || is_surplus;
    if (closed || held->spent > held->reported) {
      reports.push_back({held->minter, held->minter_incarnation, held->grant_id,
                         held->spent, closed});
      held->reported = held->spent;
    }
    if (closed) {
      surplus -= unspent;
      held = this->grants.erase(held);
    } else {
      ++held;
    }
  }
  return reports;
}

void TokenCache::RemoveExpired(TimePoint now) {
  std::erase_if(this->grants, [now](const HeldGrant& held) {
    return held.expires_at <= now;
  });
}

void TokenCache::UpdateDemand(TimePoint now) {
  if (now - this->last_demand_update < kDemandInterval) {
    return;
  }
  const std::chrono::duration<double> time = now - this->last_demand_update;
  // A small number of calls is a poor estimate of future demand. One standard
  // deviation of the count is subtracted; otherwise every ingress would hold
  // unused tokens of customers with little traffic.
  const double steady =
      std::max(0.0, this->requested - std::sqrt(this->requested));
  const double rate = steady / time.count();
  const double kept = std::exp(-time.count() / kDemandTimeConstant.count());
  // Demand rises immediately and decays slowly.
  this->demand = std::max(rate, kept * this->demand + (1 - kept) * rate);
  this->requested = 0;
  this->last_demand_update = now;
}

}  // namespace daisywinch
