#ifndef DAISYWINCH_TESTS_SUPPORT_TEST_FLEET_H
#define DAISYWINCH_TESTS_SUPPORT_TEST_FLEET_H

#include <functional>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "state/configuration.h"
#include "state/vm_list.h"
#include "support/http_caller.h"
#include "support/process.h"

namespace daisywinch::test {

/// One VM of a test fleet: a node and the target beside it.
struct TestVm {
  std::string name;
  std::string data_centre;
  std::string service;
  Address caller_address;
  Address peer_address;
  Address control_address;
  Address operator_address;
  Address target_address;
  std::vector<std::string> target_flags;
  std::unique_ptr<Process> node_process;
  std::unique_ptr<Process> target_process;
};

/// A platform, targets and nodes as processes on loopback addresses of this
/// test program's own.
class TestFleet {
 public:
  TestFleet();
  ~TestFleet();

  /// Adds a VM; call before Start().
  TestVm& AddVm(const std::string& data_centre,
                const std::string& service,
                const std::vector<std::string>& target_flags = {});

  /// Publishes and starts everything; returns once every node is ready.
  void Start(const Configuration& configuration);

  /// Whether a node is ready and mints its part of every customer's tokens.
  bool IsReadyAndMinting(const TestVm& vm);

  void StartNode(TestVm& vm);
  void StartTarget(TestVm& vm);
  void PublishConfiguration(const Configuration& configuration);
  /// Publishes the VM list, leaving out or marking some VMs.
  void PublishVmList(const std::vector<std::string>& leaving = {},
                     const std::vector<std::string>& removed = {});
  /// Changes the platform's mode, such as "down=1" or "port=0&stale=1".
  void SetPlatformBehaviour(const std::string& query);
  std::uint64_t PlatformReadCount();

  TestVm& GetVm(const std::string& name);
  std::vector<std::unique_ptr<TestVm>>& Vms() { return this->vms; }
  boost::json::value GetStatus(const TestVm& vm);
  boost::json::value GetTargetLog(const TestVm& vm);
  /// The requests that a target began to run.
  boost::json::array GetRuns(const TestVm& vm);
  void SetTargetBehaviour(const TestVm& vm, const std::string& query);
  const std::string& Folder() const { return this->folder; }

  static constexpr char kFleetSecret[] = "00112233445566778899aabbccddeeff";

 private:
  Address MakeAddress(int host, int port) const;
  Address PlatformAddress(const std::string& data_centre);

  std::string binaries;
  std::string folder;
  std::vector<std::unique_ptr<TestVm>> vms;
  std::vector<std::string> data_centres;
  std::unique_ptr<Process> platform_process;
  std::uint64_t vm_list_version = 0;
  int fleet_number = 0;
};

/// Waits until a condition holds; false if the timeout passes first.
bool WaitUntil(const std::function<bool()>& condition,
               Duration timeout = std::chrono::seconds(10));

/// A configuration from answers written as JSON with comments; fails the
/// test if it is not valid.
Configuration MakeConfiguration(const std::string& answers);

/// The key of a customer in the answers of StandardAnswers().
std::string ApiKeyOf(const std::string& customer);

/// Two data centres, the services "front" and "back", the customers "school"
/// and "clinic", and a route of each kind.
std::string StandardAnswers(int version);

}  // namespace daisywinch::test

#endif  // DAISYWINCH_TESTS_SUPPORT_TEST_FLEET_H
