#ifndef DAISYWINCH_COORDINATION_MESH_DIRECTORY_H
#define DAISYWINCH_COORDINATION_MESH_DIRECTORY_H

#include <cstdint>
#include <deque>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <tuple>
#include <utility>
#include <vector>

#include "state/clock.h"
#include "state/mesh_configuration.h"
#include "state/mesh_view.h"
#include "state/store_position.h"

namespace daisywinch {

/// The configuration, targets and evacuated data centres as this node knows
/// them from the platform's store.
///
/// Keeps the highest configuration version that was ever accepted. While the
/// store is unreachable, and for a grace period of about two seconds after the
/// outage, targets whose records disappear are kept: a record may have expired
/// during the outage although its target is alive and will register again.
///
/// The store may be restored from an older copy, which begins a new era. What
/// was written since the copy is missing then, and what was removed since
/// reappears, until operators and targets write their records again. The first
/// list of an era is therefore compared with what this node knows: a missing
/// target or evacuation is kept for a grace period, and a record that was
/// already replaced or removed is held back until the store has kept it for
/// longer than it keeps the record of a target that is gone. Changes that the
/// store reports in the new era always apply.
///
/// Not thread-safe.
class MeshDirectory {
 public:
  /// Applies a configuration; returns false if it is not newer than the current
  /// one.
  bool ApplyConfiguration(std::shared_ptr<const MeshConfiguration> offered);
  /// Applies a change of a target's record.
  void ApplyTarget(const MeshTarget& target, const StorePosition& position);
  /// Applies a target's record from a list, last changed at `position`. Returns
  /// whether it is used; not so if this node knows a later state.
  bool ApplyListedTarget(const MeshTarget& target,
                         const StorePosition& position,
                         TimePoint now);
  /// Removes a target whose record was removed from the store. During an outage
  /// or its grace period, the removal is deferred.
  void RemoveTarget(const std::string& id,
                    const StorePosition& position,
                    TimePoint now);
  /// Applies a change of the record that a data centre is evacuated.
  void SetEvacuated(const std::string& data_centre,
                    bool is_evacuated,
                    const StorePosition& position);

  /// Applies a complete list, made at `position`: removes all targets that are
  /// not among `ids` and returns their ids. During an outage or its grace
  /// period, the removal is deferred.
  std::vector<std::string> RetainTargets(const std::set<std::string>& ids,
                                         const StorePosition& position,
                                         TimePoint now);
  /// Applies a complete list, made at `position`, of the evacuated data centres
  /// with the revisions of their records.
  void ReplaceEvacuated(
      const std::map<std::string, std::uint64_t>& record_revisions,
      const StorePosition& position,
      TimePoint now);

  /// Records that the store does not answer this node.
  void MarkStoreUnreachable() { this->is_store_unreachable = true; }
  /// Records that the store answers again, `outage` after its last answer;
  /// returns whether it had been unreachable. An outage of 2 s or more starts
  /// the grace period.
  bool MarkStoreReachable(Duration outage, TimePoint now);
  /// Records that the store was restored from an older copy. Starts the grace
  /// period.
  void MarkStoreRestored(TimePoint now);
  /// Extends the grace period to `deadline` at least, because another node has
  /// reported an outage.
  void ExtendExpiryGrace(TimePoint deadline);
  /// Time left of the grace period; zero if there is none.
  Duration ExpiryGraceLeft(TimePoint now) const;

  /// Applies the deferred removals, held records and deferred evacuations that
  /// are due; returns whether there were any.
  bool ApplyOverdue(TimePoint now);

  bool IsEvacuated(const std::string& data_centre) const {
    return this->evacuated.contains(data_centre);
  }
  /// Version of the current configuration; 0 if there is none.
  std::uint64_t ConfigurationVersion() const {
    return this->configuration ? this->configuration->Version() : 0;
  }
  std::shared_ptr<const MeshView> MakeView() const;

 private:
  /// State of a target by its own count.
  struct TargetAge {
    std::int64_t born = 0;
    std::uint64_t sequence = 0;

    friend bool operator==(const TargetAge&, const TargetAge&) = default;
    friend bool operator<(const TargetAge& left, const TargetAge& right) {
      return std::tie(left.born, left.sequence) <
             std::tie(right.born, right.sequence);
    }
  };

  /// What the store last reported of a target.
  struct TargetReport {
    TargetAge age;
    /// Position of the last change of the record, or of its removal.
    StorePosition position;
  };

  /// A target that left, or whose record expired.
  struct RemovedTarget {
    TargetReport report;
    TimePoint removed_at;
  };

  /// A record that is held back.
  struct HeldTarget {
    MeshTarget target;
    StorePosition position;
    TimePoint deadline;
  };

  /// What the store last reported of the evacuation of a data centre.
  struct EvacuationReport {
    bool is_evacuated = false;
    /// Position of the last write of the record.
    StorePosition written;
    /// Position of the last write or removal.
    StorePosition position;
  };

  /// A change of the evacuation of a data centre that is deferred.
  struct DeferredEvacuation {
    bool is_evacuated = false;
    StorePosition position;
    TimePoint deadline;
  };

  static TargetAge AgeOf(const MeshTarget& target) {
    return {target.born, target.sequence};
  }
  void RememberRemoval(const std::string& id,
                       const StorePosition& position,
                       TimePoint now);
  /// Removes a target, or defers that while its record may reappear.
  void RemoveOrDefer(const std::string& id, TimePoint now);
  void HoldTarget(const MeshTarget& target,
                  const StorePosition& position,
                  TimePoint now);
  void DeferEvacuation(const std::string& data_centre,
                       bool is_evacuated,
                       const StorePosition& position,
                       TimePoint now);
  void ApplyListedEvacuation(const std::string& data_centre,
                             const StorePosition& written,
                             TimePoint now);
  bool ApplyHeldTargets(TimePoint now);
  bool ApplyDeferredEvacuations(TimePoint now);

  std::shared_ptr<const MeshConfiguration> configuration;
  std::map<std::string, MeshTarget> targets;
  /// Reports of the targets in `targets`.
  std::map<std::string, TargetReport> reports;
  /// Targets that were removed lately, and their removals from the first to the
  /// last.
  std::map<std::string, RemovedTarget> removed;
  std::deque<std::pair<TimePoint, std::string>> removals;
  std::map<std::string, HeldTarget> held;
  std::set<std::string> evacuated;
  std::map<std::string, EvacuationReport> evacuation_reports;
  std::map<std::string, DeferredEvacuation> deferred_evacuations;
  /// Targets whose records disappeared during an outage of the store or a grace
  /// period, with the time at which to remove them.
  std::map<std::string, TimePoint> pending_removals;
  bool is_store_unreachable = false;
  /// End of the grace period, until which the targets of expired records may
  /// register again.
  std::optional<TimePoint> expiry_grace_end;
};

}  // namespace daisywinch

#endif  // DAISYWINCH_COORDINATION_MESH_DIRECTORY_H
