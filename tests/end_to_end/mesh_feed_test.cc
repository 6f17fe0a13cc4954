// Tests, with real processes, that changes in the store reach every node. In
// each data centre only a few nodes, the relays, watch the store and pass
// changes on to the others. Changes must also arrive when relays are killed or
// cannot reach the store.
#include <csignal>
#include <set>
#include <thread>

#include <boost/json/parse.hpp>
#include <boost/test/unit_test.hpp>

#include "support/mesh_fleet.h"
#include "support/test_fleet.h"

namespace daisywinch::test {

namespace {

using std::chrono::milliseconds;

/// Time in which nodes select their relays: the first update and its reply.
constexpr milliseconds kRelaySelectionTime{2500};

struct FeedFixture {
  FeedFixture() {
    for (int count = 0; count < 5; ++count) {
      this->vms.push_back(&this->fleet.AddVm("east", "front"));
    }
    this->fleet.Start();
    std::this_thread::sleep_for(kRelaySelectionTime);
  }

  std::int64_t GetStoreCalls(const MeshVm& vm) {
    Call call;
    call.method = "GET";
    call.path = "/status";
    return boost::json::parse(Send(vm.operator_address, call).body())
        .at("store_calls")
        .to_number<std::int64_t>();
  }

  unsigned LookUpStatus(const MeshVm& vm) {
    Call call;
    call.path = "/look/1";
    call.key = MeshFleet::kSchoolKey;
    return this->fleet.SendAttempt(vm, call).result_int();
  }

  /// Waits until all nodes except the excluded ones refuse the withdrawn key.
  /// Returns false on a timeout.
  bool AllNodesRefuseKey(const std::set<const MeshVm*>& excluded = {}) {
    return WaitUntil([&] {
      for (const MeshVm* vm : this->vms) {
        if (!excluded.contains(vm) && this->LookUpStatus(*vm) != 401) {
          return false;
        }
      }
      return true;
    });
  }

  MeshFleet fleet;
  std::vector<MeshVm*> vms;
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(mesh_feed, FeedFixture)

BOOST_AUTO_TEST_CASE(only_relays_watch_the_store) {
  std::vector<std::int64_t> before;
  for (const MeshVm* vm : this->vms) {
    before.push_back(this->GetStoreCalls(*vm));
  }
  std::this_thread::sleep_for(milliseconds(5000));
  int polling = 0;
  for (std::size_t index = 0; index < this->vms.size(); ++index) {
    // A relay's watch of the operators' keys lasts one second, so it calls the
    // store at least once a second.
    polling +=
        this->GetStoreCalls(*this->vms[index]) - before[index] >= 3 ? 1 : 0;
  }
  BOOST_TEST(polling == 2);
}

BOOST_AUTO_TEST_CASE(a_withdrawn_key_is_refused_at_every_node) {
  for (const MeshVm* vm : this->vms) {
    BOOST_TEST(this->LookUpStatus(*vm) == 200);
  }
  this->fleet.PublishConfiguration(2, "");
  BOOST_TEST(this->AllNodesRefuseKey());
}

BOOST_AUTO_TEST_CASE(changes_arrive_after_the_relays_are_killed) {
  this->vms[0]->node_process->Signal(SIGKILL);
  this->vms[1]->node_process->Signal(SIGKILL);
  this->fleet.PublishConfiguration(2, "");
  BOOST_TEST(this->AllNodesRefuseKey({this->vms[0], this->vms[1]}));
}

BOOST_AUTO_TEST_CASE(
    changes_arrive_while_the_relays_are_isolated_from_the_store) {
  for (MeshVm* vm : {this->vms[0], this->vms[1]}) {
    // The connections stay open, but carry no data.
    LinkFault stall;
    stall.stalls_to_server = true;
    stall.stalls_to_client = true;
    vm->store_proxy->SetFault(stall);
  }
  this->fleet.PublishConfiguration(2, "");
  // The other nodes notice that their relays send no store feed and read the
  // store themselves; the relays get the change from them.
  BOOST_TEST(this->AllNodesRefuseKey());
}

BOOST_AUTO_TEST_CASE(changes_arrive_after_the_store_drops_their_history) {
  this->fleet.SetStoreBehaviour("gone=1");
  this->fleet.PublishConfiguration(2, "");
  BOOST_TEST(this->AllNodesRefuseKey());
}

BOOST_AUTO_TEST_CASE(changes_reach_a_node_that_starts_later) {
  this->vms[4]->node_process->Signal(SIGKILL);
  this->fleet.PublishConfiguration(2, "");
  BOOST_TEST(this->AllNodesRefuseKey({this->vms[4]}));
  this->fleet.StartNode(*this->vms[4]);
  BOOST_TEST(WaitUntil([&] { return this->fleet.IsReady(*this->vms[4]); }));
  BOOST_TEST(this->LookUpStatus(*this->vms[4]) == 401);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace daisywinch::test
