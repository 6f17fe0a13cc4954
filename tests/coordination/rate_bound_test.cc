#include <rapidcheck.h>

#include <boost/test/unit_test.hpp>

#include "support/token_simulation.h"

namespace daisywinch::test {

namespace {

Customer MakeCustomer(const std::string& name, double rate, double burst) {
  Customer customer;
  customer.name = name;
  customer.rate = rate;
  customer.burst = burst;
  return customer;
}

/// Injects random faults into a simulation with data centres a, b and c.
class FaultSchedule {
 public:
  FaultSchedule(TokenSimulation& simulation, std::uint64_t seed)
      : simulation(simulation), random(seed) {}

  /// Injects a fault with a small probability, and ends those that are due.
  void Step() {
    if (this->RandomInt(0, 150) == 0) {
      this->InjectFault();
    }
    for (auto end = this->ends.begin(); end != this->ends.end();) {
      if (end->first <= this->simulation.Now()) {
        end->second();
        end = this->ends.erase(end);
      } else {
        ++end;
      }
    }
  }

 private:
  int RandomInt(int lowest, int highest) {
    return std::uniform_int_distribution<int>(lowest, highest)(this->random);
  }

  std::string RandomNode() {
    const std::vector<std::string> nodes = this->simulation.RunningNodes();
    return nodes[this->RandomInt(0, static_cast<int>(nodes.size()) - 1)];
  }

  void ScheduleEnd(std::function<void()> end) {
    const Duration time = std::chrono::milliseconds(this->RandomInt(50, 5000));
    this->ends.emplace(this->simulation.Now() + time, std::move(end));
  }

  void InjectFault() {
    const std::string node = this->RandomNode();
    TokenSimulation& fleet = this->simulation;
    switch (this->RandomInt(0, 5)) {
      case 0:
        fleet.SetPaused(node, true);
        this->ScheduleEnd([&fleet, node] { fleet.SetPaused(node, false); });
        break;
      case 1: {
        const std::string data_centre_name(
            1, static_cast<char>('a' + this->RandomInt(0, 2)));
        fleet.SetDataCentreIsolated(data_centre_name, true);
        this->ScheduleEnd([&fleet, data_centre_name] {
          fleet.SetDataCentreIsolated(data_centre_name, false);
        });
        break;
      }
      case 2:
        fleet.SetNodeIsolated(node, true);
        this->ScheduleEnd(
            [&fleet, node] { fleet.SetNodeIsolated(node, false); });
        break;
      case 3:
        fleet.Kill(node);
        fleet.SetPaused(node, false);
        fleet.Start(node, this->RandomInt(0, 1) == 0);
        break;
      case 4:
        this->ReplaceNode(node);
        break;
      default: {
        LinkFaults faults;
        faults.loss_probability = this->RandomInt(0, 3) * 0.1;
        faults.duplication_probability = this->RandomInt(0, 3) * 0.1;
        faults.max_delay = std::chrono::milliseconds(this->RandomInt(1, 800));
        fleet.SetFaults(faults);
        this->ScheduleEnd([&fleet] { fleet.SetFaults(LinkFaults()); });
        break;
      }
    }
  }

  /// Removes a node from the VM list and adds a new one. The removed node keeps
  /// running for a while, in half of the cases isolated. Only one at a time:
  /// the rate bound is not guaranteed when several removed nodes keep running
  /// on the same side of a network partition.
  void ReplaceNode(const std::string& node) {
    if (this->is_replacing || this->simulation.RunningNodes().size() < 9) {
      return;
    }
    this->is_replacing = true;
    TokenSimulation& fleet = this->simulation;
    const std::string data_centre_name = node.substr(0, 1);
    fleet.SetNodeIsolated(node, this->RandomInt(0, 1) == 0);
    fleet.RemoveFromVmList(node);
    const std::string replacement =
        data_centre_name + "x" + std::to_string(this->replacement_count++);
    fleet.AddNode(replacement, data_centre_name);
    const Duration time =
        std::chrono::milliseconds(this->RandomInt(3000, 12000));
    this->ends.emplace(fleet.Now() + time, [this, &fleet, node] {
      fleet.Kill(node);
      fleet.SetNodeIsolated(node, false);
      this->is_replacing = false;
    });
  }

