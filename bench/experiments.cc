#include "bench/experiments.h"

#include <algorithm>
#include <iostream>
#include <thread>

#include "bench/load_generator.h"
#include "state/key_digest.h"
#include "support/test_fleet.h"

namespace daisywinch::bench {

namespace {

using test::ApiKeyForCustomer;
using test::TestFleet;
using test::TestVm;

constexpr int kTargetCount = 4;
constexpr int kSlotsPerTarget = 10;
constexpr std::chrono::milliseconds kServiceTime{50};
/// Calls per second that all targets together can serve; a slot serves 20 calls
/// per second with kServiceTime.
constexpr double kCapacity = kTargetCount * kSlotsPerTarget * 20;
constexpr std::chrono::seconds kWarmUpTime{2};

/// Makes the answers for one service of kTargetCount small targets and some
/// customers with their rates in calls per second.
std::string MakeAnswers(
    const std::vector<std::pair<std::string, double>>& customers) {
  std::string customer_list;
  for (const auto& [name, rate] : customers) {
    customer_list += "{\"name\": \"" + name +
                     "\", \"calls_per_second\": " + std::to_string(rate) +
                     ", \"burst_calls\": " + std::to_string(rate) +
                     ", \"key_digests\": [\"" +
                     Sha256Hex(ApiKeyForCustomer(name)) + "\"]},";
  }
  return R"({
    "deployment": "experiment", "version": 1,
    "data_centres": [
      {"name": "east", "region": "r1"}, {"name": "west", "region": "r1"}],
    "services": [
      {"name": "work", "slots_per_server": )" +
         std::to_string(kSlotsPerTarget) + R"(, "connections_per_server": 100,
       "slots_when_cold": 2, "warm_up_seconds": 2, "servers": [
         {"data_centre": "east", "count": 2},
         {"data_centre": "west", "count": 2}]}],
    "customers": [)" +
         customer_list + R"(],
    "routes": [
      {"name": "normal", "service": "work", "method": "GET",
       "path": "/normal", "may_be_repeated": true, "answer_within_ms": 1000},
      {"name": "important", "service": "work", "method": "GET",
       "path": "/important", "may_be_repeated": true,
       "answer_within_ms": 1000},
      {"name": "background", "service": "work", "method": "GET",
       "path": "/background", "may_be_repeated": true,
       "answer_within_ms": 1000}],
    "most_important": ["important"],
    "least_important": ["background"]
  })";
}

/// A running fleet of kTargetCount targets, cold at first.
class TestBed {
 public:
  explicit TestBed(
      const std::vector<std::pair<std::string, double>>& customers) {
    const std::vector<std::string> flags = {
        "--slots=" + std::to_string(kSlotsPerTarget), "--cold_slots=2",
        "--warm_up_ms=" +
            std::to_string(std::chrono::milliseconds(kWarmUpTime).count()),
        "--service_ms=" + std::to_string(kServiceTime.count())};
    for (int number = 0; number < kTargetCount; ++number) {
      this->fleet.AddVm(number < kTargetCount / 2 ? "east" : "west", "work",
                        flags);
    }
    this->fleet.Start(test::MakeConfiguration(MakeAnswers(customers)));
  }

  std::vector<Address> IngressAddresses() {
    std::vector<Address> addresses;
    for (const std::unique_ptr<TestVm>& vm : this->fleet.Vms()) {
      addresses.push_back(vm->caller_address);
    }
    return addresses;
  }

  /// Addresses of the targets, for callers that bypass the nodes.
  std::vector<Address> TargetAddresses() {
    std::vector<Address> addresses;
    for (const std::unique_ptr<TestVm>& vm : this->fleet.Vms()) {
      addresses.push_back(vm->target_address);
    }
    return addresses;
  }

  TestFleet fleet;
};

/// Raises the load in steps, slowly enough that also targets without a gate
/// warm up without being overloaded.
void WarmUp(LoadGenerator& load, std::size_t stream) {
  for (const double fraction : {0.02, 0.05, 0.1, 0.2, 0.4, 0.7}) {
    load.SetRate(stream, fraction * kCapacity);
    load.RunFor(kWarmUpTime / 2);
  }
}

/// Goodput in calls per second.
struct OverloadResult {
  double goodput_before = 0;
  double goodput_during = 0;
  double recovery_seconds = 0;
};

