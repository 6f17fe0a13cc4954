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
constexpr std::chrono::seconds kPhaseDuration{5};
/// Fraction of its permitted rate that each customer sends.
constexpr double kRateUtilization = 0.5;
/// Requests per second of the retired job while it sends.
constexpr double kBurstRate = 3000;
/// Factor on the traffic of the customer that exceeds its rate: with
/// kRateUtilization it sends 10 times its permitted rate.
constexpr int kOverRateFactor = 20;
constexpr char kOverRateCustomer[] = "libraries";

/// Runs the Cartucho Vivo mesh as processes on this machine.
class DemoFleet {
 public:
  explicit DemoFleet(const Configuration& configuration)
      : configuration(configuration) {
    const std::vector<std::pair<std::string, std::vector<std::string>>>
        placements = {
            {"drop-off-map", {"quito-a", "quito-a", "quito-b", "ibarra-c"}},
            {"pickups", {"quito-a", "quito-b", "ibarra-c"}},
            {"labels", {"quito-a", "quito-b", "ibarra-c"}},
            {"vouchers", {"quito-a", "quito-b", "ibarra-c"}}};
    for (const auto& [service, data_centres] : placements) {
      const Service& service_configuration =
          *configuration.FindService(service);
      const std::vector<std::string> flags = {
          "--slots=" + std::to_string(service_configuration.slots),
          "--cold_slots=" + std::to_string(service_configuration.cold_slots),
          "--warm_up_ms=" + std::to_string(service_configuration.warm_up /
                                           std::chrono::milliseconds(1)),
          "--service_ms=" + std::to_string(kServiceTime.count())};
      for (const std::string& data_centre : data_centres) {
        this->fleet.AddVm(data_centre, service, flags);
      }
    }
    this->fleet.Start(configuration);
  }

  /// Returns the ingress addresses of all nodes if `is_protected`, otherwise
  /// the addresses of the targets of the service.
  std::vector<Address> ServerAddresses(const std::string& service,
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

  /// Publishes a new version of the configuration in which the data centre is
  /// out of service or back in service.
  void SetOutOfService(const std::string& name, bool is_out_of_service) {
    for (DataCentre& data_centre : this->configuration.data_centres) {
      if (data_centre.name == name) {
        data_centre.in_service = !is_out_of_service;
      }
    }
    ++this->configuration.version;
    this->fleet.PublishConfiguration(this->configuration);
  }

 private:
  Configuration configuration;
  TestFleet fleet;
};

/// Traffic of all customers of the configuration, one of which may exceed its
/// rate, and of a job that still calls a retired route.
class DemoTraffic {
 public:
  DemoTraffic(DemoFleet& fleet,
              const Configuration& configuration,
              bool is_protected)
      : load(1) {
    struct RequestTemplate {
      const char* method;
      const char* path;
      const char* service;
      double fraction;
      bool has_idempotency_key;
    };
    const std::vector<RequestTemplate> request_templates = {
        {"GET", "/drop-off-points/quito", "drop-off-map", 0.5, false},
        {"POST", "/pickups", "pickups", 0.2, true},
        {"GET", "/labels/7", "labels", 0.2, false},
        {"POST", "/vouchers", "vouchers", 0.1, true}};
    for (const Customer& customer : configuration.customers) {
      for (const RequestTemplate& request_template : request_templates) {
        Stream stream;
        stream.name = customer.name;
        stream.key = "demo-key-" + customer.name;
        stream.method = request_template.method;
        stream.path = request_template.path;
        stream.has_idempotency_key = request_template.has_idempotency_key;
        stream.server_addresses =
            fleet.ServerAddresses(request_template.service, is_protected);
        stream.attempts = 3;
        const double rate =
            kRateUtilization * request_template.fraction * customer.rate;
        this->stream_rates.push_back({this->load.Add(stream), rate});
        this->customer_names.push_back(customer.name);
      }
    }
    Stream burst_stream;
    burst_stream.name = "retired job";
    burst_stream.key = "demo-key-print-shops-loja";
    burst_stream.path = "/campaign-2019/job";
    burst_stream.server_addresses =
        fleet.ServerAddresses("drop-off-map", is_protected);
    burst_stream.attempts = 5;
    this->burst_stream_index = this->load.Add(burst_stream);
  }

  /// Raises the load in steps, so that cold targets can warm up.
  void WarmUp() {
    for (const double fraction : {0.05, 0.1, 0.2, 0.4, 0.7, 1.0}) {
      this->SetRates(fraction, 1);
      this->load.RunFor(std::chrono::seconds(1));
    }
  }

  void SetBurst(bool is_bursting) {
    this->load.SetRate(this->burst_stream_index, is_bursting ? kBurstRate : 0);
  }
  void SetOverRate(bool is_over_rate) {
    this->SetRates(1, is_over_rate ? kOverRateFactor : 1);
  }
  void RunFor(Duration time) { this->load.RunFor(time); }

  /// Runs one phase and prints the outcome of its requests.
  void RunPhase(const std::string& title, Duration time) {
    std::vector<StreamResult> before;
    for (const auto& [stream, rate] : this->stream_rates) {
      before.push_back(this->load.Result(stream));
    }
    this->load.RunFor(time);
    this->PrintPhase(title, time, before);
  }

