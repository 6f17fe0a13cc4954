#ifndef DAISYWINCH_TESTS_SUPPORT_MESH_FLEET_H
#define DAISYWINCH_TESTS_SUPPORT_MESH_FLEET_H

#include <memory>
#include <string>
#include <vector>

#include <boost/json.hpp>

#include "support/http_caller.h"
#include "support/loopback_proxy.h"
#include "support/process.h"

namespace daisywinch::test {

/// One VM of a mesh fleet. Its links to the store and to its target, and those
/// of the others to it, go through proxies.
struct MeshVm {
  std::string name;
  std::string data_centre;
  std::string service;
  std::string target_id;
  Address caller_address;
  Address peer_address;
  Address ready_address;
  Address news_address;
  Address operator_address;
  /// Where the target listens, and where the node finds it.
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

/// Store, targets and nodes of the mesh interface as processes on loopback
/// addresses of this test program's own.
///
/// Services "front" and "back"; the customers "school" with "key-of-school"
/// and "clinic"; routes look (safe), book (not repeatable) to "front" and
/// stock (safe, open) to "back".
class MeshFleet {
 public:
  MeshFleet();
  ~MeshFleet();

  MeshVm& AddVm(const std::string& data_centre, const std::string& service);
  /// Starts everything; returns once every node is ready.
  void Start();

  void StartNode(MeshVm& vm);
  void StartTarget(MeshVm& vm);
  bool IsReady(const MeshVm& vm);

  /// Writes the configuration; `school_key` is empty when it is withdrawn.
  void PublishConfiguration(int version, const std::string& school_key);
  void PublishTarget(const MeshVm& vm, bool is_leaving);
  void PutKey(const std::string& key, const std::string& value);
  void RemoveKey(const std::string& key);
  void SetStoreBehaviour(const std::string& query);
  void SetTargetBehaviour(const MeshVm& vm, const std::string& query);
  /// The requests that a target began to run.
  boost::json::array GetRuns(const MeshVm& vm);
  std::string ReadNodeLog(const MeshVm& vm);

  /// Sends a try of a caller, with a fresh attempt id unless one is given.
  HttpResponse SendAttempt(const MeshVm& vm,
                           Call call,
                           std::string attempt_id = "");

  std::vector<std::unique_ptr<MeshVm>>& Vms() { return this->vms; }
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

/// The call with the headers of a caller's try.
Call AddAttemptHeaders(Call call,
                       const std::string& attempt_id,
                       Duration timeout = std::chrono::seconds(3));

}  // namespace daisywinch::test

#endif  // DAISYWINCH_TESTS_SUPPORT_MESH_FLEET_H
