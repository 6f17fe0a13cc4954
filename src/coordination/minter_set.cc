#include "coordination/minter_set.h"

#include "coordination/mint_fraction_controller.h"

namespace daisywinch {

MinterSet::MinterSet(std::uint64_t incarnation) : incarnation(incarnation) {}

void MinterSet::SetFractions(const std::map<std::string, double>& fractions,
                             const Configuration& configuration,
                             TimePoint now) {
  for (auto& [customer, minter] : this->minters) {
    if (!fractions.contains(customer)) {
      minter.SetShare(RateShare(), now);
    }
  }
  for (const auto& [name, fraction] : fractions) {
    const Customer* customer = configuration.FindCustomer(name);
    if (customer == nullptr) {
      continue;
    }
    const auto minter = this->minters.try_emplace(name, kTokenLease, now).first;
    minter->second.SetShare(
        {customer->rate * fraction, customer->burst * fraction}, now);
  }
}

TokenReply MinterSet::HandleRequest(const TokenRequest& request,
                                    bool may_mint,
                                    TimePoint now) {
  if (request.minter_incarnation == this->incarnation) {
    for (const TokenReport& report : request.reports) {
      const auto minter = this->minters.find(report.customer);
      if (minter == this->minters.end()) {
        continue;
      }
      if (report.closed) {
        minter->second.CloseGrant(report.grant_id, report.spent, now);
      } else {
        minter->second.ReportSpent(report.grant_id, report.spent, now);
      }
    }
  }
  TokenReply reply;
  reply.minter_incarnation = this->incarnation;
  reply.request_id = request.request_id;
  for (const TokenDraw& draw : request.draws) {
    const auto minter = this->minters.find(draw.customer);
    if (!may_mint || minter == this->minters.end()) {
      continue;
    }
    const TokenGrant grant = minter->second.IssueGrant(draw.wanted, now);
    if (grant.amount > 0) {
      reply.grants.push_back({draw.customer, grant});
    }
  }
  return reply;
}

}  // namespace daisywinch