 private:
  void SetRates(double fraction, double over_rate_factor) {
    for (std::size_t index = 0; index < this->stream_rates.size(); ++index) {
      const double factor = this->customer_names[index] == kOverRateCustomer
                                ? over_rate_factor
                                : 1;
      this->load.SetRate(this->stream_rates[index].first,
                         fraction * factor * this->stream_rates[index].second);
    }
  }

  void PrintPhase(const std::string& title,
                  Duration time,
                  const std::vector<StreamResult>& before) {
    std::map<std::string, double> completed;
    std::map<std::string, double> succeeded;
    std::map<int, std::uint64_t> refusals;
    std::vector<double> latencies;
    double success_count = 0;
    for (std::size_t index = 0; index < this->stream_rates.size(); ++index) {
      const StreamResult& current =
          this->load.Result(this->stream_rates[index].first);
      const StreamResult& previous = before[index];
      const double ended =
          static_cast<double>(current.success_count + current.failure_count -
                              previous.success_count - previous.failure_count);
      completed[this->customer_names[index]] += ended;
      succeeded[this->customer_names[index]] +=
          static_cast<double>(current.success_count - previous.success_count);
      success_count +=
          static_cast<double>(current.success_count - previous.success_count);
      for (const auto& [reason, count] : current.refusals) {
        const auto earlier = previous.refusals.find(reason);
        refusals[reason] +=
            count - (earlier == previous.refusals.end() ? 0 : earlier->second);
      }
      latencies.insert(
          latencies.end(),
          current.latencies.begin() +
              static_cast<std::ptrdiff_t>(previous.latencies.size()),
          current.latencies.end());
    }
    std::string worst_customer;
    double worst_fraction = 2;
    for (const auto& [name, count] : completed) {
      const double fraction = count > 0 ? succeeded[name] / count : 1;
      if (name != kOverRateCustomer && fraction < worst_fraction) {
        worst_fraction = fraction;
        worst_customer = name;
      }
    }
    StreamResult phase_result;
    phase_result.latencies = latencies;
    const double service_seconds =
        std::chrono::duration<double>(kServiceTime).count();
    std::cout << std::fixed << std::setprecision(1) << "  " << std::left
              << std::setw(34) << title << std::right << std::setw(7)
              << success_count / std::chrono::duration<double>(time).count()
              << " successful/s   worst-served " << std::setw(5)
              << 100 * worst_fraction << " % (" << worst_customer
              << ")   latency above the service time: "
              << 1000 * (phase_result.Latency(0.5) - service_seconds)
              << " ms median, "
              << 1000 * (phase_result.Latency(0.99) - service_seconds)
              << " ms 99th percentile";
    for (const auto& [reason, count] : refusals) {
      if (count > 0) {
        std::cout << "\n"
                  << std::string(36, ' ') << count << " attempts: "
                  << (reason == 0 ? "no response"
                      : reason < 100 || reason > 599
                          ? "other"
                          : std::string(Describe(reason).title));
      }
    }
    std::cout << std::endl;
  }

  LoadGenerator load;
  std::vector<std::pair<std::size_t, double>> stream_rates;
  std::vector<std::string> customer_names;
  std::size_t burst_stream_index = 0;
};

Configuration ReadConfiguration(const std::string& file) {
  std::ostringstream text;
  text << std::ifstream(file).rdbuf();
  return test::MakeConfiguration(text.str());
}

/// Runs all phases with the nodes, or with callers that reach the targets
/// directly. Only nodes can take a data centre out of service.
void RunDemo(const Configuration& configuration, bool is_protected) {
  std::cout << (is_protected ? "With daisywinch:" : "Without protection:")
            << std::endl;
  DemoFleet fleet(configuration);
  DemoTraffic traffic(fleet, configuration, is_protected);
  traffic.WarmUp();
  traffic.RunPhase("ordinary traffic", kPhaseDuration);
  traffic.SetBurst(true);
  traffic.RunPhase("traffic burst of a retired job", kPhaseDuration);
  traffic.SetBurst(false);
  traffic.RunPhase("after the burst", kPhaseDuration);
  traffic.SetOverRate(true);
  traffic.RunPhase("a customer at 10 times its rate", kPhaseDuration);
  traffic.SetOverRate(false);
  if (!is_protected) {
    return;
  }
  fleet.SetOutOfService("quito-a", true);
  traffic.RunPhase("quito-a is out of service", kPhaseDuration);
  fleet.SetOutOfService("quito-a", false);
  traffic.RunPhase("quito-a is back in service", kPhaseDuration);
}

}  // namespace

}  // namespace daisywinch::bench

/// Runs the Cartucho Vivo mesh first with nodes and then with callers that
/// reach the targets directly, and prints how many requests succeed. The
/// argument is the file with the questionnaire answers that describe the mesh.
int main(int argc, char** argv) {
  if (argc != 2) {
    std::cerr << "usage: demo ANSWERS-FILE\n";
    return EXIT_FAILURE;
  }
  daisywinch::test::KillProcessesOnSignal();
  const daisywinch::Configuration configuration =
      daisywinch::bench::ReadConfiguration(argv[1]);
  daisywinch::bench::RunDemo(configuration, true);
  daisywinch::bench::RunDemo(configuration, false);
  return EXIT_SUCCESS;
}
