#include "coordination/relayed_counts.h"

#include <algorithm>

#include "state/time_text.h"

namespace daisywinch {

namespace {

/// Silence of the followed relay before another takes its place; relays tell
/// twice a second.
constexpr std::chrono::milliseconds kRelaySilence{800};
/// Part of the members of another relay's sum below which a sum is incomplete.
constexpr double kCompletePart = 0.8;
/// Silence after which a relay's counts are forgotten.
constexpr std::chrono::seconds kForgotten{60};

}  // namespace

bool RelayedCounts::ShouldFollow(const std::string& relay,
                                 std::uint32_t members,
                                 TimePoint now) const {
  if (relay == this->followed) {
    // Nodes that have turned to other relays are only reckoned with by this
    // one.
    return std::none_of(this->relays.begin(), this->relays.end(),
                        [&](const auto& entry) {
                          return entry.first != relay &&
                                 now - entry.second.heard_at <= kRelaySilence &&
                                 members < kCompletePart * entry.second.members;
                        });
  }
  const auto current = this->relays.find(this->followed);
  return current == this->relays.end() ||
         now - current->second.heard_at > kRelaySilence ||
         current->second.members < kCompletePart * members;
}

bool RelayedCounts::Take(const std::string& relay,
                         std::uint64_t incarnation,
                         const TrafficSum& sum,
                         TimePoint now,
                         std::map<std::string, double>& deltas) {
  const Counts& counts = sum.customers;
  std::erase_if(this->relays, [now](const auto& entry) {
    return now - entry.second.heard_at > kForgotten;
  });
  const bool is_followed = this->ShouldFollow(relay, sum.members, now);
  Relay& teller = this->relays[relay];
  if (teller.incarnation != incarnation) {
    teller = Relay();
    teller.incarnation = incarnation;
  }
  teller.heard_at = now;
  teller.members = sum.members;
  teller.latest = counts;
  if (!teller.has_base && !is_followed) {
    // The first that is known of it; the followed one was heard lately.
    teller.base = counts;
    teller.has_base = true;
  }
  if (!is_followed) {
    return false;
  }
  const double span =
      this->followed.empty() ? 0 : ToSeconds(now - this->followed_at);
  this->followed = relay;
  this->followed_at = now;
  for (const auto& [customer, use] : counts) {
    double& delta = deltas[customer];
    if (!teller.has_base) {
      delta = this->paces[customer] * span;
      continue;
    }
    const std::uint64_t before = teller.base[customer].admitted;
    if (use.admitted > before) {
      delta = static_cast<double>(use.admitted - before);
    }
    this->paces[customer] = span > 0 ? delta / span : 0;
  }
  for (auto& [name, other] : this->relays) {
    // One that was not heard meanwhile may have counted since what it last
    // told.
    other.has_base = now - other.heard_at <= kRelaySilence;
    other.base = other.latest;
  }
  return true;
}

}  // namespace daisywinch
