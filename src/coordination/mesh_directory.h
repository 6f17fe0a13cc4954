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

/// What this node believes of configuration, targets and evacuations, from
/// what the platform's store says.
///
/// Keeps the highest configuration that was ever accepted. While the store
/// cannot be read, and for a short time after its return, a target that
/// vanished from it is kept: its entry may have lapsed although it lives.
class MeshDirectory {
 public:
  /// Takes a configuration; false if it is not newer than the one in force.
  bool ApplyConfiguration(std::shared_ptr<const MeshConfiguration> offered);
  void ApplyTarget(const MeshTarget& target);
  void RemoveTarget(const std::string& id, TimePoint now);
  void SetEvacuated(const std::string& data_centre, bool is_evacuated);

  /// Takes the whole list of what stands in the store: what is not named in
  /// it is removed, and returned.
  std::vector<std::string> RetainTargets(const std::set<std::string>& ids,
                                         TimePoint now);
  void ReplaceEvacuated(const std::set<std::string>& data_centres);

  /// The store does not answer this node.
  void MarkStoreUnreachable() { this->is_store_unreachable = true; }
  /// The store has answered again, after a time without an answer; true if it
  /// had been lost.
  bool MarkStoreReachable(Duration outage, TimePoint now);
  /// Entries may return until then, as another node has seen an outage.
  void ExtendExpiryGrace(TimePoint deadline);
  /// How long lapsed entries may still return.
  Duration ExpiryGraceLeft(TimePoint now) const;

  /// Removes the targets whose time is over; true if there were any.
  bool RemoveOverdueTargets(TimePoint now);

  std::uint64_t ConfigurationVersion() const {
    return this->configuration ? this->configuration->Version() : 0;
  }
  std::shared_ptr<const MeshView> MakeView() const;

 private:
  std::shared_ptr<const MeshConfiguration> configuration;
  std::map<std::string, MeshTarget> targets;
  std::set<std::string> evacuated;
  /// Targets that vanished around an outage of the store, and when to believe
  /// it.
  std::map<std::string, TimePoint> pending_removals;
  bool is_store_unreachable = false;
  /// End of the time in which lapsed entries may return.
  std::optional<TimePoint> expiry_grace_end;
};

}  // namespace daisywinch

#endif  // DAISYWINCH_COORDINATION_MESH_DIRECTORY_H
