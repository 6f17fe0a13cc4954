#include "support/test_fleet.h"

#include <unistd.h>

#include <algorithm>
#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <stdexcept>
#include <thread>

#include "state/configuration_generator.h"
#include "state/key_digest.h"
#include "state/object_reader.h"

namespace daisywinch::test {

namespace {

constexpr int kCallerPort = 8080;
constexpr int kPeerPort = 8081;
constexpr int kControlPort = 8082;
constexpr int kOperatorPort = 8083;
constexpr int kTargetPort = 9000;
constexpr int kPlatformPort = 7000;
constexpr int kPlatformHost = 250;
constexpr std::chrono::milliseconds kPollInterval{10};
constexpr std::chrono::seconds kStartTimeout{20};
/// Time until minters have minted the first tokens.
constexpr std::chrono::milliseconds kFirstTokensDelay{200};

int next_fleet_number = 0;

}  // namespace

bool WaitUntil(const std::function<bool()>& condition, Duration timeout) {
  const TimePoint deadline = BootTime::now() + timeout;
  while (BootTime::now() < deadline) {
    if (condition()) {
      return true;
    }
    std::this_thread::sleep_for(kPollInterval);
  }
  return condition();
}

Configuration MakeConfiguration(const std::string& answers) {
  ValidationErrorList errors("answers");
  const std::optional<boost::json::value> json = ParseJson(answers, errors);
  std::optional<Configuration> configuration;
  if (json) {
    configuration = GenerateConfiguration(*json, errors);
  }
  if (!configuration) {
    throw std::runtime_error(errors.ToString());
  }
  return *configuration;
}

std::string ApiKeyForCustomer(const std::string& customer) {
  return "key-of-" + customer;
}

std::string StandardAnswers(int version) {
  return R"({
    "deployment": "test", "version": )" +
         std::to_string(version) + R"(,
    "data_centres": [
      {"name": "east", "region": "r1"}, {"name": "west", "region": "r1"},
    ],
    "services": [
      {"name": "front", "slots_per_server": 50, "connections_per_server": 200,
       "slots_when_cold": 50, "warm_up_seconds": 1, "servers": [
         {"data_centre": "east", "count": 1},
         {"data_centre": "west", "count": 1}]},
      {"name": "back", "slots_per_server": 50, "connections_per_server": 200,
       "slots_when_cold": 50, "warm_up_seconds": 1, "servers": [
         {"data_centre": "east", "count": 1},
         {"data_centre": "west", "count": 1}]},
    ],
    "customers": [
      {"name": "school", "calls_per_second": 2000, "burst_calls": 2000,
       "key_digests": [")" +
         Sha256Hex(ApiKeyForCustomer("school")) + R"("]},
      {"name": "clinic", "calls_per_second": 2000, "burst_calls": 2000,
       "key_digests": [")" +
         Sha256Hex(ApiKeyForCustomer("clinic")) + R"("]},
    ],
    "routes": [
      {"name": "look-up", "service": "front", "method": "GET",
       "path": "/points/{id}", "may_be_repeated": true},
      {"name": "open-map", "service": "front", "method": "GET",
       "path": "/map", "open_to_all": true, "may_be_repeated": true},
      {"name": "book", "service": "front", "method": "POST",
       "path": "/pickups"},
      {"name": "clinic-only", "service": "front", "method": "GET",
       "path": "/clinic", "customers": ["clinic"], "may_be_repeated": true},
      {"name": "retired-report", "service": "front", "method": "GET",
       "path": "/report", "retired": true},
      {"name": "stock", "service": "back", "method": "GET",
       "path": "/stock/{id}", "may_be_repeated": true},
      {"name": "reserve", "service": "back", "method": "POST",
       "path": "/reservations"},
    ],
    "most_important": ["book", "reserve"],
    "least_important": ["open-map"],
  })";
}

TestFleet::TestFleet() : fleet_number(next_fleet_number++) {
  const char* binaries_folder = std::getenv("DAISYWINCH_BINARIES");
  if (binaries_folder == nullptr) {
    throw std::runtime_error("set DAISYWINCH_BINARIES to the build folder");
  }
  this->binaries = binaries_folder;
  std::string pattern =
      (std::filesystem::temp_directory_path() / "daisywinch-XXXXXX").string();
  if (::mkdtemp(pattern.data()) == nullptr) {
    throw std::runtime_error("cannot create a temporary folder");
  }
  this->folder = pattern;
}

