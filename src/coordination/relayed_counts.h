#ifndef DAISYWINCH_COORDINATION_RELAYED_COUNTS_H
#define DAISYWINCH_COORDINATION_RELAYED_COUNTS_H

#include <cstdint>
#include <map>
#include <string>

#include "coordination/traffic_sum.h"
#include "state/clock.h"

namespace daisywinch {

/// Counters younger than this are taken at their full value when no earlier
/// value is known: requests that were admitted so recently still affect a
/// customer's bucket.
inline constexpr std::chrono::seconds kMaxFullCountAge{5};

/// Merges the counters that two or more relays keep of the same nodes into one
/// sequence of increments, using one relay at a time.
///
/// Each relay counts from its own start, so its counters can be compared only
/// with its own earlier values. The counters of the other relays at the time of
/// the selected relay's last update are kept as baselines: when another relay
/// takes over, nothing that was counted in between is lost or counted twice.
///
/// Not thread-safe.
class RelayedCounts {
 public:
  using Counts = std::map<std::string, CustomerUsage>;

  /// Processes the counters of a relay and returns whether it is the selected
  /// one now. If so, `deltas` receives the requests admitted since the last
  /// update that was used, by customer. For a relay without a baseline they are
  /// estimated from the previous admission rates.
  bool ApplyCounts(const std::string& relay,
                   std::uint64_t incarnation,
                   const TrafficSum& sum,
                   TimePoint now,
                   std::map<std::string, double>& deltas);

  /// The relay whose counters are in use; empty before the first.
  const std::string& SelectedRelay() const { return this->selected; }

 private:
  struct Relay {
    std::uint64_t incarnation = 0;
    TimePoint last_seen_at;
    std::uint32_t members = 0;
    Counts latest;
    /// The counters at the time of the last update of the selected relay.
    Counts baseline;
    bool has_baseline = false;
  };

  bool ShouldSelect(const std::string& relay,
                    std::uint32_t members,
                    TimePoint now) const;
  void UpdateAdmissionRates(TimePoint now);

  std::map<std::string, Relay> relays;
  std::string selected;
  TimePoint selected_seen_at;
  /// Requests per second over the last updates, by customer.
  std::map<std::string, double> admission_rates;
  /// Requests admitted since the rates were computed, by customer.
  std::map<std::string, double> admitted_since;
  TimePoint rates_computed_at;
};

}  // namespace daisywinch

#endif  // DAISYWINCH_COORDINATION_RELAYED_COUNTS_H
