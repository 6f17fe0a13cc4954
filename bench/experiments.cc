#include "bench/experiments.h"

#include <algorithm>
#include <iostream>
#include <thread>

#include "bench/load_generator.h"
#include "state/key_digest.h"
#include "support/test_fleet.h"

namespace daisywinch::bench {

namespace {

using test::ApiKeyOf;
using test::TestFleet;
using test::TestVm;

constexpr int kTargets = 4;
constexpr int kSlots = 10;
constexpr std::chrono::milliseconds kServiceTime{50};
/// Calls per second that the targets serve at most.
constexpr double kCapacity = kTargets * kSlots * 20;
constexpr std::chrono::seconds kWarmUp{2};

/// Answers for one service of kTargets small targets and some customers with
/// their rates in calls per second.
std::string MakeAnswers(
    const std::vector<std::pair<std::string, double>>& customers) {
  std::string list;
  for (const auto& [name, rate] : customers) {
    list += "{\"name\": \"" + name +
            "\", \"calls_per_second\": " + std::to_string(rate) +
            ", \"burst_calls\": " + std::to_string(rate) +
            ", \"key_digests\": [\"" + Sha256Hex(ApiKeyOf(name)) + "\"]},";
  }
  return R"({
    "deployment": "experiment", "version": 1,
    "data_centres": [
      {"name": "east", "region": "r1"}, {"name": "west", "region": "r1"}],
    "services": [
      {"name": "work", "slots_per_server": )" +
         std::to_string(kSlots) + R"(, "connections_per_server": 100,
       "slots_when_cold": 2, "warm_up_seconds": 2, "servers": [
         {"data_centre": "east", "count": 2},
         {"data_centre": "west", "count": 2}]}],
    "customers": [)" +
         list + R"(],
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

/// A running fleet of kTargets warm targets.
class Bench {
 public:
  explicit Bench(const std::vector<std::pair<std::string, double>>& customers) {
    const std::vector<std::string> flags = {
        "--slots=" + std::to_string(kSlots), "--cold_slots=2",
        "--warm_up_ms=" +
            std::to_string(std::chrono::milliseconds(kWarmUp).count()),
        "--service_ms=" + std::to_string(kServiceTime.count())};
    for (int number = 0; number < kTargets; ++number) {
      this->fleet.AddVm(number < kTargets / 2 ? "east" : "west", "work", flags);
    }
    this->fleet.Start(test::MakeConfiguration(MakeAnswers(customers)));
  }

  std::vector<Address> Entries() {
    std::vector<Address> entries;
    for (const std::unique_ptr<TestVm>& vm : this->fleet.Vms()) {
      entries.push_back(vm->caller_address);
    }
    return entries;
  }

  /// The targets themselves, as callers without protection reach them.
  std::vector<Address> Targets() {
    std::vector<Address> targets;
    for (const std::unique_ptr<TestVm>& vm : this->fleet.Vms()) {
      targets.push_back(vm->target_address);
    }
    return targets;
  }