TestFleet::~TestFleet() {
  this->vms.clear();
  this->platform_process.reset();
  if (std::getenv("DAISYWINCH_KEEP_LOGS") == nullptr) {
    std::filesystem::remove_all(this->folder);
  }
}

Address TestFleet::MakeAddress(int host, int port) const {
  // Each test process and fleet uses its own loopback network. The ports are
  // below the range of ephemeral ports.
  const int process_id = static_cast<int>(::getpid());
  const int network = (process_id * 7 + this->fleet_number) % (200 * 250);
  return {"127." + std::to_string(20 + network / 250) + "." +
              std::to_string(1 + network % 250) + "." + std::to_string(host),
          static_cast<std::uint16_t>(port)};
}

TestVm& TestFleet::AddVm(const std::string& data_centre,
                         const std::string& service,
                         const std::vector<std::string>& target_flags) {
  if (std::find(this->data_centres.begin(), this->data_centres.end(),
                data_centre) == this->data_centres.end()) {
    this->data_centres.push_back(data_centre);
  }
  const int host = static_cast<int>(this->vms.size()) + 1;
  TestVm& vm = *this->vms.emplace_back(std::make_unique<TestVm>());
  vm.name = service + "-" + data_centre + "-" + std::to_string(host);
  vm.data_centre = data_centre;
  vm.service = service;
  vm.caller_address = this->MakeAddress(host, kCallerPort);
  vm.peer_address = this->MakeAddress(host, kPeerPort);
  vm.control_address = this->MakeAddress(host, kControlPort);
  vm.operator_address = this->MakeAddress(host, kOperatorPort);
  vm.target_address = this->MakeAddress(host, kTargetPort);
  vm.target_flags = target_flags;
  return vm;
}

Address TestFleet::PlatformAddress(const std::string& data_centre) {
  const auto found = std::find(this->data_centres.begin(),
                               this->data_centres.end(), data_centre);
  const int index = static_cast<int>(found - this->data_centres.begin());
  return this->MakeAddress(kPlatformHost, kPlatformPort + index);
}

void TestFleet::Start(const Configuration& configuration) {
  std::string addresses;
  for (const std::string& data_centre : this->data_centres) {
    addresses += (addresses.empty() ? "" : ",") +
                 this->PlatformAddress(data_centre).ToString();
  }
  this->platform_process = std::make_unique<Process>(
      this->binaries + "/tests/platform_standin",
      std::vector<std::string>{"--addresses=" + addresses},
      this->folder + "/platform.log");
  Call probe;
  probe.path = "/test/counters";
  const Address address = this->PlatformAddress(this->data_centres.front());
  if (!WaitUntil([&] { return Send(address, probe).result_int() == 200; })) {
    throw std::runtime_error("the platform stand-in did not start in time");
  }
  this->PublishConfiguration(configuration);
  this->PublishVmList();
  for (const std::unique_ptr<TestVm>& vm : this->vms) {
    this->StartTarget(*vm);
    this->StartNode(*vm);
  }
  for (const std::unique_ptr<TestVm>& vm : this->vms) {
    if (!WaitUntil([&] { return this->IsReadyAndMinting(*vm); },
                   kStartTimeout)) {
      throw std::runtime_error(vm->name + " did not become ready in time");
    }
  }
  std::this_thread::sleep_for(kFirstTokensDelay);
}

bool TestFleet::IsReadyAndMinting(const TestVm& vm) {
  const boost::json::value status = this->GetStatus(vm);
  return status.is_object() && status.at("ready").as_bool() &&
         status.at("fleet").at("mint_parts_settled").as_bool() &&
         status.at("fleet").at("may_mint").as_bool();
}

void TestFleet::StartTarget(TestVm& vm) {
  std::vector<std::string> flags = vm.target_flags;
  flags.push_back("--address=" + vm.target_address.ToString());
  flags.push_back("--node=" + vm.caller_address.ToString());
  vm.target_process =
      std::make_unique<Process>(this->binaries + "/tests/target_standin", flags,
                                this->folder + "/" + vm.name + ".target.log");
  Call probe;
  probe.path = "/test/log";
  WaitUntil([&] { return Send(vm.target_address, probe).result_int() == 200; });
}

