#include <boost/test/unit_test.hpp>

#include "state/load_balancer.h"
#include "state/route_table.h"
#include "state/snapshot.h"
#include "support/fake_clock.h"
#include "support/test_fleet.h"

namespace daisywinch::test {

namespace {

Vm MakeVm(const std::string& name, const std::string& data_centre) {
  Vm vm;
  vm.name = name;
  vm.data_centre = data_centre;
  vm.service = "back";
  return vm;
}

struct BalancerFixture {
  BalancerFixture() : balancer("east", 1) {
    this->vms.vms = {MakeVm("e1", "east"), MakeVm("e2", "east"),
                     MakeVm("w1", "west"), MakeVm("w2", "west")};
  }

  Snapshot MakeSnapshot(const std::set<std::string>& suspected = {}) {
    return Snapshot(this->configuration, this->vms, suspected);
  }

  /// Number of times that each VM is chosen in 1000 calls.
  std::map<std::string, int> Choices(const Snapshot& snapshot,
                                     const std::string& key = "") {
    std::map<std::string, int> counts;
    for (int choice = 0; choice < 1000; ++choice) {
      const Vm* vm = this->balancer.Choose(snapshot, "back", "school",
                                           RequestClass::kNormal, key, {},
                                           this->clock.Now());
      ++counts[vm == nullptr ? "none" : vm->name];
    }
    return counts;
  }

  Configuration configuration = MakeConfiguration(StandardAnswers(1));
  VmList vms;
  FakeClock clock;
  LoadBalancer balancer;
};

}  // namespace

BOOST_AUTO_TEST_SUITE(routing)

BOOST_AUTO_TEST_CASE(path_matches_by_segment) {
  const Configuration configuration = MakeConfiguration(StandardAnswers(1));
  const RouteTable table(configuration);
  BOOST_TEST(table.Find("GET", "/points/7?x=/y")->name == "look-up");
  BOOST_TEST(table.Find("GET", "/points") == nullptr);
  BOOST_TEST(table.Find("GET", "/points/7/8") == nullptr);
  BOOST_TEST(table.Find("POST", "/points/7") == nullptr);
  BOOST_TEST(table.Find("GET", "points/7") == nullptr);
  BOOST_TEST(table.Find("GET", "") == nullptr);
}

BOOST_FIXTURE_TEST_CASE(local_data_centre_is_preferred, BalancerFixture) {
  const Snapshot snapshot = this->MakeSnapshot();
  const std::map<std::string, int> counts = this->Choices(snapshot);
  BOOST_TEST(counts.size() == 2);
  BOOST_TEST(counts.at("e1") > 300);
  BOOST_TEST(counts.at("e2") > 300);
}

BOOST_FIXTURE_TEST_CASE(full_data_centre_spills_over, BalancerFixture) {
  const Snapshot snapshot = this->MakeSnapshot();
  GateReport full;
  full.in_flight = 10;
  full.limit = 10;
  full.level = 1;
  this->balancer.RecordReport("e1", "school", full, this->clock.Now());
  this->balancer.RecordReport("e2", "school", full, this->clock.Now());
  const std::map<std::string, int> counts = this->Choices(snapshot);
  BOOST_TEST(counts.at("w1") + counts.at("w2") == 1000);
}

BOOST_FIXTURE_TEST_CASE(data_centre_out_of_service_gets_no_calls,
                        BalancerFixture) {
  this->configuration.data_centres[0].in_service = false;
  const Snapshot snapshot = this->MakeSnapshot();
  const std::map<std::string, int> counts = this->Choices(snapshot);
  BOOST_TEST(counts.at("w1") + counts.at("w2") == 1000);
}

BOOST_FIXTURE_TEST_CASE(leaving_vm_gets_no_calls, BalancerFixture) {
  this->vms.vms[0].leaving = true;
  const Snapshot snapshot = this->MakeSnapshot();
  BOOST_TEST(this->Choices(snapshot).at("e2") == 1000);
  for (int key = 0; key < 100; ++key) {
    BOOST_TEST(!this->Choices(snapshot, std::to_string(key)).contains("e1"));
  }
}

BOOST_FIXTURE_TEST_CASE(local_calls_count_since_the_last_report,
                        BalancerFixture) {
  const Snapshot snapshot = this->MakeSnapshot();
  GateReport idle;
  idle.limit = 10;
  this->balancer.RecordReport("e1", "school", idle, this->clock.Now());
  this->balancer.RecordReport("e2", "school", idle, this->clock.Now());
  for (int call = 0; call < 5; ++call) {
    this->balancer.CallStarted("e1");
  }
  BOOST_TEST(this->Choices(snapshot).at("e2") == 1000);
  // Three of the eight requests in flight are calls of other ingresses and
  // still count after this one's calls have ended.
  GateReport busy = idle;
  busy.in_flight = 8;
  this->balancer.RecordReport("e1", "school", busy, this->clock.Now());
  for (int call = 0; call < 5; ++call) {
    this->balancer.CallEnded("e1");
  }
  this->balancer.CallStarted("e2");
  this->balancer.CallStarted("e2");
  BOOST_TEST(this->Choices(snapshot).at("e2") == 1000);
}

BOOST_FIXTURE_TEST_CASE(failed_target_is_retried_after_the_backoff,
                        BalancerFixture) {
  const Snapshot snapshot = this->MakeSnapshot();
  this->balancer.RecordFailure("e1", this->clock.Now());
  BOOST_TEST(!this->Choices(snapshot).contains("e1"));
  this->clock.Advance(std::chrono::milliseconds(300));
  BOOST_TEST(this->Choices(snapshot).contains("e1"));
}

BOOST_FIXTURE_TEST_CASE(suspected_vm_is_the_last_resort, BalancerFixture) {
  const Snapshot one = this->MakeSnapshot({"e1"});
  BOOST_TEST(this->Choices(one).at("e2") == 1000);
  const Snapshot all = this->MakeSnapshot({"e1", "e2", "w1", "w2"});
  BOOST_TEST(!this->Choices(all).contains("none"));
}

BOOST_FIXTURE_TEST_CASE(idempotency_key_maps_to_one_gate, BalancerFixture) {
  const Snapshot snapshot = this->MakeSnapshot();
  LoadBalancer other("west", 2);
  std::set<std::string> used;
  for (int key = 0; key < 100; ++key) {
    const std::string text = std::to_string(key);
    const std::map<std::string, int> counts = this->Choices(snapshot, text);
    BOOST_TEST(counts.size() == 1);
    const Vm* elsewhere =
        other.Choose(snapshot, "back", "school", RequestClass::kNormal, text,
                     {}, this->clock.Now());
    BOOST_TEST(counts.begin()->first == elsewhere->name);
    used.insert(elsewhere->name);
  }
  BOOST_TEST(used.size() == 4);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace daisywinch::test