  TestFleet fleet;
};

/// Warms the targets up by steps, slowly enough for targets without a gate.
void WarmUp(LoadGenerator& load, std::size_t stream) {
  for (const double part : {0.02, 0.05, 0.1, 0.2, 0.4, 0.7}) {
    load.SetRate(stream, part * kCapacity);
    load.RunFor(kWarmUp / 2);
  }
}

struct OverloadResult {
  double best_before = 0;
  double during = 0;
  double recovery_seconds = 0;
};

/// Goodput at three times the capacity with callers that retry hard, and the
/// time until it is back after the load has fallen again.
OverloadResult RunOverload(const std::vector<Address>& entries) {
  LoadGenerator load(1);
  Stream stream;
  stream.name = "school";
  stream.key = ApiKeyOf("school");
  stream.path = "/normal";
  stream.entries = entries;
  stream.attempts = 5;
  const std::size_t index = load.Add(stream);
  WarmUp(load, index);
  const Duration before = load.Elapsed();
  load.SetRate(index, 0.9 * kCapacity);
  load.RunFor(std::chrono::seconds(5));
  const Duration surge = load.Elapsed();
  load.SetRate(index, 3 * kCapacity);
  load.RunFor(std::chrono::seconds(10));
  const Duration fall = load.Elapsed();
  load.SetRate(index, 0.9 * kCapacity);
  load.RunFor(std::chrono::seconds(10));
  const StreamResult& result = load.Result(index);
  OverloadResult overload;
  overload.best_before = result.Goodput(before, surge);
  overload.during = result.Goodput(surge + std::chrono::seconds(1), fall);
  constexpr std::chrono::milliseconds kStep{500};
  Duration recovered = load.Elapsed();
  for (Duration at = fall; at + kStep <= load.Elapsed(); at += kStep) {
    if (result.Goodput(at, at + kStep) >= 0.95 * overload.best_before) {
      recovered = at + kStep;
      break;
    }
  }
  overload.recovery_seconds =
      std::chrono::duration<double>(recovered - fall).count();
  return overload;
}

std::vector<Figure> Overload() {
  Bench bench({{"school", 100 * kCapacity}});
  const OverloadResult with = RunOverload(bench.Entries());
  Bench plain({{"school", 100 * kCapacity}});
  const OverloadResult without = RunOverload(plain.Targets());
  return {
      {"goodput at 3 times capacity over best below it",
       with.during / with.best_before, 0.90, true},
      {"the same without protection", without.during / without.best_before, 0,
       true, true},
      {"recovery in seconds", with.recovery_seconds, 5, false},
      {"the same without protection (10 = not within the run)",
       without.recovery_seconds, 0, false, true},
  };
}

std::vector<Figure> ImportantFirst() {
  Bench bench({{"school", 100 * kCapacity}});
  LoadGenerator load(2);
  Stream stream;
  stream.name = "important";
  stream.key = ApiKeyOf("school");
  stream.path = "/important";
  stream.entries = bench.Entries();
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
  load.Finish();
  const StreamResult& after = load.Result(important);
  const double fresh = static_cast<double>(after.fresh - before.fresh);
  for (const auto& [reason, count] : after.refusals) {
    std::cout << "  important refused by " << reason << ": " << count << "\n";
  }
  return {{"important work served while background floods",
           static_cast<double>(after.good - before.good) / fresh, 0.999, true}};
}

std::vector<Figure> WorstServed() {
  // One customer sends several times its rate; the others stay inside.
  const std::vector<std::pair<std::string, double>> customers = {
      {"large", 300},
      {"medium", 150},
      {"hog", 150},
      {"small", 20},
      {"tiny", 5}};
  Bench bench(customers);
  LoadGenerator load(3);
  Stream stream;
  stream.path = "/normal";
  stream.entries = bench.Entries();
  std::vector<std::size_t> inside;
  for (const auto& [name, rate] : customers) {
    stream.name = name;
    stream.key = ApiKeyOf(name);
    stream.calls_per_second = name == "hog" ? 5 * rate : 0.9 * rate;
    stream.granted_rate = rate;
    stream.granted_burst = rate;
    stream.attempts = name == "hog" ? 5 : 1;
    const std::size_t index = load.Add(stream);
    if (name != "hog") {
      inside.push_back(index);
    }
  }
  load.RunFor(3 * kWarmUp);
  std::vector<StreamResult> before;
  before.reserve(inside.size());
  for (const std::size_t index : inside) {
    before.push_back(load.Result(index));
  }
  load.RunFor(std::chrono::seconds(15));
  load.Finish();
  double worst = 1;
  double sum = 0;
  double refused = 0;
  double asked = 0;
  for (std::size_t number = 0; number < inside.size(); ++number) {
    const StreamResult& after = load.Result(inside[number]);
    const StreamResult& earlier = before[number];
    const double fresh = static_cast<double>(after.inside - earlier.inside);
    const double served =
        static_cast<double>(after.good_inside - earlier.good_inside) / fresh;
    std::cout << "  customer " << number << ": served " << served << " of "
              << fresh << "\n";
    worst = std::min(worst, served);
    sum += served;
    asked += fresh;
    refused +=
        static_cast<double>(after.refused_inside - earlier.refused_inside);
  }
  return {{"worst-served customer inside its rate over the mean",
           worst / (sum / static_cast<double>(inside.size())), 0.95, true},
          {"requests refused as over the rate though inside it",
           refused / asked, 0.001, false}};
}

std::vector<Figure> ColdTarget() {
  Bench bench({{"school", 100 * kCapacity}});
  LoadGenerator load(4);
  Stream stream;
  stream.name = "school";
  stream.key = ApiKeyOf("school");
  stream.path = "/normal";
  stream.entries = bench.Entries();
  stream.attempts = 5;
  const std::size_t index = load.Add(stream);
  WarmUp(load, index);
  load.SetRate(index, 1.2 * kCapacity);
  load.RunFor(std::chrono::seconds(2));
  TestVm& vm = *bench.fleet.Vms().front();
  vm.target_process->Kill();
  load.RunFor(std::chrono::milliseconds(500));
  bench.fleet.StartTarget(vm);
  const TimePoint restarted = BootTime::now();
  Duration full = std::chrono::seconds(10);
  while (BootTime::now() - restarted < std::chrono::seconds(10)) {
    load.RunFor(std::chrono::milliseconds(100));
    const boost::json::value status = bench.fleet.GetStatus(vm);
    if (status.at("gate").at("limit").as_int64() >= kSlots) {
      full = BootTime::now() - restarted;
      break;
    }
  }
  load.RunFor(std::chrono::seconds(1));
  const double excess = static_cast<double>(
      bench.fleet.GetTargetLog(vm).at("worst_excess").as_int64());
  return {{"most in flight over what the cold target bore", excess, 0, false},
          {"time to full capacity over the warm-up time",
           std::chrono::duration<double>(full) / kWarmUp, 2, false}};
}

std::vector<Figure> AddedLatency() {
  Bench bench({{"school", 100 * kCapacity}});
  const auto measure = [&](const std::vector<Address>& entries) {
    LoadGenerator load(5);
    Stream stream;
    stream.name = "school";
    stream.key = ApiKeyOf("school");
    stream.path = "/normal";
    stream.entries = entries;
    stream.calls_per_second = 0.4 * kCapacity;
    const std::size_t index = load.Add(stream);
    load.RunFor(3 * kWarmUp);
    LoadGenerator counted(6);
    const std::size_t counted_index = counted.Add(stream);
    counted.RunFor(std::chrono::seconds(8));
    counted.Finish();
    static_cast<void>(index);
    return counted.Result(counted_index);
  };
  const StreamResult through = measure(bench.Entries());
  const StreamResult direct = measure(bench.Targets());
  for (const double quantile : {0.5, 0.9, 0.95, 0.99}) {
    std::cout << "  quantile " << quantile << ": through "
              << 1000 * through.Latency(quantile) << " ms, direct "
              << 1000 * direct.Latency(quantile) << " ms\n";
  }
  return {{"added milliseconds at the median",
           1000 * (through.Latency(0.5) - direct.Latency(0.5)), 0.79, false},
          {"added milliseconds for 99 in 100",
           1000 * (through.Latency(0.99) - direct.Latency(0.99)), 0.79, false}};
}

}  // namespace

const std::vector<Experiment>& AllExperiments() {
  static const std::vector<Experiment> experiments = {
      {"overload", "Does goodput hold at three times the capacity?", Overload},
      {"important", "Is important work served while background floods?",
       ImportantFirst},
      {"worst-served", "Is every customer inside its rate served alike?",
       WorstServed},
      {"cold", "Does a restarted target get no more than it bears?",
       ColdTarget},
      {"latency", "What do entry and gate add to a call?", AddedLatency},
  };
  return experiments;
}

}  // namespace daisywinch::bench