/// Measures the goodput at three times the capacity with callers that make up
/// to five attempts, and the time until goodput is back at 95 % of its earlier
/// value after the load has fallen to 0.9 times the capacity.
OverloadResult RunOverload(const std::vector<Address>& server_addresses) {
  LoadGenerator load(1);
  Stream stream;
  stream.name = "school";
  stream.key = ApiKeyForCustomer("school");
  stream.path = "/normal";
  stream.server_addresses = server_addresses;
  stream.attempts = 5;
  const std::size_t index = load.Add(stream);
  WarmUp(load, index);
  const Duration steady_start = load.Elapsed();
  load.SetRate(index, 0.9 * kCapacity);
  load.RunFor(std::chrono::seconds(5));
  const Duration overload_start = load.Elapsed();
  load.SetRate(index, 3 * kCapacity);
  load.RunFor(std::chrono::seconds(10));
  const Duration overload_end = load.Elapsed();
  load.SetRate(index, 0.9 * kCapacity);
  load.RunFor(std::chrono::seconds(10));
  const StreamResult& result = load.Result(index);
  OverloadResult overload;
  overload.goodput_before = result.Goodput(steady_start, overload_start);
  overload.goodput_during =
      result.Goodput(overload_start + std::chrono::seconds(1), overload_end);
  constexpr std::chrono::milliseconds kInterval{500};
  Duration recovered_at = load.Elapsed();
  for (Duration interval_start = overload_end;
       interval_start + kInterval <= load.Elapsed();
       interval_start += kInterval) {
    if (result.Goodput(interval_start, interval_start + kInterval) >=
        0.95 * overload.goodput_before) {
      recovered_at = interval_start + kInterval;
      break;
    }
  }
  overload.recovery_seconds =
      std::chrono::duration<double>(recovered_at - overload_end).count();
  return overload;
}

std::vector<Metric> Overload() {
  TestBed test_bed({{"school", 100 * kCapacity}});
  const OverloadResult protected_result =
      RunOverload(test_bed.IngressAddresses());
  TestBed unprotected_test_bed({{"school", 100 * kCapacity}});
  const OverloadResult unprotected_result =
      RunOverload(unprotected_test_bed.TargetAddresses());
  return {
      {"goodput at 3 times capacity relative to 0.9 times capacity",
       protected_result.goodput_during / protected_result.goodput_before, 0.90,
       true},
      {"the same without protection",
       unprotected_result.goodput_during / unprotected_result.goodput_before, 0,
       true, true},
      {"recovery time in seconds", protected_result.recovery_seconds, 5, false},
      {"the same without protection (10 = not recovered in the run)",
       unprotected_result.recovery_seconds, 0, false, true},
  };
}

std::vector<Metric> PriorityUnderOverload() {
  TestBed test_bed({{"school", 100 * kCapacity}});
  LoadGenerator load(2);
  Stream stream;
  stream.name = "important";
  stream.key = ApiKeyForCustomer("school");
  stream.path = "/important";
  stream.server_addresses = test_bed.IngressAddresses();
  const std::size_t important = load.Add(stream);
  stream.name = "background";
  stream.path = "/background";
  stream.attempts = 5;
  const std::size_t background = load.Add(stream);
  WarmUp(load, important);
  const StreamResult before = load.Result(important);
  load.SetRate(important, 0.7 * kCapacity);
  load.SetRate(background, 3 * kCapacity);
  load.RunFor(std::chrono::seconds(10));
  load.SetRate(important, 0);
  load.SetRate(background, 0);
  load.WaitForResponses();
  const StreamResult& after = load.Result(important);
  const double request_count =
      static_cast<double>(after.request_count - before.request_count);
  for (const auto& [reason, count] : after.refusals) {
    std::cout << "  important refused with reason " << reason << ": " << count
              << "\n";
  }
  return {{"fraction of important requests served under background overload",
           static_cast<double>(after.success_count - before.success_count) /
               request_count,
           0.999, true}};
}

std::vector<Metric> CustomerFairness() {
  // One customer sends five times its rate; the others stay within theirs.
  const std::vector<std::pair<std::string, double>> customers = {
      {"large", 300},
      {"medium", 150},
      {"hog", 150},
      {"small", 20},
      {"tiny", 5}};
  TestBed test_bed(customers);
  LoadGenerator load(3);
  Stream stream;
  stream.path = "/normal";
  stream.server_addresses = test_bed.IngressAddresses();
  std::vector<std::size_t> within_rate_streams;
  for (const auto& [name, rate] : customers) {
    stream.name = name;
    stream.key = ApiKeyForCustomer(name);
    stream.calls_per_second = name == "hog" ? 5 * rate : 0.9 * rate;
    stream.customer_rate = rate;
    stream.customer_burst = rate;
    stream.attempts = name == "hog" ? 5 : 1;
    const std::size_t index = load.Add(stream);
    if (name != "hog") {
      within_rate_streams.push_back(index);
    }
  }
  load.RunFor(3 * kWarmUpTime);
  std::vector<StreamResult> before;
  before.reserve(within_rate_streams.size());
  for (const std::size_t index : within_rate_streams) {
    before.push_back(load.Result(index));
  }
  load.RunFor(std::chrono::seconds(15));
  load.WaitForResponses();
  double worst_served = 1;
  double served_sum = 0;
  double wrongly_refused = 0;
  double total_requests = 0;
  for (std::size_t number = 0; number < within_rate_streams.size(); ++number) {
    const StreamResult& after = load.Result(within_rate_streams[number]);
    const StreamResult& earlier = before[number];
    const double request_count = static_cast<double>(after.within_rate_count -
                                                     earlier.within_rate_count);
    const double served_fraction =
        static_cast<double>(after.within_rate_success_count -
                            earlier.within_rate_success_count) /
        request_count;
    std::cout << "  customer " << number << ": served " << served_fraction
              << " of " << request_count << "\n";
    worst_served = std::min(worst_served, served_fraction);
    served_sum += served_fraction;
    total_requests += request_count;
    wrongly_refused += static_cast<double>(after.wrongly_refused_count -
                                           earlier.wrongly_refused_count);
  }
  return {{"served fraction of the worst-served customer within its rate, "
           "relative to the mean",
           worst_served /
               (served_sum / static_cast<double>(within_rate_streams.size())),
           0.95, true},
          {"fraction of requests within the rate refused as over the rate",
           wrongly_refused / total_requests, 0.001, false}};
}