  TokenSimulation& simulation;
  std::mt19937_64 random;
  std::multimap<TimePoint, std::function<void()>> ends;
  bool is_replacing = false;
  int replacement_count = 0;
};

/// Traffic of one customer that alternates at random between idle phases, in
/// which the whole burst accumulates, and traffic bursts at a few nodes.
class BurstTraffic {
 public:
  BurstTraffic(TokenSimulation& simulation, std::uint64_t seed)
      : simulation(simulation), random(seed) {}

  void Step() {
    if (this->simulation.Now() >= this->next_change_at) {
      this->ChangeLoad();
    }
    for (const std::string& node : this->simulation.RunningNodes()) {
      const bool is_bursting = this->bursting_nodes.contains(node);
      // Sparse traffic on the other nodes keeps tokens in their caches.
      const int calls =
          is_bursting ? kBurstCallsPerStep : this->RandomInt(0, 99) / 99;
      for (int call = 0; call < calls; ++call) {
        this->simulation.TryAcquire(node, "school");
      }
    }
  }

 private:
  static constexpr int kBurstCallsPerStep = 10;

  void ChangeLoad() {
    const bool is_idle = this->RandomInt(0, 2) == 0;
    this->bursting_nodes.clear();
    if (!is_idle) {
      for (const std::string& node : this->simulation.RunningNodes()) {
        if (this->RandomInt(0, 3) == 0) {
          this->bursting_nodes.insert(node);
        }
      }
    }
    const int time =
        is_idle ? this->RandomInt(500, 6000) : this->RandomInt(50, 800);
    this->next_change_at =
        this->simulation.Now() + std::chrono::milliseconds(time);
  }

  int RandomInt(int lowest, int highest) {
    return std::uniform_int_distribution<int>(lowest, highest)(this->random);
  }

