// Simulates nodes that exchange updates only through relays, and checks which
// sums they receive and how much they admit.
#include "coordination/traffic_relay.h"

#include <algorithm>
#include <deque>
#include <functional>
#include <memory>
#include <random>
#include <set>
#include <string>
#include <vector>

#include <boost/test/unit_test.hpp>

#include "coordination/distributed_rate_limiter.h"
#include "protocol/traffic_codec.h"
#include "state/token_bucket.h"

namespace daisywinch {

namespace {

using std::chrono::milliseconds;

constexpr milliseconds kUpdateInterval{500};
constexpr milliseconds kUrgentInterval{200};
constexpr milliseconds kTickInterval{100};
constexpr milliseconds kLinkDelay{2};
constexpr char kCustomer[] = "school";

MeshBounds PlatformBounds() {
  MeshBounds bounds;
  bounds.quota_window = std::chrono::seconds(5);
  bounds.quota_over = 0.25;
  bounds.quota_slack = 20;
  return bounds;
}

/// Simulated nodes in data centres of equal size, with one customer.
class RelaySimulation {
 public:
  RelaySimulation(int centres, int nodes_each, double rate, std::uint64_t seed)
      : rate(rate), random(seed), ideal(rate, rate, rate, now) {
    MeshCustomer customer;
    customer.name = kCustomer;
    customer.rate = rate;
    customer.burst = rate;
    this->configuration =
        MeshConfiguration(1, {}, {}, {customer}, CallerLimits());
    for (int centre = 0; centre < centres; ++centre) {
      for (int node = 0; node < nodes_each; ++node) {
        SimulatedNode added;
        added.ip =
            "10." + std::to_string(centre) + ".0." + std::to_string(10 + node);
        added.centre = "dc-" + std::to_string(centre);
        this->listed[added.centre].insert(added.ip);
        this->nodes.push_back(std::move(added));
      }
    }
    for (SimulatedNode& node : this->nodes) {
      this->Start(node);
    }
  }

  /// Offers `demand` requests per second in total for `time`, at the nodes with
  /// the indices `at`, or at all nodes if it is empty.
  void Run(double demand, milliseconds time, std::set<int> at = {}) {
    std::poisson_distribution<int> count(demand * 0.001);
    for (milliseconds passed{0}; passed < time; passed += milliseconds(1)) {
      this->now += milliseconds(1);
      this->Deliver();
      for (std::size_t index = 0; index < this->nodes.size(); ++index) {
        this->Tick(index);
      }
      for (int left = count(this->random); left > 0; --left) {
        this->SendRequest(at);
      }
    }
  }

  /// Forgets all admitted requests, so that windows start from now.
  void ResetWindow() { this->admitted_at.clear(); }

  /// Restarts a node with no state.
  void Restart(std::size_t index) { this->Start(this->nodes[index]); }

  /// Requests that the other nodes have admitted, according to the last sum
  /// that a node received.
  double OthersReceived(std::size_t index) const {
    return this->nodes[index].others_received;
  }
  double AdmittedByOthers(std::size_t index) const {
    double sum = 0;
    for (std::size_t other = 0; other < this->nodes.size(); ++other) {
      sum += other == index ? 0 : this->nodes[other].admitted;
    }
    return sum;
  }
  std::size_t RelayCount() const {
    return std::count_if(this->nodes.begin(), this->nodes.end(),
                         [this](const SimulatedNode& node) {
                           return !node.relay->Subscribers(this->now).empty();
                         });
  }
  Duration TimeSinceUpdate(std::size_t index) const {
    return this->now - this->nodes[index].last_seen_at;
  }
  double SlotsReceived(std::size_t index) const {
    return this->nodes[index].slots_received;
  }

  bool IsIsolated(std::size_t index) const {
    return this->nodes[index].relay->IsIsolated(this->now);
  }

  int AdmittedCount() const {
    return static_cast<int>(this->admitted_at.size());
  }

