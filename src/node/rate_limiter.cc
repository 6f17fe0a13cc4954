#include "node/rate_limiter.h"

#include <algorithm>
#include <utility>

namespace daisywinch {

RateLimiter::RateLimiter(std::string data_centre, const Clock& clock)
    : data_centre(std::move(data_centre)), clock(clock) {}

bool RateLimiter::Take(const Snapshot& snapshot, std::string_view customer) {
  const Configuration& configuration = snapshot.CurrentConfiguration();
  const Customer* terms = configuration.FindCustomer(customer);
  const DataCentre* own = configuration.FindDataCentre(this->data_centre);
  if (terms == nullptr || own == nullptr) {
    return false;
  }
  const std::vector<Vm>& vms = snapshot.CurrentVmList().vms;
  const std::ptrdiff_t node_count = std::count_if(
      vms.begin(), vms.end(),
      [this](const Vm& vm) { return vm.data_centre == this->data_centre; });
  const double part =
      own->share / static_cast<double>(std::max<std::ptrdiff_t>(1, node_count));
  const TimePoint now = this->clock.Now();
  const double rate = terms->rate * part;
  const double burst = terms->burst * part;
  const auto [bucket, is_new] =
      this->buckets.try_emplace(std::string(customer), rate, burst, burst, now);
  if (!is_new) {
    bucket->second.Configure(rate, burst, now);
  }
  return bucket->second.Take(1, now);
}

}  // namespace daisywinch
