#include <cstdlib>
#include <fstream>
#include <iomanip>
#include <iostream>
#include <sstream>
#include <thread>

#include "bench/load_generator.h"
#include "support/test_fleet.h"

namespace daisywinch::bench {

namespace {

using test::TestFleet;
using test::TestVm;

constexpr std::chrono::milliseconds kServiceTime{150};
constexpr std::chrono::seconds kPhaseTime{5};
/// Part of its rate that each customer uses.
constexpr double kUsedRate = 0.5;
constexpr double kStormRate = 3000;
constexpr int kHogFactor = 20;
constexpr char kHog[] = "libraries";

/// The Cartucho Vivo mesh on this machine.
class DemoFleet {
 public:
  explicit DemoFleet(const Configuration& configuration)
      : configuration(configuration) {
    const std::vector<std::pair<std::string, std::vector<std::string>>> sites =
        {{"drop-off-map", {"quito-a", "quito-a", "quito-b", "ibarra-c"}},
         {"pickups", {"quito-a", "quito-b", "ibarra-c"}},
         {"labels", {"quito-a", "quito-b", "ibarra-c"}},
         {"vouchers", {"quito-a", "quito-b", "ibarra-c"}}};
    for (const auto& [service, data_centres] : sites) {
      const Service& terms = *configuration.FindService(service);
      const std::vector<std::string> flags = {
          "--slots=" + std::to_string(terms.slots),
          "--cold_slots=" + std::to_string(terms.cold_slots),
          "--warm_up_ms=" +
              std::to_string(terms.warm_up / std::chrono::milliseconds(1)),
          "--service_ms=" + std::to_string(kServiceTime.count())};
      for (const std::string& data_centre : data_centres) {
        this->fleet.AddVm(data_centre, service, flags);
      }
    }
    this->fleet.Start(configuration);
  }

  /// Entries of all nodes, or the targets of one service themselves.
  std::vector<Address> Addresses(const std::string& service,
                                 bool is_protected) {
    std::vector<Address> addresses;
    for (const std::unique_ptr<TestVm>& vm : this->fleet.Vms()) {
      if (is_protected) {
        addresses.push_back(vm->caller_address);
      } else if (vm->service == service) {
        addresses.push_back(vm->target_address);
      }
    }
    return addresses;
  }

  void TakeOut(const std::string& name, bool is_out) {
    for (DataCentre& data_centre : this->configuration.data_centres) {
      if (data_centre.name == name) {
        data_centre.in_service = !is_out;
      }
    }
    ++this->configuration.version;
    this->fleet.PublishConfiguration(this->configuration);
  }

 private:
  Configuration configuration;
  TestFleet fleet;
};

/// Traffic of the eight customers, the hog and the retired job.
class DemoTraffic {
 public:
  DemoTraffic(DemoFleet& fleet,
              const Configuration& configuration,
              bool is_protected)
      : load(1) {
    struct Kind {
      const char* method;
      const char* path;
      const char* service;
      double part;
      bool keyed;
    };
    const std::vector<Kind> kinds = {
        {"GET", "/drop-off-points/quito", "drop-off-map", 0.5, false},
        {"POST", "/pickups", "pickups", 0.2, true},
        {"GET", "/labels/7", "labels", 0.2, false},
        {"POST", "/vouchers", "vouchers", 0.1, true}};
    for (const Customer& customer : configuration.customers) {
      for (const Kind& kind : kinds) {
        Stream stream;
        stream.name = customer.name;
        stream.key = "demo-key-" + customer.name;
        stream.method = kind.method;
        stream.path = kind.path;
        stream.has_idempotency_key = kind.keyed;
        stream.entries = fleet.Addresses(kind.service, is_protected);
        stream.attempts = 3;
        const double rate = kUsedRate * kind.part * customer.rate;
        this->streams.push_back({this->load.Add(stream), rate});
        this->names.push_back(customer.name);
      }
    }
    Stream storm;
    storm.name = "retired job";
    storm.key = "demo-key-print-shops-loja";
    storm.path = "/campaign-2019/job";
    storm.entries = fleet.Addresses("drop-off-map", is_protected);
    storm.attempts = 5;
    this->storm = this->load.Add(storm);
  }

  void WarmUp() {
    for (const double part : {0.05, 0.1, 0.2, 0.4, 0.7, 1.0}) {
      this->SetRates(part, 1);
      this->load.RunFor(std::chrono::seconds(1));
    }
  }

  void SetStorm(bool storms) {
    this->load.SetRate(this->storm, storms ? kStormRate : 0);
  }
  void SetHog(bool hogs) { this->SetRates(1, hogs ? kHogFactor : 1); }
  void RunFor(Duration time) { this->load.RunFor(time); }

