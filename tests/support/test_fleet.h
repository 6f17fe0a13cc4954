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
  Address caller;
  Address peer;
  Address control;
  Address operators;
  Address target;
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
  bool IsServing(const TestVm& vm);

  void StartNode(TestVm& vm);
  void StartTarget(TestVm& vm);
  void Publish(const Configuration& configuration);
  /// Publishes the VM list, leaving out or marking some VMs.
  void PublishVmList(const std::vector<std::string>& leaving = {},
                     const std::vector<std::string>& removed = {});
  /// Changes the platform's mode, such as "down=1" or "port=0&stale=1".
  void SetPlatformMode(const std::string& query);
  std::uint64_t PlatformReads();

  TestVm& GetVm(const std::string& name);
  std::vector<std::unique_ptr<TestVm>>& Vms() { return this->vms; }
  boost::json::value Status(const TestVm& vm);
  boost::json::value TargetLog(const TestVm& vm);
  /// The requests that a target began to run.
  boost::json::array Runs(const TestVm& vm);
  void SetTarget(const TestVm& vm, const std::string& query);
  const std::string& Folder() const { return this->folder; }

  static constexpr char kFleetSecret[] = "00112233445566778899aabbccddeeff";

 private:
  Address MakeAddress(int host, int port) const;
  Address PlatformAddress(const std::string& data_centre);

  std::string binaries;
  std::string folder;
  std::vector<std::unique_ptr<TestVm>> vms;
  std::vector<std::string> data_centres;
  std::unique_ptr<Process> platform;
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
std::string KeyOf(const std::string& customer);

/// Two data centres, the services "front" and "back", the customers "school"
/// and "clinic", and a route of each kind.
std::string StandardAnswers(int version);

}  // namespace daisywinch::test

#endif  // DAISYWINCH_TESTS_SUPPORT_TEST_FLEET_H
