#include "coordination/stock_set.h"

#include <algorithm>
#include <utility>

#include "coordination/mint_plan.h"
#include "coordination/mint_schedule.h"

namespace daisywinch {

namespace {

/// Part of what was asked for below which other data centres are asked too.
constexpr double kShortPart = 0.9;
/// Part of one token, or of what was asked for, below which the minters count
/// as empty.
constexpr double kExhaustedPart = 0.5;
/// Stock of a customer in use, so that a single call need not wait for tokens.
constexpr double kLeastStock = 2;
/// Part of a customer's burst that may lie idle in all stocks together: the
/// rest of a small burst is worth more where the next call comes.
constexpr double kIdleBurstPart = 0.125;

}  // namespace

StockSet::StockSet(std::string data_centre, std::uint64_t seed)
    : data_centre(std::move(data_centre)), next_request_id(seed) {}

StockSet::CustomerStock& StockSet::StockOf(const std::string& customer) {
  return this->stocks.try_emplace(customer, kHolderTokenLease).first->second;
}

void StockSet::AddDemand(const std::string& customer, TimePoint now) {
  this->StockOf(customer).tokens.AddDemand(now);
}

bool StockSet::Take(const std::string& customer, TimePoint now) {
  return this->StockOf(customer).tokens.Take(now);
}

void StockSet::AddWaiting(const std::string& customer, int change) {
  this->StockOf(customer).tokens.AddWaiting(change);
}

bool StockSet::IsExhausted(const std::string& customer) const {
  const auto found = this->stocks.find(customer);
  return found != this->stocks.end() && found->second.exhausted;
}

std::vector<AddressedTokenRequest> StockSet::MakeRequests(
    const Snapshot& snapshot,
    TimePoint now) {
  this->UpdateMinters(snapshot);
  std::map<std::string, TokenRequest> requests;
  for (auto& [customer, stock] : this->stocks) {
    for (const GrantReport& report : stock.tokens.CollectReports(now)) {
      TokenRequest& request = requests[report.minter];
      // A request reports to one incarnation; nobody listens for an earlier
      // one any more.
      if (report.minter_incarnation > request.minter_incarnation) {
        request.reports.clear();
        request.minter_incarnation = report.minter_incarnation;
      }
      if (report.minter_incarnation == request.minter_incarnation) {
        request.reports.push_back(
            {customer, report.grant_id, report.spent, report.closed});
      }
    }
    this->AddDraws(customer, stock, now, requests);
  }
  std::erase_if(this->open_requests, [now](const auto& open) {
    return now - open.second.asked_at >= kHolderTokenLease;
  });
  std::vector<AddressedTokenRequest> addressed;
  for (auto& [vm, request] : requests) {
    request.request_id = this->next_request_id++;
    this->open_requests[request.request_id] = {vm, now};
    addressed.push_back({vm, std::move(request)});
  }
  return addressed;
}

void StockSet::UpdateMinters(const Snapshot& snapshot) {
  const Configuration& configuration = snapshot.CurrentConfiguration();
  const std::uint64_t vm_list_version = snapshot.CurrentVmList().version;
  const bool is_current =
      this->planned_configuration == configuration.version &&
      this->planned_vm_list == vm_list_version;
  for (auto& [name, stock] : this->stocks) {
    if (is_current && !stock.minters.empty()) {
      continue;
    }
    stock.minters.clear();
    stock.tokens.SetLeastStock(0);
    const Customer* customer = configuration.FindCustomer(name);
    if (customer == nullptr) {
      continue;
    }
    const double nodes =
        std::max(1.0, static_cast<double>(snapshot.CurrentVmList().vms.size()));
    stock.tokens.SetLeastStock(
        std::min(kLeastStock, kIdleBurstPart * customer->burst / nodes));
    for (const DataCentre& site : configuration.data_centres) {
      stock.minters[site.name] = MintersOf(snapshot, *customer, site.name);
    }
  }
  this->planned_configuration = configuration.version;
  this->planned_vm_list = vm_list_version;
}

void StockSet::AddDraws(const std::string& customer,
                        CustomerStock& stock,
                        TimePoint now,
                        std::map<std::string, TokenRequest>& requests) {
  const double wanted = stock.tokens.Wanted(now);
  const bool was_short = stock.got < kShortPart * stock.asked_for;
  stock.exhausted = stock.asked_everywhere &&
                    stock.got < kExhaustedPart * std::min(1.0, stock.asked_for);
  stock.asked_everywhere = was_short;
  stock.asked_for = wanted;
  stock.got = 0;
  if (wanted <= 0) {
    return;
  }
  std::vector<std::string> minters;
  for (const auto& [site, names] : stock.minters) {
    if (was_short || site == this->data_centre) {
      minters.insert(minters.end(), names.begin(), names.end());
    }
  }
  for (const std::string& minter : minters) {
    requests[minter].draws.push_back(
        {customer, wanted / static_cast<double>(minters.size())});
  }
}

void StockSet::TakeReply(const std::string& vm,
                         const TokenReply& reply,
                         TimePoint now) {
  const auto open = this->open_requests.find(reply.request_id);
  if (open == this->open_requests.end() || open->second.vm != vm) {
    return;
  }
  const TimePoint asked_at = open->second.asked_at;
  this->open_requests.erase(open);
  if (now - asked_at >= kHolderTokenLease) {
    return;
  }
  for (const CustomerGrant& given : reply.grants) {
    const auto stock = this->stocks.find(given.customer);
    if (stock != this->stocks.end()) {
      stock->second.got += given.grant.amount;
      stock->second.tokens.AddGrant(vm, reply.minter_incarnation, given.grant,
                                    asked_at);
    }
  }
}

}  // namespace daisywinch