  /// Runs one phase and prints what became of its requests.
  void RunPhase(const std::string& title, Duration time) {
    std::vector<StreamResult> before;
    for (const auto& [stream, rate] : this->streams) {
      before.push_back(this->load.Result(stream));
    }
    this->load.RunFor(time);
    this->PrintPhase(title, time, before);
  }

 private:
  void SetRates(double part, double hog_factor) {
    for (std::size_t index = 0; index < this->streams.size(); ++index) {
      const double factor = this->names[index] == kHog ? hog_factor : 1;
      this->load.SetRate(this->streams[index].first,
                         part * factor * this->streams[index].second);
    }
  }

  void PrintPhase(const std::string& title,
                  Duration time,
                  const std::vector<StreamResult>& before) {
    std::map<std::string, double> asked;
    std::map<std::string, double> served;
    std::map<int, std::uint64_t> refusals;
    std::vector<double> latencies;
    double good = 0;
    for (std::size_t index = 0; index < this->streams.size(); ++index) {
      const StreamResult& now = this->load.Result(this->streams[index].first);
      const StreamResult& then = before[index];
      const double ended = static_cast<double>(now.good + now.gave_up -
                                               then.good - then.gave_up);
      asked[this->names[index]] += ended;
      served[this->names[index]] += static_cast<double>(now.good - then.good);
      good += static_cast<double>(now.good - then.good);
      for (const auto& [reason, count] : now.refusals) {
        const auto earlier = then.refusals.find(reason);
        refusals[reason] +=
            count - (earlier == then.refusals.end() ? 0 : earlier->second);
      }
      latencies.insert(latencies.end(),
                       now.latencies.begin() +
                           static_cast<std::ptrdiff_t>(then.latencies.size()),
                       now.latencies.end());
    }
    std::string worst;
    double worst_part = 2;
    for (const auto& [name, count] : asked) {
      const double part = count > 0 ? served[name] / count : 1;
      if (name != kHog && part < worst_part) {
        worst_part = part;
        worst = name;
      }
    }
    StreamResult sorted;
    sorted.latencies = latencies;
    const double own = std::chrono::duration<double>(kServiceTime).count();
    std::cout << std::fixed << std::setprecision(1) << "  " << std::left
              << std::setw(34) << title << std::right << std::setw(7)
              << good / std::chrono::duration<double>(time).count()
              << " good/s   worst-served " << std::setw(5) << 100 * worst_part
              << " % (" << worst << ")   over the target's time: "
              << 1000 * (sorted.Latency(0.5) - own) << " ms median, "
              << 1000 * (sorted.Latency(0.99) - own) << " ms 99 in 100";
    for (const auto& [reason, count] : refusals) {
      if (count > 0) {
        std::cout << "\n"
                  << std::string(36, ' ') << count << " attempts: "
                  << (reason == 0 ? "no answer"
                      : reason < 100 || reason > 599
                          ? "other"
                          : std::string(Describe(reason).title));
      }
    }
    std::cout << std::endl;
  }

  LoadGenerator load;
  std::vector<std::pair<std::size_t, double>> streams;
  std::vector<std::string> names;
  std::size_t storm = 0;
};

Configuration ReadExample(const std::string& file) {
  std::ostringstream text;
  text << std::ifstream(file).rdbuf();
  return test::MakeConfiguration(text.str());
}

void RunSide(const Configuration& configuration, bool is_protected) {
  std::cout << (is_protected ? "With daisywinch:" : "Without protection:")
            << std::endl;
  DemoFleet fleet(configuration);
  DemoTraffic traffic(fleet, configuration, is_protected);
  traffic.WarmUp();
  traffic.RunPhase("ordinary traffic", kPhaseTime);
  traffic.SetStorm(true);
  traffic.RunPhase("a retired job storms", kPhaseTime);
  traffic.SetStorm(false);
  traffic.RunPhase("after the storm", kPhaseTime);
  traffic.SetHog(true);
  traffic.RunPhase("a customer at 10 times its rate", kPhaseTime);
  traffic.SetHog(false);
  if (!is_protected) {
    return;
  }
  fleet.TakeOut("quito-a", true);
  traffic.RunPhase("quito-a is taken out", kPhaseTime);
  fleet.TakeOut("quito-a", false);
  traffic.RunPhase("quito-a is brought back", kPhaseTime);
}

}  // namespace

}  // namespace daisywinch::bench

/// Shows the Cartucho Vivo mesh with and without protection; the argument is
/// the file with its answers.
int main(int argc, char** argv) {
  if (argc != 2) {
    std::cerr << "usage: demo ANSWERS-FILE\n";
    return EXIT_FAILURE;
  }
  daisywinch::test::KillProcessesOnSignal();
  const daisywinch::Configuration configuration =
      daisywinch::bench::ReadExample(argv[1]);
  daisywinch::bench::RunSide(configuration, true);
  daisywinch::bench::RunSide(configuration, false);
  return EXIT_SUCCESS;
}
