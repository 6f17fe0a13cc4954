#include <cstdlib>
#include <iomanip>
#include <iostream>
#include <thread>
#include <vector>

#include "bench/load_generator.h"
#include "state/key_digest.h"
#include "support/test_fleet.h"

namespace daisywinch::bench {

namespace {

using test::ApiKeyForCustomer;
using test::TestFleet;
using test::TestVm;

constexpr std::chrono::seconds kMeasurementTime{8};
constexpr int kDataCentreCount = 3;
constexpr int kCustomerCount = 8;
constexpr double kCallsPerSecond = 240;

std::string MakeAnswers(int version, int nodes) {
  std::string customers;
  for (int number = 0; number < kCustomerCount; ++number) {
    const std::string name = "c" + std::to_string(number);
    customers += R"({"name": ")" + name +
                 R"(", "calls_per_second": 1000, "burst_calls": 1000,
                    "key_digests": [")" +
                 Sha256Hex(ApiKeyForCustomer(name)) + R"("]},)";
  }
  std::string data_centres;
  std::string servers;
  for (int number = 0; number < kDataCentreCount; ++number) {
    const std::string name = "d" + std::to_string(number);
    data_centres += R"({"name": ")" + name + R"(", "region": "r"},)";
    servers += R"({"data_centre": ")" + name + R"(", "count": )" +
               std::to_string(nodes / kDataCentreCount) + "},";
  }
  return R"({"deployment": "capacity", "version": )" + std::to_string(version) +
         R"(, "data_centres": [)" + data_centres +
         R"(], "services": [{"name": "work", "slots_per_server": 50,
              "connections_per_server": 100, "slots_when_cold": 50,
              "warm_up_seconds": 1, "servers": [)" +
         servers + R"(]}], "customers": [)" + customers +
         R"(], "routes": [{"name": "work", "service": "work",
              "method": "GET", "path": "/work", "may_be_repeated": true}]})";
}

/// Resource usage of a node during a measurement, averaged over all nodes.
struct NodeUsage {
  double bytes_per_second = 0;
  double messages_per_second = 0;
  double cpu_percent = 0;
  double memory_megabytes = 0;
};

/// Control messages sent and CPU time used since the start of the nodes, summed
/// over the fleet.
struct FleetCounters {
  std::int64_t bytes = 0;
  std::int64_t messages = 0;
  Duration processor_time = Duration::zero();
};

FleetCounters ReadCounters(TestFleet& fleet) {
  FleetCounters counters;
  for (const std::unique_ptr<TestVm>& vm : fleet.Vms()) {
    const boost::json::value status = fleet.GetStatus(*vm).at("fleet");
    counters.bytes += status.at("sent_bytes").as_int64();
    counters.messages += status.at("sent_messages").as_int64();
    counters.processor_time += vm->node_process->CpuTime();
  }
  return counters;
}

/// Returns the mean usage per node while `run_workload` runs.
template <typename Workload>
NodeUsage MeasureUsage(TestFleet& fleet, const Workload& run_workload) {
  const TimePoint start = BootTime::now();
  const FleetCounters before = ReadCounters(fleet);
  run_workload();
  const FleetCounters after = ReadCounters(fleet);
  const double nodes = static_cast<double>(fleet.Vms().size());
  const double seconds =
      std::chrono::duration<double>(BootTime::now() - start).count();
  NodeUsage usage;
  usage.bytes_per_second =
      static_cast<double>(after.bytes - before.bytes) / nodes / seconds;
  usage.messages_per_second =
      static_cast<double>(after.messages - before.messages) / nodes / seconds;
  usage.cpu_percent = 100 *
                      std::chrono::duration<double>(after.processor_time -
                                                    before.processor_time)
                          .count() /
                      nodes / seconds;
  for (const std::unique_ptr<TestVm>& vm : fleet.Vms()) {
    usage.memory_megabytes +=
        static_cast<double>(vm->node_process->PrivateMemoryBytes()) / 1e6 /
        nodes;
  }
  return usage;
}

