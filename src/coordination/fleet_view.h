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

/// Result of offering a configuration or VM list to a node.
enum class OfferResult {
  kApplied,
  /// This version is already applied.
  kSameVersion,
  /// A higher version is already applied.
  kOlderVersion,
  /// Malformed or not valid; the applied document stays unchanged.
  kInvalid,
};

/// The newest configuration and VM list that this node has received from any
/// source.
///
/// Documents are applied only in increasing version order. Snapshots are
/// published to the traffic threads only after StartPublishing(), so that a
/// starting node does not serve with documents that its peers have already
/// replaced by higher versions. Not thread-safe; used on the control thread.
class FleetView {
 public:
  explicit FleetView(SnapshotHolder& snapshots);

  /// Parses, validates and applies a JSON document if its version is higher
  /// than that of the applied one.
  OfferResult OfferConfiguration(std::string_view text);
  OfferResult OfferVmList(std::string_view text);
  /// Sets the VMs that failure detection suspects to be down.
  void SetSuspectedVms(const std::set<std::string>& vms);

  /// Version of the applied document; 0 before the first.
  std::uint64_t ConfigurationVersion() const;
  std::uint64_t VmListVersion() const;
  /// Unparsed text of the applied document; empty before the first.
  const std::string& ConfigurationText() const {
    return this->configuration_text;
  }
  const std::string& VmListText() const { return this->vm_list_text; }
  const VmList& CurrentVmList() const { return this->vm_list; }
  const std::optional<Configuration>& CurrentConfiguration() const {
    return this->configuration;
  }
  /// The newest snapshot, published or not; null until both documents have
  /// been applied.
  std::shared_ptr<const Snapshot> NewestSnapshot() const {
    return this->newest_snapshot;
  }

  /// Publishes the newest snapshot, if any, and from now on every change.
  void StartPublishing();
  /// Whether a snapshot has been published.
  bool IsReady() const { return this->is_publishing && this->newest_snapshot; }

  /// Validation errors of the last document that was offered; empty if it was
  /// valid.
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
