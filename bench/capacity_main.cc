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

using test::ApiKeyOf;
using test::TestFleet;
using test::TestVm;

constexpr std::chrono::seconds kSampleTime{8};
constexpr int kDataCentres = 3;
constexpr int kCustomers = 8;
constexpr double kCallsPerSecond = 240;

std::string MakeAnswers(int version, int nodes) {
  std::string customers;
  for (int number = 0; number < kCustomers; ++number) {
    const std::string name = "c" + std::to_string(number);
    customers += R"({"name": ")" + name +
                 R"(", "calls_per_second": 1000, "burst_calls": 1000,
                    "key_digests": [")" +
                 Sha256Hex(ApiKeyOf(name)) + R"("]},)";
  }
  std::string sites;
  std::string servers;
  for (int number = 0; number < kDataCentres; ++number) {
    const std::string name = "d" + std::to_string(number);
    sites += R"({"name": ")" + name + R"(", "region": "r"},)";
    servers += R"({"data_centre": ")" + name + R"(", "count": )" +
               std::to_string(nodes / kDataCentres) + "},";
  }
  return R"({"deployment": "capacity", "version": )" + std::to_string(version) +
         R"(, "data_centres": [)" + sites +
         R"(], "services": [{"name": "work", "slots_per_server": 50,
              "connections_per_server": 100, "slots_when_cold": 50,
              "warm_up_seconds": 1, "servers": [)" +
         servers + R"(]}], "customers": [)" + customers +
         R"(], "routes": [{"name": "work", "service": "work",
              "method": "GET", "path": "/work", "may_be_repeated": true}]})";
}

/// Figures of one node, over a time.
struct NodeFigures {
  double bytes_per_second = 0;
  double messages_per_second = 0;
  double processor_percent = 0;
  double memory_megabytes = 0;
};

struct Totals {
  std::int64_t bytes = 0;
  std::int64_t messages = 0;
  Duration processor = Duration::zero();
};

Totals Sum(TestFleet& fleet) {
  Totals totals;
  for (const std::unique_ptr<TestVm>& vm : fleet.Vms()) {
    const boost::json::value status = fleet.GetStatus(*vm).at("fleet");
    totals.bytes += status.at("sent_bytes").as_int64();
    totals.messages += status.at("sent_messages").as_int64();
    totals.processor += vm->node_process->CpuTime();
  }
  return totals;
}

template <typename Work>
NodeFigures Measure(TestFleet& fleet, const Work& work) {
  const TimePoint started = BootTime::now();
  const Totals before = Sum(fleet);
  work();
  const Totals after = Sum(fleet);
  const double nodes = static_cast<double>(fleet.Vms().size());
  const double seconds =
      std::chrono::duration<double>(BootTime::now() - started).count();
  NodeFigures figures;
  figures.bytes_per_second =
      static_cast<double>(after.bytes - before.bytes) / nodes / seconds;
  figures.messages_per_second =
      static_cast<double>(after.messages - before.messages) / nodes / seconds;
  figures.processor_percent =
      100 *
      std::chrono::duration<double>(after.processor - before.processor)
          .count() /
      nodes / seconds;
  for (const std::unique_ptr<TestVm>& vm : fleet.Vms()) {
    figures.memory_megabytes +=
        static_cast<double>(vm->node_process->PrivateMemoryBytes()) / 1e6 /
        nodes;
  }
  return figures;
}

void Print(int nodes, const std::string& what, const NodeFigures& figures) {
  std::cout << std::setw(5) << nodes << "  " << std::left << std::setw(26)
            << what << std::right << std::fixed << std::setprecision(1)
            << std::setw(10) << figures.bytes_per_second << std::setw(10)
            << figures.messages_per_second << std::setprecision(2)
            << std::setw(10) << figures.processor_percent << std::setw(10)
            << figures.memory_megabytes << std::endl;
}

bool IsInForceEverywhere(TestFleet& fleet, std::int64_t version) {
  for (const std::unique_ptr<TestVm>& vm : fleet.Vms()) {
    if (fleet.GetStatus(*vm).at("configuration_version").as_int64() !=
        version) {
      return false;
    }
  }
  return true;
}

void MeasureSize(int nodes) {
  TestFleet fleet;
  for (int number = 0; number < nodes; ++number) {
    fleet.AddVm("d" + std::to_string(number % kDataCentres), "work",
                {"--service_ms=5"});
  }
  fleet.Start(test::MakeConfiguration(MakeAnswers(1, nodes)));
  const std::uint64_t reads_before = fleet.PlatformReadCount();
  Print(nodes, "no traffic",
        Measure(fleet, [] { std::this_thread::sleep_for(kSampleTime); }));
  const double reads =
      static_cast<double>(fleet.PlatformReadCount() - reads_before) /
      std::chrono::duration<double>(kSampleTime).count();

  LoadGenerator load(1);
  for (int number = 0; number < kCustomers; ++number) {
    Stream stream;
    stream.name = "c" + std::to_string(number);
    stream.key = ApiKeyOf(stream.name);
    stream.path = "/work";
    stream.calls_per_second = kCallsPerSecond / kCustomers;
    for (const std::unique_ptr<TestVm>& vm : fleet.Vms()) {
      stream.entries.push_back(vm->caller_address);
    }
    load.Add(stream);
  }
  load.RunFor(std::chrono::seconds(3));
  Print(nodes, "8 customers, 240 calls/s",
        Measure(fleet, [&load] { load.RunFor(kSampleTime); }));
  load.Finish();

  const Totals before = Sum(fleet);
  const TimePoint published = BootTime::now();
  const Configuration next = test::MakeConfiguration(MakeAnswers(2, nodes));
  fleet.PublishConfiguration(next);
  test::WaitUntil([&] { return IsInForceEverywhere(fleet, 2); });
  const double delay =
      std::chrono::duration<double>(BootTime::now() - published).count();
  const double change_bytes =
      static_cast<double>(Sum(fleet).bytes - before.bytes) / nodes;
  std::cout << std::setw(5) << nodes << "  platform reads/s "
            << std::setprecision(2) << reads << ", a change of "
            << boost::json::serialize(WriteConfiguration(next)).size()
            << " bytes in force after " << std::setprecision(3) << delay
            << " s (looking included), " << std::setprecision(0) << change_bytes
            << " bytes sent a node" << std::endl;
}

}  // namespace

}  // namespace daisywinch::bench

/// Measures what the control of one node costs at several fleet sizes.
int main() {
  std::cout << "nodes  load                       bytes/s    msgs/s     cpu % "
               "     MB\n";
  for (const int nodes : {6, 12, 24, 48}) {
    daisywinch::bench::MeasureSize(nodes);
  }
  return EXIT_SUCCESS;
}
