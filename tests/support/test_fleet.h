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

/// A VM of a test fleet: a node and its local target.
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

/// Runs a platform, targets and nodes as processes, on loopback addresses that
/// no other test process uses.
class TestFleet {
 public:
  TestFleet();
  ~TestFleet();

  /// Adds a VM; call before Start().
  TestVm& AddVm(const std::string& data_centre,
                const std::string& service,
                const std::vector<std::string>& target_flags = {});

  /// Publishes the configuration and the VM list, starts all processes and
  /// returns when every node is ready. Throws std::runtime_error if that takes
  /// too long.
  void Start(const Configuration& configuration);

  /// Whether a node is ready and mints its fraction of every customer's tokens.
  bool IsReadyAndMinting(const TestVm& vm);

  /// Writes the settings and starts the node with them.
  void StartNode(TestVm& vm);
  /// Starts the node with its settings file as it is.
  void RunNode(TestVm& vm);
  boost::json::object MakeSettings(const TestVm& vm);
  std::string SettingsFile(const TestVm& vm) const;
  void WriteSettings(const TestVm& vm, const std::string& text);
  void StartTarget(TestVm& vm);
  void PublishConfiguration(const Configuration& configuration);
  /// Publishes a VM list without the VMs in `removed`, in which the VMs in
  /// `leaving` are marked as leaving.
  void PublishVmList(const std::vector<std::string>& leaving = {},
                     const std::vector<std::string>& removed = {});
  /// Changes the behaviour of the platform, such as "down=1" or
  /// "port=0&stale=1", where `port` is the index of a data centre.
  void SetPlatformBehaviour(const std::string& query);
  /// Number of reads that the platform has received on all addresses.
  std::uint64_t PlatformReadCount();

  /// Throws std::runtime_error if there is no such VM.
  TestVm& GetVm(const std::string& name);
  std::vector<std::unique_ptr<TestVm>>& Vms() { return this->vms; }
  std::string ReadNodeLog(const TestVm& vm);
  boost::json::value GetStatus(const TestVm& vm);
  boost::json::value GetTargetLog(const TestVm& vm);
  /// Returns the requests that a target started.
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

/// Waits until a condition holds. Returns false if the timeout passes first.
bool WaitUntil(const std::function<bool()>& condition,
               Duration timeout = std::chrono::seconds(10));

/// Generates a configuration from the answers of a questionnaire, written as
/// JSON with comments. Throws std::runtime_error if they are not valid.
Configuration MakeConfiguration(const std::string& answers);

/// Returns the API key of a customer of StandardAnswers().
std::string ApiKeyForCustomer(const std::string& customer);

/// Answers with two data centres, the services "front" and "back", the
/// customers "school" and "clinic", and a route of each kind.
std::string StandardAnswers(int version);

}  // namespace daisywinch::test

#endif  // DAISYWINCH_TESTS_SUPPORT_TEST_FLEET_H
