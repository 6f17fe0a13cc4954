#ifndef DAISYWINCH_STATE_SNAPSHOT_H
#define DAISYWINCH_STATE_SNAPSHOT_H

#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "state/configuration.h"
#include "state/key_table.h"
#include "state/route_table.h"
#include "state/vm_list.h"

namespace daisywinch {

/// Everything that traffic threads decide by; never changes once published.
class Snapshot {
 public:
  Snapshot(Configuration configuration,
           VmList vm_list,
           std::set<std::string> suspected_vms);

  // Tables point into the configuration.
  Snapshot(const Snapshot&) = delete;
  Snapshot& operator=(const Snapshot&) = delete;

  const Configuration& CurrentConfiguration() const {
    return this->configuration;
  }
  const VmList& CurrentVmList() const { return this->vm_list; }
  const KeyTable& Keys() const { return this->keys; }
  const RouteTable& Routes() const { return this->routes; }

  /// VMs of a service that may be given new work: listed, not leaving, and in
  /// a data centre that is in service.
  const std::vector<Vm>& Targets(std::string_view service) const;

  bool IsSuspected(std::string_view vm) const;

 private:
  Configuration configuration;
  VmList vm_list;
  KeyTable keys;
  RouteTable routes;
  std::unordered_map<std::string, std::vector<Vm>> targets_by_service;
  std::set<std::string, std::less<>> suspected_vms;
};

/// Hands the newest snapshot from the control thread to traffic threads.
///
/// The lock is held for the copy of a pointer only. (The atomic shared pointer
/// of libstdc++ 12 reads without the ordering that a reader needs.)
class SnapshotHolder {
 public:
  std::shared_ptr<const Snapshot> Load() const {
    const std::lock_guard lock(this->mutex);
    return this->current;
  }
  void Publish(std::shared_ptr<const Snapshot> next) {
    const std::lock_guard lock(this->mutex);
    this->current.swap(next);
  }

 private:
  mutable std::mutex mutex;
  std::shared_ptr<const Snapshot> current;
};

}  // namespace daisywinch

#endif  // DAISYWINCH_STATE_SNAPSHOT_H