void TestFleet::StartNode(TestVm& vm) {
  this->WriteSettings(vm, boost::json::serialize(this->MakeSettings(vm)));
  this->RunNode(vm);
}

boost::json::object TestFleet::MakeSettings(const TestVm& vm) {
  return {
      {"vm", vm.name},
      {"data_centre", vm.data_centre},
      {"service", vm.service},
      {"caller_address", vm.caller_address.ToString()},
      {"peer_address", vm.peer_address.ToString()},
      {"control_address", vm.control_address.ToString()},
      {"operator_address", vm.operator_address.ToString()},
      {"target_address", vm.target_address.ToString()},
      {"platform_address", this->PlatformAddress(vm.data_centre).ToString()},
      {"fleet_secret", kFleetSecret}};
}

std::string TestFleet::SettingsFile(const TestVm& vm) const {
  return this->folder + "/" + vm.name + ".json";
}

void TestFleet::WriteSettings(const TestVm& vm, const std::string& text) {
  std::ofstream(this->SettingsFile(vm)) << text;
}

void TestFleet::RunNode(TestVm& vm) {
  vm.node_process = std::make_unique<Process>(
      this->binaries + "/daisywinch",
      std::vector<std::string>{"node", "--settings=" + this->SettingsFile(vm),
                               "--verbose"},
      this->folder + "/" + vm.name + ".log");
}

void TestFleet::PublishConfiguration(const Configuration& configuration) {
  Call call;
  call.method = "PUT";
  call.path = "/test/values/daisywinch.configuration";
  call.body = boost::json::serialize(WriteConfiguration(configuration));
  Send(this->PlatformAddress(this->data_centres.front()), call);
}

void TestFleet::PublishVmList(const std::vector<std::string>& leaving,
                              const std::vector<std::string>& removed) {
  const auto contains = [](const std::vector<std::string>& names,
                           const std::string& name) {
    return std::find(names.begin(), names.end(), name) != names.end();
  };
  VmList list;
  list.version = ++this->vm_list_version;
  for (const std::unique_ptr<TestVm>& vm : this->vms) {
    if (!contains(removed, vm->name)) {
      list.vms.push_back({vm->name, vm->data_centre, vm->service,
                          vm->caller_address, vm->peer_address,
                          vm->control_address, contains(leaving, vm->name)});
    }
  }
  Call call;
  call.method = "PUT";
  call.path = "/test/values/vms";
  call.body = boost::json::serialize(WriteVmList(list));
  Send(this->PlatformAddress(this->data_centres.front()), call);
}

void TestFleet::SetPlatformBehaviour(const std::string& query) {
  Call call;
  call.path = "/test/mode?" + query;
  Send(this->PlatformAddress(this->data_centres.front()), call);
}

std::uint64_t TestFleet::PlatformReadCount() {
  return GetJson(this->PlatformAddress(this->data_centres.front()),
                 "/test/counters")
      .at("reads")
      .to_number<std::uint64_t>();
}

TestVm& TestFleet::GetVm(const std::string& name) {
  for (const std::unique_ptr<TestVm>& vm : this->vms) {
    if (vm->name == name) {
      return *vm;
    }
  }
  throw std::runtime_error("the fleet has no VM " + name);
}

std::string TestFleet::ReadNodeLog(const TestVm& vm) {
  std::ifstream file(this->folder + "/" + vm.name + ".log");
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

boost::json::value TestFleet::GetStatus(const TestVm& vm) {
  return GetJson(vm.operator_address, "/status");
}

boost::json::value TestFleet::GetTargetLog(const TestVm& vm) {
  return GetJson(vm.target_address, "/test/log");
}

boost::json::array TestFleet::GetRuns(const TestVm& vm) {
  return this->GetTargetLog(vm).at("runs").as_array();
}

void TestFleet::SetTargetBehaviour(const TestVm& vm, const std::string& query) {
  Call call;
  call.path = "/test/set?" + query;
  Send(vm.target_address, call);
}

}  // namespace daisywinch::test
