#ifndef DAISYWINCH_TESTS_SUPPORT_MESH_FLEET_H
#define DAISYWINCH_TESTS_SUPPORT_MESH_FLEET_H

#include <cstdint>
#include <memory>
#include <string>
#include <vector>

#include <boost/json.hpp>

#include "support/http_caller.h"
#include "support/loopback_proxy.h"
#include "support/process.h"

namespace daisywinch::test {

/// A VM of a mesh fleet. Its connections to the store and to its target, and
/// those from other nodes to it, go through proxies.
struct MeshVm {
  std::string name;
  std::string data_centre;
  std::string service;
  std::string target_id;
  /// Start of the target's run, as its record says.
  std::int64_t target_born = 1;
  Address caller_address;
  Address peer_address;
  Address ready_address;
  Address news_address;
  Address operator_address;
  /// Address of the target itself, and of its proxy, which the node connects
  /// to.
  Address target_address;
  Address target_proxy_address;
  Address peer_proxy_address;
  Address store_proxy_address;
  std::unique_ptr<Process> node_process;
  std::unique_ptr<Process> target_process;
  std::unique_ptr<LoopbackProxy> target_proxy;
  std::unique_ptr<LoopbackProxy> peer_proxy;
  std::unique_ptr<LoopbackProxy> store_proxy;
};

/// Runs the store, targets and nodes of the mesh interface as processes, on
/// loopback addresses that no other test process uses.
///
/// The services are "front" and "back", the customers "school" and "clinic"
/// with the keys "key-of-school" and "key-of-clinic". The routes are look
/// (safe) and book (not repeatable) to "front", and stock (safe) and reserve
/// (not repeatable), both open to all, to "back".
class MeshFleet {
 public:
  MeshFleet();
  ~MeshFleet();

  /// Adds a VM; call before Start().
  MeshVm& AddVm(const std::string& data_centre, const std::string& service);
  /// Starts all processes and returns when every node is ready. Throws
  /// std::runtime_error if that takes too long.
  void Start();

  /// Writes the settings and starts the node with them.
  void StartNode(MeshVm& vm);
  /// Starts the node with its settings file as it is.
  void RunNode(MeshVm& vm);
  boost::json::object MakeSettings(const MeshVm& vm);
  std::string SettingsFile(const MeshVm& vm) const;
  void WriteSettings(const MeshVm& vm, const std::string& text);
  void StartTarget(MeshVm& vm);
  /// Starts the next run of a target whose process has ended, and registers it.
  void RestartTarget(MeshVm& vm);
  bool IsReady(const MeshVm& vm);

  /// Writes the configuration. An empty `school_key` withdraws the key.
  /// `objective` is the latency objective of all routes.
  void PublishConfiguration(int version,
                            const std::string& school_key,
                            const std::string& objective = "1000ms");
  /// `sequence` counts the writes of the target's record.
  void PublishTarget(const MeshVm& vm, bool is_leaving, int sequence = 1);
  void PutKey(const std::string& key, const std::string& value);
  void RemoveKey(const std::string& key);
  /// Changes the behaviour of the store, such as "down=1&gone=1".
  void SetStoreBehaviour(const std::string& query);
  std::uint64_t GetStoreRevision();
  /// Takes the store back to an earlier revision, in a new era.
  void RestoreStore(std::uint64_t revision);
  void SetTargetBehaviour(const MeshVm& vm, const std::string& query);
  /// Returns the requests that a target started.
  boost::json::array GetRuns(const MeshVm& vm);
  std::string ReadNodeLog(const MeshVm& vm);

  /// Sends a call to a node with a caller's headers, and with a new attempt id
  /// if `attempt_id` is empty.
  HttpResponse SendAttempt(const MeshVm& vm,
                           Call call,
                           std::string attempt_id = "");

  std::vector<std::unique_ptr<MeshVm>>& Vms() { return this->vms; }
  const Address& StoreAddress() const { return this->store_address; }
  const std::string& Folder() const { return this->folder; }

  static constexpr char kHost[] = "shop.example";
  static constexpr char kSchoolKey[] = "key-of-school";

 private:
  Address MakeAddress(int host, int port) const;

  std::string binaries;
  std::string folder;
  int fleet_number = 0;
  int next_attempt_number = 1;
  Address store_address;
  std::unique_ptr<Process> store_process;
  std::vector<std::unique_ptr<MeshVm>> vms;
};

/// Adds the headers that a caller sends with each attempt: host, attempt id and
/// timeout.
Call AddAttemptHeaders(Call call,
                       const std::string& attempt_id,
                       Duration timeout = std::chrono::seconds(3));

}  // namespace daisywinch::test

#endif  // DAISYWINCH_TESTS_SUPPORT_MESH_FLEET_H