  /// Largest number of requests admitted in any window of five seconds.
  int MaxInWindow() const {
    int max_admitted = 0;
    std::deque<TimePoint> window;
    for (const TimePoint time : this->admitted_at) {
      window.push_back(time);
      while (time - window.front() > PlatformBounds().quota_window) {
        window.pop_front();
      }
      max_admitted = std::max(max_admitted, static_cast<int>(window.size()));
    }
    return max_admitted;
  }
  /// Maximum for MaxInWindow() that the operators accept.
  double Bound() const { return (this->rate * 5 + this->rate) * 1.25 + 20; }
  /// Fraction of the requests within a single token bucket of the customer that
  /// the nodes refused nevertheless.
  double WronglyRefusedFraction() const {
    return static_cast<double>(this->wrongly_refused) /
           std::max(1, this->ideally_admitted);
  }

  /// Nodes that neither send nor receive, not even among each other.
  std::set<std::size_t> isolated;
  /// Data centres that exchange datagrams only internally.
  std::set<std::string> isolated_centres;
  std::size_t datagrams = 0;

 private:
  struct SimulatedNode {
    std::string ip;
    std::string centre;
    std::uint64_t incarnation = 0;
    std::unique_ptr<DistributedRateLimiter> limiter;
    std::unique_ptr<TrafficRelay> relay;
    TimePoint started_at;
    TimePoint next_tick_at;
    TimePoint sent_at;
    TimePoint last_relayed_at;
    double admitted = 0;
    double others_received = 0;
    double slots_received = 0;
    TimePoint last_seen_at;
  };

  void Start(SimulatedNode& node) {
    node.incarnation = this->next_incarnation++;
    node.started_at = this->now;
    node.limiter = std::make_unique<DistributedRateLimiter>(PlatformBounds());
    node.limiter->Configure(this->configuration, this->now);
    node.limiter->SetNodes({"others"}, this->nodes.size(), this->now);
    node.relay = std::make_unique<TrafficRelay>(node.ip, node.centre);
    node.relay->SetNodes(this->listed);
    node.relay->SetConfiguration(this->configuration);
    std::uniform_int_distribution<int> phase(0, kUpdateInterval.count());
    node.next_tick_at = this->now + milliseconds(phase(this->random));
    node.sent_at = TimePoint();
  }

  void SendRequest(const std::set<int>& at) {
    std::uniform_int_distribution<std::size_t> any(0, this->nodes.size() - 1);
    std::size_t index = any(this->random);
    while (!at.empty() && !at.contains(static_cast<int>(index))) {
      index = any(this->random);
    }
    SimulatedNode& node = this->nodes[index];
    const bool ideal_admits = this->ideal.TryAcquire(1, this->now);
    const bool admitted = node.limiter->TryAcquire(kCustomer, this->now);
    this->ideally_admitted += ideal_admits ? 1 : 0;
    this->wrongly_refused += ideal_admits && !admitted ? 1 : 0;
    if (admitted) {
      node.admitted += 1;
      this->admitted_at.push_back(this->now);
    }
  }

  bool CanReach(std::size_t from, std::size_t to) const {
    const std::string& source = this->nodes[from].centre;
    const std::string& target = this->nodes[to].centre;
    const bool is_partitioned =
        source != target && (this->isolated_centres.contains(source) ||
                             this->isolated_centres.contains(target));
    return !is_partitioned && !this->isolated.contains(from) &&
           !this->isolated.contains(to);
  }

  void Send(std::size_t from,
            const std::string& ip,
            std::function<void(SimulatedNode&)> handler) {
    std::size_t to = 0;
    while (this->nodes[to].ip != ip) {
      ++to;
    }
    if (from == to) {
      handler(this->nodes[to]);
    } else if (this->CanReach(from, to)) {
      ++this->datagrams;
      this->in_flight.push_back(
          {this->now + kLinkDelay, to, std::move(handler)});
    }
  }

