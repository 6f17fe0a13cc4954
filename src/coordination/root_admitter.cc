#include "coordination/root_admitter.h"

#include <algorithm>
#include <utility>

namespace daisywinch {

namespace {

/// Interval between two computations of the admitted fractions.
constexpr std::chrono::milliseconds kComputationInterval{100};
/// Growth is urgent when the offered load exceeds the sent one by this factor
/// plus this many requests per second; about three times the variation of
/// steady traffic.
constexpr double kUrgentGrowthFactor = 1.3;
constexpr double kUrgentRateIncrease = 4;
/// Refused nested calls are urgent when their rate has grown by this fraction
/// of the calls plus this many calls per second.
constexpr double kUrgentRefusedFraction = 0.05;
constexpr double kUrgentRefusedIncrease = 2;
/// Rate below which a class is not reported, in requests per second.
constexpr double kMinReportedRate = 0.05;
/// Rates below which a class or service is forgotten, per second.
constexpr double kMinRememberedRate = 1e-6;
/// Time without the load of the fleet after which the local load is used.
constexpr std::chrono::milliseconds kFleetLoadTimeout{2500};
/// Name of the load of the whole fleet.
constexpr char kFleet[] = "fleet";

}  // namespace

bool RootAdmitter::Admit(const RootClass& root_class,
                         const MeshConfiguration& configuration,
                         TimePoint now) {
  this->roots[root_class].offered.Add(1, now);
  if (now - this->computed_at >= kComputationInterval) {
    this->computed_at = now;
    this->fractions = this->fleet_load.AdmittedFractions(configuration, now);
  }
  const double fraction = this->FractionOf(root_class);
  if (fraction >= 1) {
    return true;
  }
  double& credit = this->credits[root_class];
  credit += fraction;
  if (credit < 1) {
    return false;
  }
  credit -= 1;
  return true;
}

void RootAdmitter::ApplyFleetLoad(LoadSum sum, TimePoint now) {
  this->fleet_load.ApplyLoadSum(kFleet, std::move(sum), now);
  this->fleet_load_at = now;
}

void RootAdmitter::ApplyLocalLoad(const std::string& node,
                                  const NodeLoad& load,
                                  TimePoint now) {
  if (now - this->fleet_load_at > kFleetLoadTimeout) {
    this->fleet_load.ApplyNodeLoad(node, load, now);
  }
}

void RootAdmitter::RecordServed(const RootClass& root_class, TimePoint now) {
  this->roots[root_class].served.Add(1, now);
}

void RootAdmitter::RecordNestedCall(const std::string& service,
                                    bool is_refused,
                                    TimePoint now) {
  NestedRates& rates = this->nested[service];
  rates.calls.Add(1, now);
  rates.refused.Add(is_refused ? 1 : 0, now);
}

double RootAdmitter::OfferedRate(TimePoint now) const {
  double sum = 0;
  for (const auto& [root_class, rates] : this->roots) {
    sum += rates.offered.PerSecond(now);
  }
  return sum;
}

void RootAdmitter::ForgetIdle(TimePoint now) {
  std::erase_if(this->roots, [now](const auto& entry) {
    return entry.second.offered.PerSecond(now) < kMinRememberedRate &&
           entry.second.served.PerSecond(now) < kMinRememberedRate;
  });
  std::erase_if(this->credits, [this](const auto& entry) {
    return !this->roots.contains(entry.first);
  });
  std::erase_if(this->nested, [now](const auto& entry) {
    return entry.second.calls.PerSecond(now) < kMinRememberedRate;
  });
}

void RootAdmitter::AddTraffic(NodeLoad& load, TimePoint now) {
  this->ForgetIdle(now);
  this->sent_rate = this->OfferedRate(now);
  for (const auto& [root_class, rates] : this->roots) {
    const double offered = rates.offered.PerSecond(now);
    if (offered >= kMinReportedRate) {
      load.roots[root_class] = {offered, rates.served.PerSecond(now)};
    }
  }
  for (auto& [service, rates] : this->nested) {
    const double calls = rates.calls.PerSecond(now);
    rates.sent_refused = rates.refused.PerSecond(now);
    if (calls >= kMinReportedRate) {
      load.nested[service] = {calls, rates.sent_refused};
    }
  }
}

bool RootAdmitter::HasUrgentGrowth(TimePoint now) const {
  const bool has_refusals = std::any_of(
      this->nested.begin(), this->nested.end(), [now](const auto& entry) {
        const NestedRates& rates = entry.second;
        return rates.refused.PerSecond(now) >
               rates.sent_refused +
                   kUrgentRefusedFraction * rates.calls.PerSecond(now) +
                   kUrgentRefusedIncrease;
      });
  return has_refusals ||
         this->OfferedRate(now) >
             kUrgentGrowthFactor * this->sent_rate + kUrgentRateIncrease;
}

double RootAdmitter::FractionOf(const RootClass& root_class) const {
  const auto found = this->fractions.find(root_class);
  return found == this->fractions.end() ? 1 : found->second;
}

}  // namespace daisywinch
