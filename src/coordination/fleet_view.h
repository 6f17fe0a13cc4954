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
enum class Acceptance {
  kInForce,
  /// The same version is in force already.
  kSame,
  /// A higher version is in force.
  kOlder,
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

  Acceptance OfferConfiguration(std::string_view text);
  Acceptance OfferVmList(std::string_view text);
  void SetSuspected(const std::set<std::string>& vms);

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
    return this->newest;
  }

  /// Publishes what is known and from now on every change.
  void Release();
  /// Whether snapshots are published.
  bool IsReady() const { return this->released && this->newest; }

  /// What is wrong with the last document that was not valid.
  const std::string& LastReason() const { return this->last_reason; }

 private:
  void Publish();

  SnapshotHolder& snapshots;
  std::optional<Configuration> configuration;
  std::string configuration_text;
  VmList vm_list;
  std::string vm_list_text;
  std::set<std::string> suspected;
  std::shared_ptr<const Snapshot> newest;
  bool released = false;
  std::string last_reason;
};

}  // namespace daisywinch

#endif  // DAISYWINCH_COORDINATION_FLEET_VIEW_H