  TokenSimulation& simulation;
  std::mt19937_64 random;
  std::set<std::string> bursting_nodes;
  TimePoint next_change_at;
};

}  // namespace

BOOST_AUTO_TEST_SUITE(rate_bound)

BOOST_AUTO_TEST_CASE(no_window_exceeds_the_rate_bound_under_random_faults) {
  const bool holds = rc::check([](std::uint32_t seed) {
    const double rate = *rc::gen::inRange(20, 200);
    const double burst = rate * *rc::gen::inRange(2, 20) / 4;
    TokenSimulation simulation({{"a", 4}, {"b", 3}, {"c", 3}},
                               {MakeCustomer("school", rate, burst)}, seed);
    FaultSchedule schedule(simulation, seed + 1);
    BurstTraffic traffic(simulation, seed + 2);
    const std::chrono::seconds length{60};
    const TimePoint end = simulation.Now() + length;
    while (simulation.Now() < end) {
      simulation.Step();
      schedule.Step();
      traffic.Step();
    }
    RC_ASSERT(simulation.BoundChecker("school").MaxExcess() < 1e-6);
    RC_ASSERT(simulation.BoundChecker("school").AdmittedCount() > 0u);
  });
  BOOST_TEST(holds);
}

BOOST_AUTO_TEST_CASE(
    mint_fraction_shrinks_immediately_and_grows_after_a_delay) {
  const TimePoint start(std::chrono::hours(1));
  MintFractionController controller(start);
  const VmListRollout all_applied = {0, 3};
  controller.SetPlannedFractions({{"school", 0.5}}, {"a1", "a2", "a3", "a4"},
                                 start);
  BOOST_TEST(!controller.ApplyPendingIncreases(all_applied, start));
  const Duration almost = kTokenLease - std::chrono::milliseconds(1);
  BOOST_TEST(!controller.ApplyPendingIncreases(all_applied, start + almost));
  BOOST_TEST(
      controller.ApplyPendingIncreases(all_applied, start + kTokenLease));
  BOOST_TEST(controller.Fractions().at("school") == 0.5);

  const TimePoint later = start + std::chrono::minutes(1);
  controller.SetPlannedFractions({{"school", 0.2}}, {"a1", "a2", "a3", "a4"},
                                 later);
  BOOST_TEST(controller.Fractions().at("school") == 0.2);
  controller.SetPlannedFractions({}, {"a1", "a2", "a3", "a4"}, later);
  BOOST_TEST(controller.Fractions().empty());
  controller.SetPlannedFractions({{"school", 0.4}}, {"a1", "a2", "a3", "a4"},
                                 later);
  BOOST_TEST(!controller.ApplyPendingIncreases(all_applied, later));
  BOOST_TEST(!controller.ApplyPendingIncreases(all_applied, later + almost));
  BOOST_TEST(
      controller.ApplyPendingIncreases(all_applied, later + kTokenLease));
}

BOOST_AUTO_TEST_CASE(holder_spends_nothing_after_its_lease_expired) {
  const TimePoint start(std::chrono::hours(1));
  TokenCache cache(kHolderTokenLease);
  cache.AddGrant("a1", 1, {1, 10}, start);
  BOOST_TEST(cache.TryAcquire(start + kHolderTokenLease -
                              std::chrono::milliseconds(1)));
  BOOST_TEST(!cache.TryAcquire(start + kHolderTokenLease));
  BOOST_TEST(cache.Available(start + kHolderTokenLease) == 0.0);
}

BOOST_AUTO_TEST_CASE(expired_lease_counts_as_spent) {
  const TimePoint start(std::chrono::hours(1));
  TokenMinter minter(kTokenLease, start);
  minter.SetShare({10, 20}, start);
  const TimePoint full = start + std::chrono::seconds(2);
  const TokenGrant grant = minter.IssueGrant(100, full);
  BOOST_TEST(grant.amount == 20.0);
  const Duration almost = kTokenLease - std::chrono::milliseconds(1);
  BOOST_TEST(minter.Available(full + almost) == 0.0);
  BOOST_TEST(minter.Outstanding(full + almost) == 20.0);
  // Outstanding tokens count against the burst until the lease expires, so
  // minting resumes only then.
  const TimePoint after = full + kTokenLease + std::chrono::milliseconds(500);
  BOOST_TEST(minter.Available(after) == 5.0,
             boost::test_tools::tolerance(1e-9));
  BOOST_TEST(minter.Outstanding(after) == 0.0);
}

BOOST_AUTO_TEST_CASE(
    restarted_minter_ignores_reports_for_a_previous_incarnation) {
  const TimePoint start(std::chrono::hours(1));
  Configuration configuration;
  configuration.customers = {MakeCustomer("school", 10, 20)};
  MinterSet minters(2);
  minters.SetFractions({{"school", 1.0}}, configuration, start);
  const TimePoint full = start + std::chrono::seconds(2);
  TokenRequest draw;
  draw.draws = {{"school", 20}};
  BOOST_TEST(minters.HandleRequest(draw, true, full).grants.size() == 1);
  TokenRequest report;
  report.minter_incarnation = 1;
  report.reports = {{"school", 1, 0, true}};
  report.draws = {{"school", 20}};
  BOOST_TEST(minters.HandleRequest(report, true, full).grants.empty());
}

BOOST_AUTO_TEST_CASE(duplicate_reply_is_ignored) {
  const TimePoint start(std::chrono::hours(1));
  Configuration configuration;
  configuration.customers = {MakeCustomer("school", 10, 20)};
  DataCentre data_centre;
  data_centre.name = "a";
  data_centre.share = 1;
  configuration.data_centres = {data_centre};
  VmList list;
  list.version = 1;
  list.vms.resize(1);
  list.vms[0].name = "a1";
  list.vms[0].data_centre = "a";
  const Snapshot snapshot(configuration, list, {});
  TokenCacheSet caches("a1", "a", 1);
  caches.AddDemand("school", start);
  caches.AddWaiting("school", 1);
  const std::vector<AddressedTokenRequest> requests =
      caches.MakeRequests(snapshot, start);
  BOOST_TEST_REQUIRE(requests.size() == 1);
  TokenReply reply;
  reply.request_id = requests[0].request.request_id;
  reply.minter_incarnation = 1;
  reply.grants = {{"school", {1, 1}}};
  caches.HandleReply("a1", reply, start);
  caches.HandleReply("a1", reply, start);
  BOOST_TEST(caches.TryAcquire("school", start));
  BOOST_TEST(!caches.TryAcquire("school", start));
}

BOOST_AUTO_TEST_CASE(
    mint_fraction_does_not_grow_while_many_nodes_may_use_an_old_list) {
  const TimePoint start(std::chrono::hours(1));
  MintFractionController controller(start);
  controller.SetPlannedFractions({{"school", 0.5}}, {"a1", "a2", "a3", "a4"},
                                 start);
  // Three of four nodes that still have the old list could be each other's
  // witnesses in a network partition.
  const TimePoint much_later = start + std::chrono::minutes(10);
  BOOST_TEST(!controller.ApplyPendingIncreases({3, 3}, start));
  BOOST_TEST(!controller.ApplyPendingIncreases({3, 3}, much_later));
  // A single node with an old list finds no quorum of witnesses and stops
  // minting; then its leases expire.
  BOOST_TEST(!controller.ApplyPendingIncreases({1, 3}, much_later));
  const Duration wait = kWitnessTimeout + kTokenLease;
  BOOST_TEST(!controller.ApplyPendingIncreases(
      {1, 3}, much_later + wait - std::chrono::milliseconds(1)));
  BOOST_TEST(controller.ApplyPendingIncreases({1, 3}, much_later + wait));
}

BOOST_AUTO_TEST_CASE(customer_within_its_rate_is_admitted_in_steady_state) {
  TokenSimulation simulation({{"a", 4}, {"b", 3}, {"c", 3}},
                             {MakeCustomer("school", 200, 200)}, 1);
  simulation.RunFor(std::chrono::seconds(8));
  int refused = 0;
  int asked = 0;
  // One node gets all the traffic, nine tenths of the rate.
  for (int step = 0; step < 6000; ++step) {
    simulation.Step();
    if (step < 100) {
      // The token cache fills during the first second.
      simulation.TryAcquire("a1", "school");
      continue;
    }
    const int calls = step % 5 == 0 ? 1 : 2;
    for (int call = 0; call < calls; ++call) {
      ++asked;
      refused += simulation.TryAcquire("a1", "school") ? 0 : 1;
    }
  }
  BOOST_TEST(asked > 9000);
  BOOST_TEST(refused <= asked / 1000);
}

BOOST_AUTO_TEST_CASE(
    killed_node_causes_few_refusals_for_customers_within_their_rate) {
  TokenSimulation simulation({{"a", 4}, {"b", 3}, {"c", 3}},
                             {MakeCustomer("school", 200, 200)}, 2);
  simulation.RunFor(std::chrono::seconds(8));
  int refused = 0;
  int asked = 0;
  for (int step = 0; step < 6000; ++step) {
    simulation.Step();
    if (step == 500) {
      simulation.Kill("a2");
    }
    if (step == 1000) {
      simulation.RemoveFromVmList("a2");
    }
    // Eight tenths of the rate, spread over four nodes.
    const std::vector<std::string> nodes = {"a1", "a3", "b1", "c1"};
    if (step % 10 < 8) {
      for (int call = 0; call < 2; ++call) {
        ++asked;
        refused +=
            simulation.TryAcquire(nodes[(step + call) % nodes.size()], "school")
                ? 0
                : 1;
      }
    }
  }
  BOOST_TEST(refused <= asked / 100);
  BOOST_TEST(simulation.BoundChecker("school").MaxExcess() < 1e-6);
}

BOOST_AUTO_TEST_CASE(isolated_data_centre_keeps_its_share) {
  TokenSimulation simulation({{"a", 4}, {"b", 3}, {"c", 3}},
                             {MakeCustomer("school", 100, 100)}, 3);
  simulation.RunFor(std::chrono::seconds(8));
  simulation.SetDataCentreIsolated("a", true);
  simulation.RunFor(std::chrono::seconds(5));
  const std::uint64_t before =
      simulation.BoundChecker("school").AdmittedCount();
  for (int step = 0; step < 1000; ++step) {
    simulation.Step();
    simulation.TryAcquire("a1", "school");
  }
  const std::uint64_t served =
      simulation.BoundChecker("school").AdmittedCount() - before;
  // Four tenths of the rate for ten seconds, plus the accumulated tokens.
  BOOST_TEST(served >= 380);
  BOOST_TEST(simulation.BoundChecker("school").MaxExcess() < 1e-6);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace daisywinch::test
