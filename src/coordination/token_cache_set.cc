#include "coordination/token_cache_set.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "coordination/mint_fraction_controller.h"
#include "coordination/mint_plan.h"
#include "state/key_digest.h"

namespace daisywinch {

namespace {

/// The fan-out grows when a round grants less than this ratio of the tokens
/// that it requested.
constexpr double kShortfallRatio = 0.9;
/// The minters count as exhausted when a round grants less than this ratio of
/// one token, or of the requested tokens if these are fewer.
constexpr double kExhaustedRatio = 0.5;
/// The fan-out is at least one minter per this many wanted tokens.
constexpr double kTokensPerMinter = 16;
/// A minter that has not replied for this time is asked only once per
/// kProbeInterval.
constexpr std::chrono::milliseconds kUnresponsiveTimeout{150};
constexpr std::chrono::milliseconds kProbeInterval{1000};
/// Rounds without a shortfall after which the fan-out decreases by one minter.
constexpr int kRoundsBeforeFanOutDecrease = 20;
/// Tokens that are cached for a customer in use, so that a single request
/// does not have to wait for tokens.
constexpr double kMinCachedTokens = 2;
/// Fraction of a customer's burst that the minimum caches of all nodes together
/// may hold. The rest of a small burst stays at the minters, available to
/// whichever node gets the next request.
constexpr double kMaxIdleBurstFraction = 0.125;

}  // namespace

TokenCacheSet::TokenCacheSet(std::string vm,
                             std::string data_centre,
                             std::uint64_t seed)
    : vm(std::move(vm)),
      data_centre(std::move(data_centre)),
      next_request_id(seed) {}

TokenCacheSet::CustomerCache& TokenCacheSet::CacheFor(
    const std::string& customer) {
  return this->caches.try_emplace(customer, kHolderTokenLease).first->second;
}

void TokenCacheSet::AddDemand(const std::string& customer, TimePoint now) {
  this->CacheFor(customer).tokens.AddDemand(now);
}

bool TokenCacheSet::TryAcquire(const std::string& customer, TimePoint now) {
  return this->CacheFor(customer).tokens.TryAcquire(now);
}

void TokenCacheSet::AddWaiting(const std::string& customer, int change) {
  this->CacheFor(customer).tokens.AddWaiting(change);
}

int TokenCacheSet::Waiting(const std::string& customer) const {
  const auto found = this->caches.find(customer);
  return found == this->caches.end() ? 0 : found->second.tokens.Waiting();
}

bool TokenCacheSet::IsExhausted(const std::string& customer) const {
  const auto found = this->caches.find(customer);
  return found != this->caches.end() && found->second.exhausted;
}

std::vector<AddressedTokenRequest> TokenCacheSet::MakeRequests(
    const Snapshot& snapshot,
    TimePoint now) {
  this->UpdateMinters(snapshot);
  std::map<std::string, TokenRequest> requests;
  for (auto& [customer, cache] : this->caches) {
    for (const GrantReport& report : cache.tokens.CollectReports(now)) {
      TokenRequest& request = requests[report.minter];
      // A request carries reports for one incarnation of the minter; an earlier
      // incarnation has ended and its reports are obsolete.
      if (report.minter_incarnation > request.minter_incarnation) {
        request.reports.clear();
        request.minter_incarnation = report.minter_incarnation;
      }
      if (report.minter_incarnation == request.minter_incarnation) {
        request.reports.push_back(
            {customer, report.grant_id, report.spent, report.closed});
      }
    }
    this->AddDraws(customer, cache, now, requests);
  }
  std::erase_if(this->pending_requests, [now](const auto& pending) {
    return now - pending.second.sent_at >= kHolderTokenLease;
  });
  std::vector<AddressedTokenRequest> addressed;
  for (auto& [vm, request] : requests) {
    request.request_id = this->next_request_id++;
    this->pending_requests[request.request_id] = {vm, now};
    MinterStatus& status = this->minter_statuses[vm];
    status.unanswered_since =
        status.is_awaiting_reply ? status.unanswered_since : now;
    status.is_awaiting_reply = true;
    status.sent_at = now;
    addressed.push_back({vm, std::move(request)});
  }
  return addressed;
}

void TokenCacheSet::UpdateMinters(const Snapshot& snapshot) {
  const Configuration& configuration = snapshot.CurrentConfiguration();
  const std::uint64_t vm_list_version = snapshot.CurrentVmList().version;
  const bool is_current =
      this->minters_configuration_version == configuration.version &&
      this->minters_vm_list_version == vm_list_version;
  for (auto& [name, cache] : this->caches) {
    if (is_current && !cache.minters.empty()) {
      continue;
    }
    cache.minters.clear();
    cache.tokens.SetMinTokens(0);
    const Customer* customer = configuration.FindCustomer(name);
    if (customer == nullptr) {
      continue;
    }
    const double nodes =
        std::max(1.0, static_cast<double>(snapshot.CurrentVmList().vms.size()));
    cache.tokens.SetMinTokens(std::min(
        kMinCachedTokens, kMaxIdleBurstFraction * customer->burst / nodes));
    cache.minters = this->OrderMinters(snapshot, *customer);
  }
  this->minters_configuration_version = configuration.version;
  this->minters_vm_list_version = vm_list_version;
}

std::vector<std::string> TokenCacheSet::OrderMinters(
    const Snapshot& snapshot,
    const Customer& customer) const {
  std::vector<std::string> ordered;
  const auto append = [&](const std::string& data_centre_name) {
    std::vector<std::string> names =
        SelectMinters(snapshot, customer, data_centre_name);
    // The order differs between nodes, which spreads the load over all minters.
    std::sort(names.begin(), names.end(),
              [this](const std::string& left, const std::string& right) {
                return Sha256Hex(this->vm + "\n" + left) <
                       Sha256Hex(this->vm + "\n" + right);
              });
    ordered.insert(ordered.end(), names.begin(), names.end());
  };
  append(this->data_centre);
  for (const DataCentre& candidate :
       snapshot.CurrentConfiguration().data_centres) {
    if (candidate.name != this->data_centre) {
      append(candidate.name);
    }
  }
  return ordered;
}

bool TokenCacheSet::ShouldRequestFrom(const std::string& minter,
                                      TimePoint now) const {
  const auto status = this->minter_statuses.find(minter);
  return status == this->minter_statuses.end() ||
         !status->second.is_awaiting_reply ||
         now - status->second.unanswered_since < kUnresponsiveTimeout ||
         now - status->second.sent_at > kProbeInterval;
}

void TokenCacheSet::UpdateFanOut(CustomerCache& cache, double wanted) {
  const std::size_t minter_count = cache.minters.size();
  const std::size_t min_fan_out =
      static_cast<std::size_t>(std::ceil(wanted / kTokensPerMinter));
  const bool had_shortfall = cache.granted < kShortfallRatio * cache.requested;
  cache.exhausted =
      had_shortfall && cache.fan_out == minter_count &&
      cache.granted < kExhaustedRatio * std::min(1.0, cache.requested);
  ++cache.rounds_at_fan_out;
  if (had_shortfall) {
    cache.fan_out = 2 * cache.fan_out + 1;
    cache.rounds_at_fan_out = 0;
  } else if (cache.rounds_at_fan_out >= kRoundsBeforeFanOutDecrease &&
             cache.fan_out > 1) {
    cache.fan_out -= 1;
    cache.rounds_at_fan_out = 0;
  }
  cache.fan_out = std::min(std::max(cache.fan_out, min_fan_out), minter_count);
}

void TokenCacheSet::AddDraws(const std::string& customer,
                             CustomerCache& cache,
                             TimePoint now,
                             std::map<std::string, TokenRequest>& requests) {
  const double wanted = cache.tokens.TokensToRequest(now);
  this->UpdateFanOut(cache, wanted);
  cache.requested = wanted;
  cache.granted = 0;
  if (wanted <= 0) {
    return;
  }
  // At most one minter is asked per wanted token, rounded up: fractions of a
  // token from several minters are useless while one of them does not reply.
  std::vector<std::string> chosen;
  const std::size_t max_minters = static_cast<std::size_t>(std::ceil(wanted));
  for (std::size_t step = 0;
       step < cache.fan_out && chosen.size() < max_minters; ++step) {
    const std::string& minter =
        cache.minters[(cache.next_minter + step) % cache.fan_out];
    if (this->ShouldRequestFrom(minter, now)) {
      chosen.push_back(minter);
    }
  }
  for (const std::string& minter : chosen) {
    requests[minter].draws.push_back(
        {customer, wanted / static_cast<double>(chosen.size())});
  }
  if (cache.fan_out > 1) {
    cache.next_minter = (cache.next_minter + chosen.size()) % cache.fan_out;
  }
}

void TokenCacheSet::HandleReply(const std::string& vm,
                                const TokenReply& reply,
                                TimePoint now) {
  const auto pending = this->pending_requests.find(reply.request_id);
  if (pending == this->pending_requests.end() || pending->second.vm != vm) {
    return;
  }
  const TimePoint sent_at = pending->second.sent_at;
  this->minter_statuses[vm].is_awaiting_reply = false;
  this->pending_requests.erase(pending);
  if (now - sent_at >= kHolderTokenLease) {
    return;
  }
  for (const CustomerGrant& given : reply.grants) {
    const auto cache = this->caches.find(given.customer);
    if (cache != this->caches.end()) {
      cache->second.granted += given.grant.amount;
      cache->second.tokens.AddGrant(vm, reply.minter_incarnation, given.grant,
                                    sent_at);
    }
  }
}

}  // namespace daisywinch
