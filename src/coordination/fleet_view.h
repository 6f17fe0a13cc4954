#ifndef DAISYWINCH_COORDINATION_FLEET_VIEW_H
#define DAISYWINCH_COORDINATION_FLEET_VIEW_H

#include <cstdint>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>

#include "state/configuration.h"
#include "state/snapshot.h"
#include "state/vm_list.h"

namespace daisywinch {

/// What became of a document that was offered to a node.
enum class OfferResult {
  kApplied,
  /// The same version is in force already.
  kSameVersion,
  /// A higher version is in force.
  kOlderVersion,
  /// Not valid; the last one stays in force.
  kInvalid,
};

/// The newest configuration and VM list that this node knows, from any source.
///
/// Versions only rise. Once released, every accepted change is published as a
/// snapshot; before that a starting node may still learn of higher versions.
/// Belongs to the control thread.
class FleetView {
 public:
  explicit FleetView(SnapshotHolder& snapshots);

  OfferResult OfferConfiguration(std::string_view text);
  OfferResult OfferVmList(std::string_view text);
  void SetSuspectedVms(const std::set<std::string>& vms);

  std::uint64_t ConfigurationVersion() const;
  std::uint64_t VmListVersion() const;
  /// The accepted documents as they were read; empty before the first.
  const std::string& ConfigurationText() const {
    return this->configuration_text;
  }
  const std::string& VmListText() const { return this->vm_list_text; }
  const VmList& CurrentVmList() const { return this->vm_list; }
  const std::optional<Configuration>& CurrentConfiguration() const {
    return this->configuration;
  }
  /// The newest snapshot, published or not; null before both documents came.
  std::shared_ptr<const Snapshot> NewestSnapshot() const {
    return this->newest_snapshot;
  }

  /// Publishes what is known and from now on every change.
  void StartPublishing();
  /// Whether snapshots are published.
  bool IsReady() const { return this->is_publishing && this->newest_snapshot; }

  /// What is wrong with the last document that was not valid.
  const std::string& LastValidationError() const {
    return this->last_validation_error;
  }

 private:
  void Publish();

  SnapshotHolder& snapshots;
  std::optional<Configuration> configuration;
  std::string configuration_text;
  VmList vm_list;
  std::string vm_list_text;
  std::set<std::string> suspected_vms;
  std::shared_ptr<const Snapshot> newest_snapshot;
  bool is_publishing = false;
  std::string last_validation_error;
};

}  // namespace daisywinch

#endif  // DAISYWINCH_COORDINATION_FLEET_VIEW_H
