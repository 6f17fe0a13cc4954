// Changes of the store reach every node through the relays of its data centre,
// over real processes, also when relays are cut off, frozen or gone.
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

/// Time in which the nodes find their relays: their first news, and the answer.
constexpr milliseconds kSettling{2500};

struct FeedFixture {
  FeedFixture() {
    for (int count = 0; count < 5; ++count) {
      this->vms.push_back(&this->fleet.AddVm("east", "front"));
    }
    this->fleet.Start();
    std::this_thread::sleep_for(kSettling);
  }

  std::int64_t StoreCalls(const MeshVm& vm) {
    Call call;
    call.method = "GET";
    call.path = "/status";
    return boost::json::parse(Send(vm.operators, call).body())
        .at("store_calls")
        .to_number<std::int64_t>();
  }

  unsigned StatusAt(const MeshVm& vm) {
    Call call;
    call.path = "/look/1";
    call.key = MeshFleet::kSchoolKey;
    return this->fleet.Try(vm, call).result_int();
  }

  /// Whether all nodes but these refuse the withdrawn key in the end.
  bool AllRefuse(const std::set<const MeshVm*>& but = {}) {
    return WaitUntil([&] {
      for (const MeshVm* vm : this->vms) {
        if (!but.contains(vm) && this->StatusAt(*vm) != 401) {
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

BOOST_AUTO_TEST_CASE(only_relays_wait_at_the_store) {
  std::vector<std::int64_t> before;
  for (const MeshVm* vm : this->vms) {
    before.push_back(this->StoreCalls(*vm));
  }
  std::this_thread::sleep_for(milliseconds(5000));
  int busy = 0;
  for (std::size_t index = 0; index < this->vms.size(); ++index) {
    // A relay asks once a second for what operators write.
    busy += this->StoreCalls(*this->vms[index]) - before[index] >= 3 ? 1 : 0;
  }
  BOOST_TEST(busy == 2);
}

BOOST_AUTO_TEST_CASE(a_withdrawn_key_is_refused_at_every_node) {
  for (const MeshVm* vm : this->vms) {
    BOOST_TEST(this->StatusAt(*vm) == 200);
  }
  this->fleet.PublishConfiguration(2, "");
  BOOST_TEST(this->AllRefuse());
}

BOOST_AUTO_TEST_CASE(changes_are_read_when_the_relays_are_gone) {
  this->vms[0]->node_process->Signal(SIGKILL);
  this->vms[1]->node_process->Signal(SIGKILL);
  this->fleet.PublishConfiguration(2, "");
  BOOST_TEST(this->AllRefuse({this->vms[0], this->vms[1]}));
}

BOOST_AUTO_TEST_CASE(changes_are_read_when_the_relays_are_cut_from_the_store) {
  for (MeshVm* vm : {this->vms[0], this->vms[1]}) {
    // The connections stay, and nothing comes over them.
    LinkFault silence;
    silence.silent_forward = true;
    silence.silent_backward = true;
    vm->store_proxy->SetFault(silence);
  }
  this->fleet.PublishConfiguration(2, "");
  // The relays learn it from the others, who find that they are not fed.
  BOOST_TEST(this->AllRefuse());
}

BOOST_AUTO_TEST_CASE(changes_are_read_after_their_history_is_dropped) {
  this->fleet.SetStoreMode("gone=1");
  this->fleet.PublishConfiguration(2, "");
  BOOST_TEST(this->AllRefuse());
}

BOOST_AUTO_TEST_CASE(a_node_that_starts_late_is_told_too) {
  this->vms[4]->node_process->Signal(SIGKILL);
  this->fleet.PublishConfiguration(2, "");
  BOOST_TEST(this->AllRefuse({this->vms[4]}));
  this->fleet.StartNode(*this->vms[4]);
  BOOST_TEST(WaitUntil([&] { return this->fleet.IsReady(*this->vms[4]); }));
  BOOST_TEST(this->StatusAt(*this->vms[4]) == 401);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace daisywinch::test