  void Deliver() {
    while (!this->in_flight.empty() &&
           this->in_flight.front().at <= this->now) {
      const Message sent = std::move(this->in_flight.front());
      this->in_flight.pop_front();
      sent.handler(this->nodes[sent.to]);
    }
  }

  /// Does what a node does every 100 ms: sends its update when it is due or
  /// urgent, and relays.
  void Tick(std::size_t index) {
    SimulatedNode& node = this->nodes[index];
    if (this->now < node.next_tick_at) {
      return;
    }
    node.next_tick_at += kTickInterval;
    if (this->now - node.sent_at >= kUpdateInterval ||
        node.limiter->HasUrgentUpdate(this->now)) {
      node.sent_at = this->now;
      TrafficUpdate update;
      update.customers = node.limiter->MakeUsageUpdate(this->now);
      update.load.service = "voucher";
      update.load.slots = 1;
      update.age = this->now - node.started_at;
      for (const std::string& ip : node.relay->LocalRelays(this->now)) {
        this->Send(index, ip,
                   [this, update, from = node.ip,
                    incarnation = node.incarnation](SimulatedNode& relay) {
                     relay.relay->ApplyNodeUpdate(from, incarnation, update,
                                                  this->now);
                   });
      }
    }
    this->RelayUpdates(index);
  }

  void RelayUpdates(std::size_t index) {
    SimulatedNode& node = this->nodes[index];
    if (this->now - node.last_relayed_at < kUrgentInterval) {
      return;
    }
    const bool is_time = this->now - node.last_relayed_at >= kUpdateInterval;
    const TrafficRelay::Urgency urgency = node.relay->TakeUrgency();
    if (!is_time && !urgency.subscribers) {
      return;
    }
    node.last_relayed_at = this->now;
    TrafficSum local_sum = node.relay->MakeLocalSum(this->now);
    local_sum.age = this->now - node.started_at;
    for (const std::string& ip : node.relay->RemoteRelays(this->now)) {
      this->Send(index, ip,
                 [this, local_sum, centre = node.centre, from = node.ip,
                  incarnation = node.incarnation](SimulatedNode& other) {
                   other.relay->ApplyDataCentreSum(centre, from, incarnation,
                                                   local_sum, this->now);
                 });
    }
    const FleetSum fleet = node.relay->MakeFleetSum(this->now);
    for (const std::string& ip : node.relay->Subscribers(this->now)) {
      TrafficSum others = node.relay->OthersSumFor(ip, fleet);
      others.age = this->now - node.started_at;
      this->Send(index, ip,
                 [this, others, from = node.ip,
                  incarnation = node.incarnation](SimulatedNode& subscriber) {
                   this->ApplyOthersSum(subscriber, from, incarnation, others);
                 });
    }
  }

  void ApplyOthersSum(SimulatedNode& node,
                      const std::string& from,
                      std::uint64_t incarnation,
                      TrafficSum others) {
    if (!node.relay->ApplyOthersSum(from, incarnation, others, this->now)) {
      return;
    }
    node.limiter->ApplyUsageUpdate("others", 1, others.customers, false,
                                   this->now);
    const auto usage = others.customers.find(kCustomer);
    node.others_received = usage == others.customers.end()
                               ? 0
                               : static_cast<double>(usage->second.admitted);
    const auto slots = others.load.slots.find("voucher");
    node.slots_received = slots == others.load.slots.end() ? 0 : slots->second;
    node.last_seen_at = this->now;
  }

  struct Message {
    TimePoint at;
    std::size_t to;
    std::function<void(SimulatedNode&)> handler;
  };

