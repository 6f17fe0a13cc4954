#ifndef DAISYWINCH_COORDINATION_MESH_DIRECTORY_H
#define DAISYWINCH_COORDINATION_MESH_DIRECTORY_H

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "state/clock.h"
#include "state/mesh_configuration.h"
#include "state/mesh_view.h"

namespace daisywinch {

/// The configuration, targets and evacuated data centres as this node knows
/// them from the platform's store.
///
/// Keeps the highest configuration version that was ever accepted. While the
/// store is unreachable, and for a grace period of about two seconds after the
/// outage, targets whose records disappear are kept: a record may have expired
/// during the outage although its target is alive and will register again.
///
/// Not thread-safe.
class MeshDirectory {
 public:
  /// Applies a configuration; returns false if it is not newer than the current
  /// one.
  bool ApplyConfiguration(std::shared_ptr<const MeshConfiguration> offered);
  void ApplyTarget(const MeshTarget& target);
  /// Removes a target whose record is gone from the store. During an outage or
  /// its grace period, the removal is deferred.
  void RemoveTarget(const std::string& id, TimePoint now);
  void SetEvacuated(const std::string& data_centre, bool is_evacuated);

  /// Applies a complete listing of the store: removes all targets that are not
  /// among `ids` and returns their ids. During an outage or its grace period,
  /// the removal is deferred.
  std::vector<std::string> RetainTargets(const std::set<std::string>& ids,
                                         TimePoint now);
  void ReplaceEvacuated(const std::set<std::string>& data_centres);

  /// Records that the store does not answer this node.
  void MarkStoreUnreachable() { this->is_store_unreachable = true; }
  /// Records that the store answers again, `outage` after its last answer;
  /// returns whether it had been unreachable. An outage of 2 s or more starts
  /// the grace period.
  bool MarkStoreReachable(Duration outage, TimePoint now);
  /// Extends the grace period to `deadline` at least, because another node has
  /// reported an outage.
  void ExtendExpiryGrace(TimePoint deadline);
  /// Time left of the grace period; zero if there is none.
  Duration ExpiryGraceLeft(TimePoint now) const;

  /// Removes the targets whose deferred removal is due; returns whether there
  /// were any.
  bool RemoveOverdueTargets(TimePoint now);

  /// Version of the current configuration; 0 if there is none.
  std::uint64_t ConfigurationVersion() const {
    return this->configuration ? this->configuration->Version() : 0;
  }
  std::shared_ptr<const MeshView> MakeView() const;

 private:
  std::shared_ptr<const MeshConfiguration> configuration;
  std::map<std::string, MeshTarget> targets;
  std::set<std::string> evacuated;
  /// Targets whose records disappeared during an outage of the store or its
  /// grace period, with the time at which to remove them.
  std::map<std::string, TimePoint> pending_removals;
  bool is_store_unreachable = false;
  /// End of the grace period, until which the targets of expired records may
  /// register again.
  std::optional<TimePoint> expiry_grace_end;
};

}  // namespace daisywinch

#endif  // DAISYWINCH_COORDINATION_MESH_DIRECTORY_H
