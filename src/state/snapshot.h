#ifndef DAISYWINCH_STATE_SNAPSHOT_H
#define DAISYWINCH_STATE_SNAPSHOT_H

#include <memory>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "state/configuration.h"
#include "state/key_table.h"
#include "state/published.h"
#include "state/route_table.h"
#include "state/vm_list.h"

namespace daisywinch {

/// Immutable view of the configuration and the VM list, by which the traffic
/// threads route requests.
class Snapshot {
 public:
  Snapshot(Configuration configuration,
           VmList vm_list,
           std::set<std::string> suspected_vms);

  // The route table points into the configuration.
  Snapshot(const Snapshot&) = delete;
  Snapshot& operator=(const Snapshot&) = delete;

  const Configuration& CurrentConfiguration() const {
    return this->configuration;
  }
  const VmList& CurrentVmList() const { return this->vm_list; }
  const KeyTable& Keys() const { return this->keys; }
  const RouteTable& Routes() const { return this->routes; }

  /// VMs of a service whose targets may get new requests: listed, not leaving,
  /// and in a data centre that is in service.
  const std::vector<Vm>& Targets(std::string_view service) const;

  /// Whether the VM's node is suspected to have failed.
  bool IsSuspected(std::string_view vm) const;

 private:
  Configuration configuration;
  VmList vm_list;
  KeyTable keys;
  RouteTable routes;
  std::unordered_map<std::string, std::vector<Vm>> targets_by_service;
  std::set<std::string, std::less<>> suspected_vms;
};

/// Publishes the latest snapshot to the traffic threads.
using SnapshotHolder = Published<Snapshot>;

}  // namespace daisywinch

#endif  // DAISYWINCH_STATE_SNAPSHOT_H
