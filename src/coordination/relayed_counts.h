#ifndef DAISYWINCH_COORDINATION_RELAYED_COUNTS_H
#define DAISYWINCH_COORDINATION_RELAYED_COUNTS_H

#include <cstdint>
#include <map>
#include <string>

#include "coordination/traffic_sum.h"
#include "state/clock.h"

namespace daisywinch {

/// Counts over less time than this are taken whole, although no earlier ones
/// are known: what was admitted so lately weighs on a customer's bucket.
inline constexpr std::chrono::seconds kMaxFullCountAge{5};

/// Follows what two or more relays count of the same nodes, one at a time.
///
/// Each relay counts from its own start, so its counts compare only with its
/// own earlier ones. What the others told when the followed relay was last
/// heard is remembered: when another takes its place, nothing that was counted
/// in between is lost.
class RelayedCounts {
 public:
  using Counts = std::map<std::string, CustomerUsage>;

  /// Takes what a relay tells. Returns whether it is the one to go by now; then
  /// `deltas` holds what was admitted since the last news that was gone by. Of
  /// a relay that has no earlier counts, the pace of before is taken to go on.
  bool ApplyCounts(const std::string& relay,
                   std::uint64_t incarnation,
                   const TrafficSum& sum,
                   TimePoint now,
                   std::map<std::string, double>& deltas);

  /// The relay that is gone by; empty while there was none.
  const std::string& SelectedRelay() const { return this->selected; }

 private:
  struct Relay {
    std::uint64_t incarnation = 0;
    TimePoint last_seen_at;
    std::uint32_t members = 0;
    Counts latest;
    /// The counts when the followed relay was last heard.
    Counts baseline;
    bool has_baseline = false;
  };

  bool ShouldSelect(const std::string& relay,
                    std::uint32_t members,
                    TimePoint now) const;

  std::map<std::string, Relay> relays;
  std::string selected;
  TimePoint selected_seen_at;
  /// Requests per second between the last two news, by customer.
  std::map<std::string, double> admission_rates;
};

}  // namespace daisywinch

#endif  // DAISYWINCH_COORDINATION_RELAYED_COUNTS_H