void PrintUsage(int nodes,
                const std::string& load_name,
                const NodeUsage& usage) {
  std::cout << std::setw(5) << nodes << "  " << std::left << std::setw(26)
            << load_name << std::right << std::fixed << std::setprecision(1)
            << std::setw(10) << usage.bytes_per_second << std::setw(10)
            << usage.messages_per_second << std::setprecision(2)
            << std::setw(10) << usage.cpu_percent << std::setw(10)
            << usage.memory_megabytes << std::endl;
}

/// Whether every node uses this configuration version.
bool IsAppliedEverywhere(TestFleet& fleet, std::int64_t version) {
  for (const std::unique_ptr<TestVm>& vm : fleet.Vms()) {
    if (fleet.GetStatus(*vm).at("configuration_version").as_int64() !=
        version) {
      return false;
    }
  }
  return true;
}

/// Measures a fleet of `nodes` nodes: without traffic, with traffic, and while
/// a changed configuration spreads.
void MeasureFleetSize(int nodes) {
  TestFleet fleet;
  for (int number = 0; number < nodes; ++number) {
    fleet.AddVm("d" + std::to_string(number % kDataCentreCount), "work",
                {"--service_ms=5"});
  }
  fleet.Start(test::MakeConfiguration(MakeAnswers(1, nodes)));
  const std::uint64_t reads_before = fleet.PlatformReadCount();
  PrintUsage(nodes, "no traffic", MeasureUsage(fleet, [] {
               std::this_thread::sleep_for(kMeasurementTime);
             }));
  const double reads_per_second =
      static_cast<double>(fleet.PlatformReadCount() - reads_before) /
      std::chrono::duration<double>(kMeasurementTime).count();

  LoadGenerator load(1);
  for (int number = 0; number < kCustomerCount; ++number) {
    Stream stream;
    stream.name = "c" + std::to_string(number);
    stream.key = ApiKeyForCustomer(stream.name);
    stream.path = "/work";
    stream.calls_per_second = kCallsPerSecond / kCustomerCount;
    for (const std::unique_ptr<TestVm>& vm : fleet.Vms()) {
      stream.server_addresses.push_back(vm->caller_address);
    }
    load.Add(stream);
  }
  load.RunFor(std::chrono::seconds(3));
  PrintUsage(nodes, "8 customers, 240 calls/s",
             MeasureUsage(fleet, [&load] { load.RunFor(kMeasurementTime); }));
  load.WaitForResponses();

  const FleetCounters before = ReadCounters(fleet);
  const TimePoint published_at = BootTime::now();
  const Configuration changed_configuration =
      test::MakeConfiguration(MakeAnswers(2, nodes));
  fleet.PublishConfiguration(changed_configuration);
  test::WaitUntil([&] { return IsAppliedEverywhere(fleet, 2); });
  const double propagation_delay =
      std::chrono::duration<double>(BootTime::now() - published_at).count();
  const double bytes_per_node =
      static_cast<double>(ReadCounters(fleet).bytes - before.bytes) / nodes;
  std::cout << std::setw(5) << nodes << "  platform reads/s "
            << std::setprecision(2) << reads_per_second << ", a change of "
            << boost::json::serialize(WriteConfiguration(changed_configuration))
                   .size()
            << " bytes applied everywhere after " << std::setprecision(3)
            << propagation_delay << " s (polling included), "
            << std::setprecision(0) << bytes_per_node << " bytes sent per node"
            << std::endl;
}

}  // namespace

}  // namespace daisywinch::bench

/// Measures the control traffic, CPU time and memory of a node at several fleet
/// sizes.
int main() {
  std::cout << "nodes  load                       bytes/s    msgs/s     cpu % "
               "     MB\n";
  for (const int nodes : {6, 12, 24, 48}) {
    daisywinch::bench::MeasureFleetSize(nodes);
  }
  return EXIT_SUCCESS;
}
