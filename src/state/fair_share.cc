#include "state/fair_share.h"

#include <algorithm>
#include <cmath>

namespace daisywinch {

namespace {

constexpr std::chrono::duration<double> kDecayTime{1.0};
constexpr double kLeastWeight = 1e-6;
/// Usage below this counts as none when shares are compared.
constexpr double kNegligibleUsage = 0.5;
constexpr double kUnderSharePart = 0.8;

}  // namespace

double FairShare::Account::Usage(TimePoint now) const {
  const std::chrono::duration<double> age = now - this->updated_at;
  return this->usage * std::exp(-age.count() / kDecayTime.count());
}

void FairShare::SetWeight(std::string_view customer, double weight) {
  this->accounts[std::string(customer)].weight = std::max(weight, kLeastWeight);
}

void FairShare::AddUsage(std::string_view customer,
                         double amount,
                         TimePoint now) {
  Account& account = this->accounts[std::string(customer)];
  account.usage = account.Usage(now) + amount;
  account.updated_at = now;
}

double FairShare::NormalizedUsage(std::string_view customer,
                                  TimePoint now) const {
  const auto found = this->accounts.find(std::string(customer));
  return found == this->accounts.end()
             ? 0
             : found->second.Usage(now) / found->second.weight;
}

bool FairShare::IsUnderShare(std::string_view customer, TimePoint now) const {
  double usage = 0;
  double weight = 0;
  for (const auto& [name, account] : this->accounts) {
    const double own = account.Usage(now);
    if (own >= kNegligibleUsage) {
      usage += own;
      weight += account.weight;
    }
  }
  return weight > 0 && this->NormalizedUsage(customer, now) <
                           kUnderSharePart * usage / weight;
}

}  // namespace daisywinch
