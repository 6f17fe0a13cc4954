#ifndef DAISYWINCH_STATE_MESH_VIEW_H
#define DAISYWINCH_STATE_MESH_VIEW_H

#include <cstdint>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "state/clock.h"
#include "state/mesh_configuration.h"
#include "state/published.h"
#include "state/settings.h"

namespace daisywinch {

/// One run of a target, as registered in the store.
struct MeshTarget {
  /// Identifies the target; a restarted target may keep its id.
  std::string id;
  Address address;
  std::string service;
  std::string data_centre;
  /// Requests that the target can run concurrently.
  int slots = 1;
  bool leaving = false;
  /// Time for which the target stays cold, counted from its last change.
  Duration cold_left = Duration::zero();
  /// Unix time in milliseconds at which this run started; 0 if unknown.
  std::int64_t born = 0;
  /// Rises with each report of this run; 0 if unknown.
  std::uint64_t sequence = 0;

  friend bool operator==(const MeshTarget&, const MeshTarget&) = default;
};

/// Immutable view of the configuration and the targets, by which the traffic
/// thread routes requests.
class MeshView {
 public:
  MeshView(std::shared_ptr<const MeshConfiguration> configuration,
           std::map<std::string, MeshTarget> targets,
           std::set<std::string> evacuated);

  // `usable_targets` points into `targets`.
  MeshView(const MeshView&) = delete;
  MeshView& operator=(const MeshView&) = delete;

  /// Null until a configuration was read.
  const std::shared_ptr<const MeshConfiguration>& Configuration() const {
    return this->configuration;
  }
  const std::map<std::string, MeshTarget>& Targets() const {
    return this->targets;
  }

  /// Targets of a service that may get new requests: not leaving, in a data
  /// centre that is in service, and the latest run at their address.
  const std::vector<const MeshTarget*>& UsableTargets(
      std::string_view service) const;
  /// The target at an address; null if none is registered there. If there are
  /// several, the one that started last.
  const MeshTarget* FindAt(const Address& address) const;
  bool IsEvacuated(std::string_view data_centre) const;
  /// IP addresses of all VMs with registered targets.
  std::set<std::string> VmAddresses() const;
  /// IP addresses of all VMs with registered targets, by data centre.
  std::map<std::string, std::set<std::string>> VmsByDataCentre() const;

 private:
  std::shared_ptr<const MeshConfiguration> configuration;
  std::map<std::string, MeshTarget> targets;
  std::set<std::string, std::less<>> evacuated;
  std::map<std::string, std::vector<const MeshTarget*>, std::less<>>
      usable_targets;
};

using MeshViewHolder = Published<MeshView>;

}  // namespace daisywinch

#endif  // DAISYWINCH_STATE_MESH_VIEW_H