std::vector<Metric> ColdTargetRestart() {
  TestBed test_bed({{"school", 100 * kCapacity}});
  LoadGenerator load(4);
  Stream stream;
  stream.name = "school";
  stream.key = ApiKeyForCustomer("school");
  stream.path = "/normal";
  stream.server_addresses = test_bed.IngressAddresses();
  stream.attempts = 5;
  const std::size_t index = load.Add(stream);
  WarmUp(load, index);
  load.SetRate(index, 1.2 * kCapacity);
  load.RunFor(std::chrono::seconds(2));
  TestVm& vm = *test_bed.fleet.Vms().front();
  vm.target_process->Kill();
  load.RunFor(std::chrono::milliseconds(500));
  test_bed.fleet.StartTarget(vm);
  const TimePoint restarted_at = BootTime::now();
  Duration time_to_full = std::chrono::seconds(10);
  while (BootTime::now() - restarted_at < std::chrono::seconds(10)) {
    load.RunFor(std::chrono::milliseconds(100));
    const boost::json::value status = test_bed.fleet.GetStatus(vm);
    if (status.at("gate").at("limit").as_int64() >= kSlotsPerTarget) {
      time_to_full = BootTime::now() - restarted_at;
      break;
    }
  }
  load.RunFor(std::chrono::seconds(1));
  const double excess = static_cast<double>(
      test_bed.fleet.GetTargetLog(vm).at("worst_excess").as_int64());
  return {
      {"max requests in flight above the capacity of the cold target", excess,
       0, false},
      {"time to full capacity relative to the warm-up time",
       std::chrono::duration<double>(time_to_full) / kWarmUpTime, 2, false}};
}

std::vector<Metric> AddedLatency() {
  TestBed test_bed({{"school", 100 * kCapacity}});
  const auto measure = [&](const std::vector<Address>& server_addresses) {
    LoadGenerator load(5);
    Stream stream;
    stream.name = "school";
    stream.key = ApiKeyForCustomer("school");
    stream.path = "/normal";
    stream.server_addresses = server_addresses;
    stream.calls_per_second = 0.4 * kCapacity;
    const std::size_t index = load.Add(stream);
    load.RunFor(3 * kWarmUpTime);
    LoadGenerator measured_load(6);
    const std::size_t measured_index = measured_load.Add(stream);
    measured_load.RunFor(std::chrono::seconds(8));
    measured_load.WaitForResponses();
    static_cast<void>(index);
    return measured_load.Result(measured_index);
  };
  const StreamResult mesh_result = measure(test_bed.IngressAddresses());
  const StreamResult direct_result = measure(test_bed.TargetAddresses());
  for (const double quantile : {0.5, 0.9, 0.95, 0.99}) {
    std::cout << "  quantile " << quantile << ": through the mesh "
              << 1000 * mesh_result.Latency(quantile) << " ms, direct "
              << 1000 * direct_result.Latency(quantile) << " ms\n";
  }
  return {{"added latency in ms, median",
           1000 * (mesh_result.Latency(0.5) - direct_result.Latency(0.5)), 0.79,
           false},
          {"added latency in ms, 99th percentile",
           1000 * (mesh_result.Latency(0.99) - direct_result.Latency(0.99)),
           0.79, false}};
}

}  // namespace

const std::vector<Experiment>& AllExperiments() {
  static const std::vector<Experiment> experiments = {
      {"overload", "Does goodput hold at three times the capacity?", Overload},
      {"important", "Are important requests served under background overload?",
       PriorityUnderOverload},
      {"worst-served", "Are all customers within their rate served alike?",
       CustomerFairness},
      {"cold", "Does a restarted target get no more than its cold capacity?",
       ColdTargetRestart},
      {"latency", "How much latency do ingress and gate add to a call?",
       AddedLatency},
  };
  return experiments;
}

}  // namespace daisywinch::bench
