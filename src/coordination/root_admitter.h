#ifndef DAISYWINCH_COORDINATION_ROOT_ADMITTER_H
#define DAISYWINCH_COORDINATION_ROOT_ADMITTER_H

#include <map>
#include <string>

#include "coordination/fleet_load.h"
#include "coordination/traffic_sum.h"
#include "state/clock.h"
#include "state/decayed_rate.h"
#include "state/mesh_configuration.h"
#include "state/root_admission.h"

namespace daisywinch {

/// Decides at one ingress which root requests start; answers load that exceeds
/// the capacity of a service deep in the call graph.
///
/// A root request that starts although its tree can't be completed wastes all
/// the work done for it. So each class is admitted in the fraction that
/// FleetLoad computes from the load of the whole fleet. Evenly spaced requests
/// of a class are admitted, so that every ingress keeps to the fraction.
///
/// Not thread-safe.
class RootAdmitter {
 public:
  /// Counts a root request of the class and returns whether it is admitted.
  bool Admit(const RootClass& root_class,
             const MeshConfiguration& configuration,
             TimePoint now);

  /// Applies the load of the whole fleet, as a relay sent it.
  void ApplyFleetLoad(LoadSum sum, TimePoint now);
  /// Applies this node's own load. It is used only while no load of the fleet
  /// arrives, which includes this node's.
  void ApplyLocalLoad(const std::string& node,
                      const NodeLoad& load,
                      TimePoint now);

  /// Records that an admitted root request was answered with success.
  void RecordServed(const RootClass& root_class, TimePoint now);
  /// Records the end of a nested call of the local target; `is_refused` if no
  /// target of the service had a free slot for it, or the targets refused it
  /// themselves.
  void RecordNestedCall(const std::string& service,
                        bool is_refused,
                        TimePoint now);

  /// Adds the root requests and nested calls at this node to its update for the
  /// other nodes; their rate is remembered as sent.
  void AddTraffic(NodeLoad& load, TimePoint now);
  /// Whether the offered load has grown so much since the last AddTraffic()
  /// that the other nodes should learn of it at once.
  bool HasUrgentGrowth(TimePoint now) const;

  /// Admitted fraction of each class, from 0 to 1, at the last computation, and
  /// the time of that computation. Classes without an entry are admitted.
  const std::map<RootClass, double>& Fractions() const {
    return this->fractions;
  }
  double FractionOf(const RootClass& root_class) const;
  TimePoint ComputedAt() const { return this->computed_at; }
  const FleetLoad& Load() const { return this->fleet_load; }

 private:
  /// Short, so that refusals end to count soon after there is room.
  static constexpr std::chrono::milliseconds kNestedTimeConstant{500};

  /// Forgets classes and services without recent traffic.
  void ForgetIdle(TimePoint now);
  /// Offered load of all classes, in requests per second.
  double OfferedRate(TimePoint now) const;

  FleetLoad fleet_load;
  TimePoint fleet_load_at;
  struct RootRates {
    DecayedRate offered;
    DecayedRate served;
  };
  struct NestedRates {
    DecayedRate calls = DecayedRate(kNestedTimeConstant);
    DecayedRate refused = DecayedRate(kNestedTimeConstant);
    /// Rate of refused calls at the last AddTraffic().
    double sent_refused = 0;
  };

  std::map<RootClass, RootRates> roots;
  std::map<std::string, NestedRates> nested;
  /// Sum of the offered rates at the last AddTraffic().
  double sent_rate = 0;
  std::map<RootClass, double> fractions;
  /// Fractions accumulated over the requests of each class; a request is
  /// admitted when the sum reaches 1.
  std::map<RootClass, double> credits;
  TimePoint computed_at;
};

}  // namespace daisywinch

#endif  // DAISYWINCH_COORDINATION_ROOT_ADMITTER_H
