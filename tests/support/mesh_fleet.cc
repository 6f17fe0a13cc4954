#include "support/mesh_fleet.h"

#include <unistd.h>

#include <cstdlib>
#include <filesystem>
#include <fstream>
#include <sstream>
#include <stdexcept>

#include "support/test_fleet.h"

namespace daisywinch::test {

namespace {

constexpr int kStoreHost = 250;
/// Second byte of the lowest loopback address of mesh fleets, which are meant
/// not to share addresses with TestFleet.
constexpr int kFirstNetwork = 128;
constexpr std::chrono::seconds kStartTimeout{20};

int next_mesh_fleet_number = 0;

}  // namespace

Call AddAttemptHeaders(Call call,
                       const std::string& attempt_id,
                       Duration timeout) {
  call.headers.emplace_back("Host", MeshFleet::kHost);
  call.headers.emplace_back("X-Daisywinch-Attempt-Id", attempt_id);
  call.headers.emplace_back(
      "X-Daisywinch-Timeout-Budget-Ms",
      std::to_string(
          std::chrono::duration_cast<std::chrono::milliseconds>(timeout)
              .count()));
  return call;
}

MeshFleet::MeshFleet() : fleet_number(next_mesh_fleet_number++) {
  const char* binaries_folder = std::getenv("DAISYWINCH_BINARIES");
  if (binaries_folder == nullptr) {
    throw std::runtime_error("set DAISYWINCH_BINARIES to the build folder");
  }
  this->binaries = binaries_folder;
  this->folder = (std::filesystem::temp_directory_path() /
                  ("daisywinch-mesh-" + std::to_string(::getpid()) + "-" +
                   std::to_string(this->fleet_number)))
                     .string();
  std::filesystem::create_directories(this->folder);
  this->store_address = this->MakeAddress(kStoreHost, 7000);
}

MeshFleet::~MeshFleet() {
  for (const std::unique_ptr<MeshVm>& vm : this->vms) {
    vm->node_process.reset();
    vm->target_process.reset();
  }
  this->store_process.reset();
  if (std::getenv("DAISYWINCH_KEEP_LOGS") == nullptr) {
    std::error_code ignored;
    std::filesystem::remove_all(this->folder, ignored);
  }
}

Address MeshFleet::MakeAddress(int host, int port) const {
  const int network = kFirstNetwork + ::getpid() % 120;
  return {"127." + std::to_string(network) + "." +
              std::to_string(this->fleet_number % 250) + "." +
              std::to_string(host),
          static_cast<std::uint16_t>(port)};
}

MeshVm& MeshFleet::AddVm(const std::string& data_centre,
                         const std::string& service) {
  const int host = static_cast<int>(this->vms.size()) + 1;
  MeshVm& vm = *this->vms.emplace_back(std::make_unique<MeshVm>());
  vm.name = service + "-" + data_centre + "-" + std::to_string(host);
  vm.data_centre = data_centre;
  vm.service = service;
  vm.target_id = "i-" + std::to_string(host);
  vm.caller_address = this->MakeAddress(host, 8080);
  vm.peer_address = this->MakeAddress(host, 8081);
  vm.ready_address = this->MakeAddress(host, 8082);
  vm.operator_address = this->MakeAddress(host, 8083);
  vm.news_address = this->MakeAddress(host, 8084);
  vm.target_address = this->MakeAddress(host, 9000);
  vm.target_proxy_address = this->MakeAddress(host, 9001);
  vm.peer_proxy_address = this->MakeAddress(host, 8091);
  vm.store_proxy_address = this->MakeAddress(host, 7001);
  return vm;
}

void MeshFleet::Start() {
  this->store_process = std::make_unique<Process>(
      this->binaries + "/tests/store_standin",
      std::vector<std::string>{"--address=" + this->store_address.ToString()},
      this->folder + "/store.log");
  Call probe;
  probe.path = "/test/mode?down=0";
  if (!WaitUntil([&] {
        return Send(this->store_address, probe).result_int() == 200;
      })) {
    throw std::runtime_error("the store stand-in did not start in time");
  }
  this->PublishConfiguration(1, kSchoolKey);
  for (const std::unique_ptr<MeshVm>& vm : this->vms) {
    vm->target_proxy = std::make_unique<LoopbackProxy>(vm->target_proxy_address,
                                                       vm->target_address);
    vm->peer_proxy = std::make_unique<LoopbackProxy>(vm->peer_proxy_address,
                                                     vm->peer_address);
    vm->store_proxy = std::make_unique<LoopbackProxy>(vm->store_proxy_address,
                                                      this->store_address);
    this->StartTarget(*vm);
    this->PublishTarget(*vm, false);
    this->StartNode(*vm);
  }
  for (const std::unique_ptr<MeshVm>& vm : this->vms) {
    if (!WaitUntil([&] { return this->IsReady(*vm); }, kStartTimeout)) {
      throw std::runtime_error(vm->name + " did not become ready in time");
    }
  }
  // Gates send few requests to a target before its first health check.
  std::this_thread::sleep_for(std::chrono::milliseconds(600));
}

bool MeshFleet::IsReady(const MeshVm& vm) {
  Call call;
  call.path = "/ready";
  return Send(vm.ready_address, call, std::chrono::seconds(1)).result_int() ==
         200;
}

void MeshFleet::StartTarget(MeshVm& vm) {
  vm.target_process = std::make_unique<Process>(
      this->binaries + "/tests/attempt_target_standin",
      std::vector<std::string>{"--address=" + vm.target_address.ToString(),
                               "--node=" + vm.caller_address.ToString(),
                               "--id=" + vm.target_id},
      this->folder + "/" + vm.name + ".target.log");
  Call probe;
  probe.path = "/test/log";
  WaitUntil([&] { return Send(vm.target_address, probe).result_int() == 200; });
}

void MeshFleet::RestartTarget(MeshVm& vm) {
  ++vm.target_born;
  this->StartTarget(vm);
  this->PublishTarget(vm, false);
}

void MeshFleet::StartNode(MeshVm& vm) {
  this->WriteSettings(vm, boost::json::serialize(this->MakeSettings(vm)));
  this->RunNode(vm);
}

boost::json::object MeshFleet::MakeSettings(const MeshVm& vm) {
  return {{"interface", "mesh"},
          {"vm", vm.name},
          {"data_centre", vm.data_centre},
          {"service", vm.service},
          {"caller_address", vm.caller_address.ToString()},
          {"peer_address", vm.peer_address.ToString()},
          {"peer_port", vm.peer_proxy_address.port},
          {"ready_address", vm.ready_address.ToString()},
          {"news_address", vm.news_address.ToString()},
          {"operator_address", vm.operator_address.ToString()},
          {"target_address", vm.target_proxy_address.ToString()},
          {"platform_address", vm.store_proxy_address.ToString()},
          {"bounds",
           {{"drain", "2000ms"},
            {"grace", "6s"},
            {"retry_ratio", 0.2},
            {"retry_slack", 47},
            {"retry_window", "10s"},
            {"quota_window", "5s"},
            {"quota_over", 0.25},
            {"quota_slack", 20},
            {"cold_over", 1.5}}}};
}

std::string MeshFleet::SettingsFile(const MeshVm& vm) const {
  return this->folder + "/" + vm.name + ".json";
}

void MeshFleet::WriteSettings(const MeshVm& vm, const std::string& text) {
  std::ofstream(this->SettingsFile(vm)) << text;
}

void MeshFleet::RunNode(MeshVm& vm) {
  vm.node_process = std::make_unique<Process>(
      this->binaries + "/daisywinch",
      std::vector<std::string>{"node", "--settings=" + this->SettingsFile(vm),
                               "--verbose"},
      this->folder + "/" + vm.name + ".log");
}

void MeshFleet::PublishConfiguration(int version,
                                     const std::string& school_key,
                                     const std::string& objective) {
  std::ostringstream text;
  text << std::hex;
  text.width(8);
  text.fill('0');
  text << version;
  const auto route = [&objective](const char* prefix, const char* kind,
                                  const char* service, int priority,
                                  bool is_open) {
    return boost::json::object{
        {"Host", kHost},        {"Prefix", prefix},
        {"Kind", kind},         {"Timeout", "2000ms"},
        {"Priority", priority}, {"TargetLatency", objective},
        {"Service", service},   {"MaxAttempts", 2},
        {"Public", is_open}};
  };
  const auto service = [] {
    return boost::json::object{{"HealthPath", "/health"},
                               {"MaxConnections", 200},
                               {"ColdStart", "1s"},
                               {"ColdPerS", 10.0}};
  };
  boost::json::array school_keys;
  if (!school_key.empty()) {
    school_keys.emplace_back(school_key);
  }
  const boost::json::object configuration = {
      {"Version", text.str()},
      {"Routes",
       {{"look", route("/look/", "safe", "front", 2, false)},
        {"book", route("/book/", "unsafe", "front", 0, false)},
        {"stock", route("/stock/", "safe", "back", 2, true)},
        {"reserve", route("/reserve/", "unsafe", "back", 0, true)}}},
      {"Services", {{"front", service()}, {"back", service()}}},
      {"Tenants",
       {{"school",
         {{"ApiKeys", school_keys}, {"RatePerS", 500}, {"Burst", 500}}},
        {"clinic",
         {{"ApiKeys", {"key-of-clinic"}}, {"RatePerS", 5}, {"Burst", 5}}}}}};
  this->PutKey("op/config", boost::json::serialize(configuration));
}

void MeshFleet::PublishTarget(const MeshVm& vm, bool is_leaving, int sequence) {
  const boost::json::object record = {
      {"Address", vm.target_proxy_address.ToString()},
      {"born", vm.target_born},
      {"Info",
       {{"Service", vm.service},
        {"Version", "v1"},
        {"Zone", vm.data_centre},
        {"Slots", 20}}},
      {"Status",
       {{"State", is_leaving ? "draining" : "ready"},
        {"Seq", sequence},
        {"ColdLeft", "0ms"}}}};
  this->PutKey("servers/" + vm.target_id, boost::json::serialize(record));
}

void MeshFleet::PutKey(const std::string& key, const std::string& value) {
  Call call;
  call.method = "PUT";
  call.path = "/test/key?Key=" + key;
  call.body = value;
  Send(this->store_address, call);
}

void MeshFleet::RemoveKey(const std::string& key) {
  Call call;
  call.method = "DELETE";
  call.path = "/test/key?Key=" + key;
  Send(this->store_address, call);
}

void MeshFleet::SetStoreBehaviour(const std::string& query) {
  Call call;
  call.path = "/test/mode?" + query;
  Send(this->store_address, call);
}

std::uint64_t MeshFleet::GetStoreRevision() {
  return GetJson(this->store_address, "/test/state")
      .at("StoreRevision")
      .to_number<std::uint64_t>();
}

void MeshFleet::RestoreStore(std::uint64_t revision) {
  Call call;
  call.path = "/test/restore?revision=" + std::to_string(revision);
  Send(this->store_address, call);
}

void MeshFleet::SetTargetBehaviour(const MeshVm& vm, const std::string& query) {
  Call call;
  call.path = "/test/behaviour?" + query;
  Send(vm.target_address, call);
}

boost::json::array MeshFleet::GetRuns(const MeshVm& vm) {
  const boost::json::value log = GetJson(vm.target_address, "/test/log");
  return log.is_array() ? log.as_array() : boost::json::array();
}

std::string MeshFleet::ReadNodeLog(const MeshVm& vm) {
  std::ifstream file(this->folder + "/" + vm.name + ".log");
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

HttpResponse MeshFleet::SendAttempt(const MeshVm& vm,
                                    Call call,
                                    std::string attempt_id) {
  if (attempt_id.empty()) {
    attempt_id = "attempt-" + std::to_string(this->next_attempt_number++);
  }
  return Send(vm.caller_address,
              AddAttemptHeaders(std::move(call), attempt_id));
}

}  // namespace daisywinch::test
