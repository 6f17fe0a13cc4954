#include "coordination/stock_set.h"

#include <algorithm>
#include <cmath>
#include <utility>

#include "coordination/mint_plan.h"
#include "coordination/mint_schedule.h"
#include "state/key_digest.h"

namespace daisywinch {

namespace {

/// Part of what was asked for below which other data centres are asked too.
constexpr double kShortPart = 0.9;
/// Part of one token, or of what was asked for, below which the minters count
/// as empty.
constexpr double kExhaustedPart = 0.5;
/// Tokens that one minter is asked for before another is asked as well.
constexpr double kTokensPerMinter = 16;
/// Time without an answer after which a minter is asked only now and then.
constexpr std::chrono::milliseconds kSilence{150};
constexpr std::chrono::milliseconds kProbeInterval{1000};
/// Rounds that met the demand before one minter fewer is asked.
constexpr int kRoundsToNarrow = 20;
/// Stock of a customer in use, so that a single call need not wait for tokens.
constexpr double kLeastStock = 2;
/// Part of a customer's burst that may lie idle in all stocks together: the
/// rest of a small burst is worth more where the next call comes.
constexpr double kIdleBurstPart = 0.125;

}  // namespace

StockSet::StockSet(std::string vm, std::string data_centre, std::uint64_t seed)
    : vm(std::move(vm)),
      data_centre(std::move(data_centre)),
      next_request_id(seed) {}

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

int StockSet::Waiting(const std::string& customer) const {
  const auto found = this->stocks.find(customer);
  return found == this->stocks.end() ? 0 : found->second.tokens.Waiting();
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
    MinterContact& contact = this->contacts[vm];
    contact.unanswered_since =
        contact.is_waiting ? contact.unanswered_since : now;
    contact.is_waiting = true;
    contact.asked_at = now;
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
    stock.minters = this->OrderMinters(snapshot, *customer);
  }
  this->planned_configuration = configuration.version;
  this->planned_vm_list = vm_list_version;
}

std::vector<std::string> StockSet::OrderMinters(
    const Snapshot& snapshot,
    const Customer& customer) const {
  std::vector<std::string> ordered;
  const auto append = [&](const std::string& site) {
    std::vector<std::string> names = MintersOf(snapshot, customer, site);
    // Entries differ in their order, so that all minters get their part.
    std::sort(names.begin(), names.end(),
              [this](const std::string& left, const std::string& right) {
                return Sha256Hex(this->vm + "\n" + left) <
                       Sha256Hex(this->vm + "\n" + right);
              });
    ordered.insert(ordered.end(), names.begin(), names.end());
  };
  append(this->data_centre);
  for (const DataCentre& site : snapshot.CurrentConfiguration().data_centres) {
    if (site.name != this->data_centre) {
      append(site.name);
    }
  }
  return ordered;
}

bool StockSet::IsWorthAsking(const std::string& minter, TimePoint now) const {
  const auto contact = this->contacts.find(minter);
  return contact == this->contacts.end() || !contact->second.is_waiting ||
         now - contact->second.unanswered_since < kSilence ||
         now - contact->second.asked_at > kProbeInterval;
}

void StockSet::UpdateReach(CustomerStock& stock, double wanted) {
  const std::size_t all = stock.minters.size();
  const std::size_t needed =
      static_cast<std::size_t>(std::ceil(wanted / kTokensPerMinter));
  const bool was_short = stock.got < kShortPart * stock.asked_for;
  stock.exhausted = was_short && stock.reach == all &&
                    stock.got < kExhaustedPart * std::min(1.0, stock.asked_for);
  ++stock.rounds;
  if (was_short) {
    stock.reach = 2 * stock.reach + 1;
    stock.rounds = 0;
  } else if (stock.rounds >= kRoundsToNarrow && stock.reach > 1) {
    stock.reach -= 1;
    stock.rounds = 0;
  }
  stock.reach = std::min(std::max(stock.reach, needed), all);
}

void StockSet::AddDraws(const std::string& customer,
                        CustomerStock& stock,
                        TimePoint now,
                        std::map<std::string, TokenRequest>& requests) {
  const double wanted = stock.tokens.Wanted(now);
  this->UpdateReach(stock, wanted);
  stock.asked_for = wanted;
  stock.got = 0;
  if (wanted <= 0) {
    return;
  }
  // A minter is asked for a whole token at least: parts of one that come from
  // several are of no use while one of them does not answer.
  std::vector<std::string> chosen;
  const std::size_t most = static_cast<std::size_t>(std::ceil(wanted));
  for (std::size_t step = 0; step < stock.reach && chosen.size() < most;
       ++step) {
    const std::string& minter =
        stock.minters[(stock.next_minter + step) % stock.reach];
    if (this->IsWorthAsking(minter, now)) {
      chosen.push_back(minter);
    }
  }
  for (const std::string& minter : chosen) {
    requests[minter].draws.push_back(
        {customer, wanted / static_cast<double>(chosen.size())});
  }
  if (stock.reach > 1) {
    stock.next_minter = (stock.next_minter + chosen.size()) % stock.reach;
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
  this->contacts[vm].is_waiting = false;
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
