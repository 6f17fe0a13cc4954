#include "coordination/relayed_counts.h"

#include <algorithm>

#include "state/duration.h"

namespace daisywinch {

namespace {

/// Time without an update after which the selected relay is replaced; relays
/// send twice a second.
constexpr std::chrono::milliseconds kRelayTimeout{800};
/// A sum is incomplete if it has less than this fraction of the members of
/// another relay's sum.
constexpr double kCompleteFraction = 0.8;
/// Time without an update after which a relay's counters are discarded.
constexpr std::chrono::seconds kRelayRetention{60};
/// Minimum time over which admission rates are computed. Updates that were held
/// up arrive together, and the time between them says nothing.
constexpr std::chrono::milliseconds kMinRateSpan{200};

}  // namespace

bool RelayedCounts::ShouldSelect(const std::string& relay,
                                 std::uint32_t members,
                                 TimePoint now) const {
  if (relay == this->selected) {
    // Another relay reports more nodes; this one only estimates the traffic of
    // those that no longer send to it.
    return std::none_of(
        this->relays.begin(), this->relays.end(), [&](const auto& entry) {
          return entry.first != relay &&
                 now - entry.second.last_seen_at <= kRelayTimeout &&
                 members < kCompleteFraction * entry.second.members;
        });
  }
  const auto current = this->relays.find(this->selected);
  return current == this->relays.end() ||
         now - current->second.last_seen_at > kRelayTimeout ||
         current->second.members < kCompleteFraction * members;
}

bool RelayedCounts::ApplyCounts(const std::string& relay,
                                std::uint64_t incarnation,
                                const TrafficSum& sum,
                                TimePoint now,
                                std::map<std::string, double>& deltas) {
  const Counts& counts = sum.customers;
  std::erase_if(this->relays, [now](const auto& entry) {
    return now - entry.second.last_seen_at > kRelayRetention;
  });
  const bool is_selected = this->ShouldSelect(relay, sum.members, now);
  Relay& sender = this->relays[relay];
  if (sender.incarnation != incarnation) {
    sender = Relay();
    sender.incarnation = incarnation;
  }
  sender.last_seen_at = now;
  sender.members = sum.members;
  sender.latest = counts;
  if (!sender.has_baseline && !is_selected) {
    // First known counters of this relay. The selected relay has sent an update
    // recently, so they serve as baseline.
    sender.baseline = counts;
    sender.has_baseline = true;
  }
  if (!is_selected) {
    return false;
  }
  const double span =
      this->selected.empty() ? 0 : ToSeconds(now - this->selected_seen_at);
  this->selected = relay;
  this->selected_seen_at = now;
  for (const auto& [customer, usage] : counts) {
    double& delta = deltas[customer];
    if (!sender.has_baseline) {
      delta = this->admission_rates[customer] * span;
      continue;
    }
    const std::uint64_t before = sender.baseline[customer].admitted;
    if (usage.admitted > before) {
      delta = static_cast<double>(usage.admitted - before);
    }
    this->admitted_since[customer] += delta;
  }
  this->UpdateAdmissionRates(now);
  for (auto& [name, other] : this->relays) {
    // A relay without a recent update may have counted more since, so its
    // counters are no baseline.
    other.has_baseline = now - other.last_seen_at <= kRelayTimeout;
    other.baseline = other.latest;
  }
  return true;
}

void RelayedCounts::UpdateAdmissionRates(TimePoint now) {
  const Duration span = now - this->rates_computed_at;
  if (span < kMinRateSpan) {
    return;
  }
  // Before the first update there is no time to which the counts belong.
  const bool has_span = this->rates_computed_at != TimePoint();
  for (const auto& [customer, admitted] : this->admitted_since) {
    this->admission_rates[customer] = has_span ? admitted / ToSeconds(span) : 0;
  }
  this->admitted_since.clear();
  this->rates_computed_at = now;
}

}  // namespace daisywinch
