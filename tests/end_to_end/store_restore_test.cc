// Tests, with real processes, that nodes follow a store that is restored from
// an older copy: changes are lost and their revisions are given out again.
#include <csignal>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include <boost/json.hpp>
#include <boost/test/unit_test.hpp>

#include "support/mesh_fleet.h"
#include "support/test_fleet.h"

namespace daisywinch::test {

namespace {

using std::chrono::milliseconds;

/// Time in which nodes select their relays: the first update and its reply.
constexpr milliseconds kRelaySelectionTime{2500};
/// Time in which a change has to be applied.
constexpr milliseconds kChangeTime{2000};

struct RestoreFixture {
  RestoreFixture() {
    for (const char* data_centre :
         {"east", "east", "east", "east", "west", "west", "west"}) {
      this->vms.push_back(&this->fleet.AddVm(data_centre, "front"));
    }
    this->fleet.Start();
    std::this_thread::sleep_for(kRelaySelectionTime);
  }

  unsigned LookUpStatus(const MeshVm& vm) {
    Call call;
    call.path = "/look/1";
    call.key = MeshFleet::kSchoolKey;
    return this->fleet.SendAttempt(vm, call).result_int();
  }

  bool AllNodesAnswer(unsigned status,
                      Duration timeout = kChangeTime,
                      const std::set<const MeshVm*>& excluded = {}) {
    return WaitUntil(
        [&] {
          for (const MeshVm* vm : this->vms) {
            if (!excluded.contains(vm) && this->LookUpStatus(*vm) != status) {
              return false;
            }
          }
          return true;
        },
        timeout);
  }

  /// Gives out revisions until the store has reached `revision`.
  void AdvanceStoreTo(std::uint64_t revision) {
    while (this->fleet.GetStoreRevision() < revision) {
      this->fleet.PutKey("other/key", "value");
    }
  }

  /// Restores the store from a copy; while it is away, a version is written
  /// that withdraws the key, and then so many changes that all revisions that
  /// nodes may know have been given out again.
  void RestoreAndPublish(std::uint64_t copy, int version) {
    const std::uint64_t before = this->fleet.GetStoreRevision();
    this->fleet.SetStoreBehaviour("down=1");
    this->fleet.RestoreStore(copy);
    this->fleet.PublishConfiguration(version, "");
    this->AdvanceStoreTo(before + 3);
    this->fleet.SetStoreBehaviour("down=0");
  }

  MeshFleet fleet;
  std::vector<MeshVm*> vms;
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(store_restore, RestoreFixture)

BOOST_AUTO_TEST_CASE(changes_after_a_restore_reach_every_node) {
  const std::uint64_t copy = this->fleet.GetStoreRevision();
  this->fleet.PublishConfiguration(2, MeshFleet::kSchoolKey);
  this->fleet.PublishConfiguration(3, MeshFleet::kSchoolKey);
  std::this_thread::sleep_for(milliseconds(1000));
  this->RestoreAndPublish(copy, 4);
  BOOST_TEST(this->AllNodesAnswer(401));
}

BOOST_AUTO_TEST_CASE(changes_after_two_restores_in_a_row_reach_every_node) {
  const std::uint64_t copy = this->fleet.GetStoreRevision();
  this->fleet.PublishConfiguration(2, MeshFleet::kSchoolKey);
  std::this_thread::sleep_for(milliseconds(1000));
  this->fleet.SetStoreBehaviour("down=1");
  this->fleet.RestoreStore(copy);
  this->fleet.SetStoreBehaviour("down=0");
  std::this_thread::sleep_for(milliseconds(300));
  this->RestoreAndPublish(copy, 4);
  BOOST_TEST(this->AllNodesAnswer(401));
}

// A withdrawn key must not return with the older configuration.
BOOST_AUTO_TEST_CASE(configuration_of_an_older_copy_is_ignored) {
  const std::uint64_t copy = this->fleet.GetStoreRevision();
  this->fleet.PublishConfiguration(2, "");
  BOOST_TEST(this->AllNodesAnswer(401));
  this->fleet.RestoreStore(copy);
  for (int check = 0; check < 10; ++check) {
    BOOST_TEST(this->AllNodesAnswer(401, milliseconds(100)));
    std::this_thread::sleep_for(milliseconds(200));
  }
  this->fleet.PublishConfiguration(3, MeshFleet::kSchoolKey);
  BOOST_TEST(this->AllNodesAnswer(200));
}

// Nodes that only relays report the new era to, and relays that learn it from
// their nodes.
BOOST_AUTO_TEST_CASE(changes_reach_nodes_that_are_cut_off_during_a_restore) {
  const std::uint64_t copy = this->fleet.GetStoreRevision();
  this->fleet.PublishConfiguration(2, MeshFleet::kSchoolKey);
  std::this_thread::sleep_for(milliseconds(1000));
  LinkFault stall;
  stall.stalls_to_server = true;
  stall.stalls_to_client = true;
  for (MeshVm* vm : {this->vms[0], this->vms[3], this->vms[5]}) {
    vm->store_proxy->SetFault(stall);
  }
  this->RestoreAndPublish(copy, 3);
  // Nodes that are cut off get the change that is written after the others
  // have listed the new era.
  std::this_thread::sleep_for(milliseconds(2000));
  this->fleet.PublishConfiguration(4, "");
  BOOST_TEST(this->AllNodesAnswer(401));
  for (MeshVm* vm : {this->vms[0], this->vms[3], this->vms[5]}) {
    vm->store_proxy->SetFault({});
  }
  this->fleet.PublishConfiguration(5, MeshFleet::kSchoolKey);
  BOOST_TEST(this->AllNodesAnswer(200));
}

BOOST_AUTO_TEST_CASE(changes_reach_a_node_that_starts_during_a_restore) {
  const std::uint64_t copy = this->fleet.GetStoreRevision();
  this->fleet.PublishConfiguration(2, MeshFleet::kSchoolKey);
  std::this_thread::sleep_for(milliseconds(1000));
  this->vms[2]->node_process->Signal(SIGKILL);
  this->fleet.StartNode(*this->vms[2]);
  this->RestoreAndPublish(copy, 3);
  BOOST_TEST(WaitUntil([&] { return this->fleet.IsReady(*this->vms[2]); }));
  BOOST_TEST(this->AllNodesAnswer(401));
}

BOOST_AUTO_TEST_CASE(removed_target_gets_no_requests_after_a_restore) {
  const std::uint64_t copy = this->fleet.GetStoreRevision();
  this->fleet.PublishTarget(*this->vms[1], true, 2);
  this->fleet.RemoveKey("servers/" + this->vms[1]->target_id);
  std::this_thread::sleep_for(milliseconds(1000));
  this->fleet.RestoreStore(copy);
  std::this_thread::sleep_for(milliseconds(1000));
  const std::size_t runs = this->fleet.GetRuns(*this->vms[1]).size();
  for (int round = 0; round < 20; ++round) {
    for (const MeshVm* vm : this->vms) {
      if (vm != this->vms[1]) {
        BOOST_TEST(this->LookUpStatus(*vm) == 200);
      }
    }
  }
  BOOST_TEST(this->fleet.GetRuns(*this->vms[1]).size() == runs);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace daisywinch::test