  double rate;
  std::mt19937_64 random;
  TimePoint now = TimePoint(std::chrono::hours(1));
  TokenBucket ideal;
  MeshConfiguration configuration;
  std::map<std::string, std::set<std::string>> listed;
  std::vector<SimulatedNode> nodes;
  std::deque<Message> in_flight;
  std::uint64_t next_incarnation = 1;
  std::vector<TimePoint> admitted_at;
  int ideally_admitted = 0;
  int wrongly_refused = 0;
};

}  // namespace

BOOST_AUTO_TEST_SUITE(traffic_relay)

BOOST_AUTO_TEST_CASE(every_node_receives_the_sum_of_all_others) {
  RelaySimulation simulation(3, 6, 100, 1);
  simulation.Run(0, milliseconds(3000));
  simulation.Run(60, milliseconds(5000));
  simulation.Run(0, milliseconds(2500));
  BOOST_TEST(simulation.RelayCount() == 6);
  for (std::size_t index = 0; index < 18; ++index) {
    BOOST_TEST(std::abs(simulation.OthersReceived(index) -
                        simulation.AdmittedByOthers(index)) <= 1);
    BOOST_TEST(simulation.SlotsReceived(index) == 18);
  }
}

BOOST_AUTO_TEST_CASE(datagrams_grow_linearly_with_nodes) {
  const auto datagrams_per_node_second = [](int nodes_each) {
    RelaySimulation simulation(3, nodes_each, 100, 1);
    simulation.Run(0, milliseconds(2000));
    simulation.datagrams = 0;
    simulation.Run(0, milliseconds(10'000));
    return static_cast<double>(simulation.datagrams) / (3 * nodes_each) / 10;
  };
  // Each half second a node sends two datagrams and receives two; the rest is
  // traffic between relays.
  BOOST_TEST(datagrams_per_node_second(30) < 9);
  BOOST_TEST(datagrams_per_node_second(30) <
             1.1 * datagrams_per_node_second(10));
}

BOOST_AUTO_TEST_CASE(isolated_relay_is_replaced) {
  RelaySimulation simulation(3, 6, 100, 2);
  simulation.Run(60, milliseconds(4000));
  // The first two nodes of the first data centre are its relays.
  simulation.isolated = {0, 1};
  simulation.Run(60, milliseconds(4000));
  for (std::size_t index = 2; index < 18; ++index) {
    BOOST_TEST((simulation.TimeSinceUpdate(index) < milliseconds(1000)));
    BOOST_TEST(simulation.SlotsReceived(index) == 16);
  }
  simulation.isolated.clear();
  simulation.Run(60, milliseconds(6000));
  for (std::size_t index = 0; index < 18; ++index) {
    BOOST_TEST((simulation.TimeSinceUpdate(index) < milliseconds(1000)));
    BOOST_TEST(simulation.SlotsReceived(index) == 18);
  }
}

BOOST_AUTO_TEST_CASE(relayed_normal_demand_is_not_refused) {
  for (std::uint64_t seed = 1; seed <= 5; ++seed) {
    for (const double rate : {10.0, 40.0, 240.0}) {
      RelaySimulation simulation(3, 10, rate, seed);
      simulation.Run(0, milliseconds(3000));
      simulation.Run(rate / 1.6, milliseconds(15'000));
      BOOST_TEST(simulation.WronglyRefusedFraction() <= 0.002);
    }
  }
}

// Guards against a relay that is selected a second time while the baselines of
// its first selection are still in use. Requests were then counted twice, and
// at all nodes each customer had a debt of one second of its rate. The failure
// occurred when VMs were isolated while others were removed.
BOOST_AUTO_TEST_CASE(repeated_relay_failover_counts_nothing_twice) {
  RelaySimulation simulation(3, 6, 80, 4);
  std::set<int> others;
  for (int index = 2; index < 18; ++index) {
    others.insert(index);
  }
  simulation.Run(50, milliseconds(4000));
  for (int round = 0; round < 3; ++round) {
    simulation.isolated = {0, 1};
    simulation.Run(50, milliseconds(4000), others);
    simulation.isolated.clear();
    simulation.Run(50, milliseconds(9000));
  }
  BOOST_TEST(simulation.WronglyRefusedFraction() <= 0.002);
}

BOOST_AUTO_TEST_CASE(relayed_sudden_demand_stays_within_the_bound) {
  for (std::uint64_t seed = 1; seed <= 5; ++seed) {
    for (const double rate : {20.0, 106.0}) {
      RelaySimulation simulation(3, 10, rate, seed);
      simulation.Run(rate / 1.6, milliseconds(4000));
      simulation.Run(rate / 1.6 * 7.5, milliseconds(8000));
      simulation.Run(rate / 1.6, milliseconds(4000));
      BOOST_TEST(simulation.MaxInWindow() <= simulation.Bound());
    }
  }
}

BOOST_AUTO_TEST_CASE(relay_lost_during_sudden_demand_keeps_the_bound) {
  for (std::uint64_t seed = 1; seed <= 5; ++seed) {
    RelaySimulation simulation(3, 6, 80, seed);
    simulation.Run(50, milliseconds(4000));
    simulation.isolated = {0};
    simulation.Run(300, milliseconds(3000));
    simulation.Restart(1);
    simulation.Run(300, milliseconds(5000));
    BOOST_TEST(simulation.MaxInWindow() <= simulation.Bound());
  }
}

// Such updates gave a rate of millions a second, and the next change of relay
// a debt of as many requests.
BOOST_AUTO_TEST_CASE(updates_that_arrive_together_cause_no_debt) {
  RelayedCounts counts;
  const auto apply = [&counts](std::uint64_t incarnation,
                               std::uint64_t admitted, Duration time) {
    TrafficSum sum;
    sum.members = 3;
    sum.customers["school"].admitted = admitted;
    std::map<std::string, double> deltas;
    const TimePoint start = TimePoint() + std::chrono::hours(1);
    counts.ApplyCounts("relay", incarnation, sum, start + time, deltas);
    return deltas["school"];
  };
  apply(1, 1000, Duration::zero());
  apply(1, 1500, milliseconds(1000));
  apply(1, 1600, milliseconds(1000) + std::chrono::microseconds(50));
  // The restarted relay has no counts to compare with. It reported 600 requests
  // in the second before.
  BOOST_TEST(apply(2, 3, milliseconds(1200)) <= 600);
}

// All 87 nodes restarted while a customer's demand was four times its rate.
// Until the first updates had been exchanged, each node spent the whole burst.
BOOST_AUTO_TEST_CASE(restart_of_all_nodes_keeps_the_bound) {
  for (std::uint64_t seed = 1; seed <= 3; ++seed) {
    RelaySimulation simulation(3, 20, 400, seed);
    simulation.Run(250, milliseconds(3000));
    simulation.Run(1600, milliseconds(3000));
    for (std::size_t index = 0; index < 60; ++index) {
      simulation.Restart(index);
    }
    simulation.ResetWindow();
    simulation.Run(1600, milliseconds(6000));
    BOOST_TEST(simulation.MaxInWindow() <= simulation.Bound());
  }
}

BOOST_AUTO_TEST_CASE(isolated_data_centre_keeps_the_bound) {
  for (std::uint64_t seed = 1; seed <= 5; ++seed) {
    RelaySimulation simulation(3, 6, 80, seed);
    simulation.Run(50, milliseconds(4000));
    simulation.isolated_centres = {"dc-1"};
    simulation.Run(50, milliseconds(3000));
    simulation.Run(80 * 4, milliseconds(6000));
    simulation.isolated_centres.clear();
    simulation.Run(80 * 4, milliseconds(4000));
    BOOST_TEST(simulation.MaxInWindow() <= simulation.Bound());
  }
}

// Every node may spend a few tokens before it knows what the others spend. With
// 94 nodes these came to twice the burst: 758 requests where 672 are allowed.
BOOST_AUTO_TEST_CASE(restart_of_a_large_fleet_keeps_the_bound) {
  constexpr int kCentres = 5;
  constexpr int kNodesEach = 19;
  for (std::uint64_t seed = 1; seed <= 3; ++seed) {
    RelaySimulation simulation(kCentres, kNodesEach, 87, seed);
    simulation.Run(60, milliseconds(3000));
    simulation.Run(87 * 4.4, milliseconds(5000));
    for (std::size_t index = 0; index < kCentres * kNodesEach; ++index) {
      simulation.Restart(index);
    }
    simulation.Run(87 * 4.4, milliseconds(3000));
    BOOST_TEST(simulation.MaxInWindow() <= simulation.Bound());
  }
}

// Whenever the copies of the bucket were just above empty, all nodes admitted
// whatever was asked for until the next update; together with a restart that
// came to 879 requests where 710 are allowed.
BOOST_AUTO_TEST_CASE(lasting_demand_far_over_the_rate_is_admitted_evenly) {
  constexpr int kCentres = 5;
  constexpr int kNodesEach = 19;
  constexpr double kRate = 92;
  constexpr double kDemand = 6.5 * kRate;
  for (std::uint64_t seed = 1; seed <= 4; ++seed) {
    RelaySimulation simulation(kCentres, kNodesEach, kRate, seed);
    simulation.Run(60, milliseconds(3000));
    simulation.Run(kDemand, milliseconds(6000));
    simulation.ResetWindow();
    simulation.Run(kDemand, milliseconds(5000));
    // Rate and margin, and a quarter of the burst.
    BOOST_TEST(simulation.AdmittedCount() <= 1.075 * kRate * 5 + kRate / 4);
    BOOST_TEST(simulation.AdmittedCount() >= 0.9 * kRate * 5);
    for (std::size_t index = 0; index < kCentres * kNodesEach; ++index) {
      simulation.Restart(index);
    }
    simulation.Run(kDemand, milliseconds(3000));
    BOOST_TEST(simulation.MaxInWindow() <= simulation.Bound());
  }
}

// Nodes that were isolated, alone or with a few others, went on reporting that
// they were ready, and refused most of what their callers sent.
BOOST_AUTO_TEST_CASE(isolated_nodes_know_it) {
  RelaySimulation simulation(3, 6, 80, 6);
  for (std::size_t index = 0; index < 18; ++index) {
    BOOST_TEST(!simulation.IsIsolated(index));
  }
  simulation.Run(50, milliseconds(4000));
  for (std::size_t index = 0; index < 18; ++index) {
    BOOST_TEST(!simulation.IsIsolated(index));
  }
  // The first two nodes of a data centre are its relays.
  simulation.isolated = {0, 1, 8};
  simulation.Run(50, milliseconds(4000));
  for (std::size_t index = 0; index < 18; ++index) {
    BOOST_TEST(simulation.IsIsolated(index) ==
               simulation.isolated.contains(index));
  }
  simulation.isolated.clear();
  simulation.Run(50, milliseconds(2500));
  for (std::size_t index = 0; index < 18; ++index) {
    BOOST_TEST(!simulation.IsIsolated(index));
  }
}

// The slots of targets that nobody could reach counted for 2.5 s. Meanwhile
// more requests were admitted than the others could run, and most of their
// trees failed.
BOOST_AUTO_TEST_CASE(load_of_silent_nodes_counts_no_longer) {
  // Until a relay knows of the silence and its next sum has arrived.
  constexpr milliseconds kLimit{2000};
  RelaySimulation simulation(3, 6, 80, 8);
  simulation.Run(50, milliseconds(4000));
  BOOST_TEST(simulation.SlotsReceived(0) == 18);
  simulation.isolated = {5, 9};
  simulation.Run(50, kLimit);
  BOOST_TEST(simulation.SlotsReceived(0) == 16);
  simulation.isolated.clear();
  simulation.isolated_centres = {"dc-1"};
  simulation.Run(50, milliseconds(3000));
  BOOST_TEST(simulation.SlotsReceived(0) == 12);
}

BOOST_AUTO_TEST_CASE(isolated_data_centre_serves_its_callers) {
  RelaySimulation simulation(3, 6, 80, 7);
  simulation.Run(50, milliseconds(4000));
  simulation.isolated_centres = {"dc-1"};
  simulation.Run(50, milliseconds(6000));
  for (std::size_t index = 0; index < 18; ++index) {
    BOOST_TEST(!simulation.IsIsolated(index));
  }
}

// Guards against shares of sources that become silent one after the other and
// sum to more than 1, and against counting their estimated traffic as in
// transit: the remaining nodes refused everything for as long as the silence
// lasted.
BOOST_AUTO_TEST_CASE(silent_shares_leave_capacity_for_reachable_nodes) {
  RelaySimulation simulation(3, 6, 80, 5);
  simulation.Run(50, milliseconds(4000), {6, 7, 8, 9, 10, 11});
  simulation.isolated_centres = {"dc-1"};
  simulation.Run(50, milliseconds(8000), {12, 13, 14, 15, 16, 17});
  simulation.isolated_centres = {"dc-1", "dc-2"};
  simulation.Run(0, milliseconds(3000));
  const int before = simulation.AdmittedCount();
  simulation.Run(50, milliseconds(10'000), {0, 1, 2, 3, 4, 5});
  // At least one twentieth of the rate.
  BOOST_TEST(simulation.AdmittedCount() - before >= 80 / 20 * 10);
}

BOOST_AUTO_TEST_CASE(normal_demand_is_served_while_a_data_centre_is_isolated) {
  RelaySimulation simulation(3, 6, 80, 3);
  simulation.Run(50, milliseconds(4000));
  simulation.isolated_centres = {"dc-1"};
  simulation.Run(50, milliseconds(10'000));
  simulation.isolated_centres.clear();
  simulation.Run(50, milliseconds(5000));
  BOOST_TEST(simulation.WronglyRefusedFraction() <= 0.03);
}

// A request that ends targets has to be known in all data centres.
BOOST_AUTO_TEST_CASE(crashes_of_targets_are_passed_on_with_the_sums) {
  const TimePoint now = TimePoint(std::chrono::hours(1));
  TrafficRelay east("10.0.0.1", "east");
  TrafficRelay west("10.1.0.1", "west");
  TrafficUpdate update;
  update.crashes.crashes = {{11, {7, 8}, milliseconds(60)}};
  update.crashes.cleared = {{8, milliseconds(10)}};
  east.ApplyNodeUpdate("10.0.0.2", 1, update, now);
  BOOST_TEST(east.TakeUrgency().data_centres);
  protocol::SumNews message;
  EncodeTrafficSum(east.MakeLocalSum(now), message);
  west.ApplyDataCentreSum("east", "10.0.0.1", 1, DecodeTrafficSum(message),
                          now);
  BOOST_TEST(west.TakeUrgency().subscribers);
  const CrashReport report = west.MakeFleetSum(now).sum.crashes;
  BOOST_REQUIRE(report.crashes.size() == 1);
  BOOST_TEST(report.crashes[0].id == 11);
  BOOST_TEST((report.crashes[0].running == std::set<RequestDigest>{7, 8}));
  BOOST_TEST((report.crashes[0].age == milliseconds(60)));
  BOOST_REQUIRE(report.cleared.size() == 1);
  BOOST_TEST(report.cleared[0].digest == 8);
  // What is known already is not urgent.
  west.ApplyDataCentreSum("east", "10.0.0.1", 1, DecodeTrafficSum(message),
                          now + milliseconds(500));
  BOOST_TEST(!west.TakeUrgency().subscribers);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace daisywinch
