#include "state/fair_share.h"

#include <algorithm>
#include <cmath>

namespace daisywinch {

namespace {

constexpr std::chrono::duration<double> kDecayTimeConstant{1.0};
constexpr double kMinWeight = 1e-6;
/// Customers with less usage than this are regarded as inactive when shares are
/// compared.
constexpr double kNegligibleUsage = 0.5;
constexpr double kUnderShareFraction = 0.8;

}  // namespace

double FairShare::Account::Usage(TimePoint now) const {
  const std::chrono::duration<double> age = now - this->last_update;
  return this->usage * std::exp(-age.count() / kDecayTimeConstant.count());
}

void FairShare::SetWeight(std::string_view customer, double weight) {
  this->accounts[std::string(customer)].weight = std::max(weight, kMinWeight);
}

void FairShare::AddUsage(std::string_view customer,
                         double amount,
                         TimePoint now) {
  Account& account = this->accounts[std::string(customer)];
  account.usage = account.Usage(now) + amount;
  account.last_update = now;
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
    const double customer_usage = account.Usage(now);
    if (customer_usage >= kNegligibleUsage) {
      usage += customer_usage;
      weight += account.weight;
    }
  }
  return weight > 0 && this->NormalizedUsage(customer, now) <
                           kUnderShareFraction * usage / weight;
}

}  // namespace daisywinch
