// Tests what nodes do when a target states, in its responses, a maximum rate or
// that it leaves. Store, targets and nodes are processes.
#include <algorithm>
#include <atomic>
#include <csignal>
#include <string>
#include <thread>
#include <vector>

#include <boost/test/unit_test.hpp>

#include "support/mesh_fleet.h"
#include "support/test_fleet.h"

namespace daisywinch::test {

namespace {

/// The span of time in which the users count the requests of a target that
/// states a rate, and the factor and number by which they may exceed it.
constexpr std::chrono::seconds kCountedTime{4};
constexpr double kTolerated = 1.5;
constexpr double kToleratedRequests = 5;

/// Time for which a target goes on serving after it has stated that it leaves.
constexpr std::chrono::seconds kLeavingTime{8};
/// Pause between requests, which keeps the customer within its rate.
constexpr std::chrono::milliseconds kPause{30};
/// Name of the event that a node logs when it learns that a target leaves.
constexpr char kLeavingRunKnown[] = "leaving-run-known";

struct TargetNoticeFixture {
  TargetNoticeFixture()
      : east(fleet.AddVm("east", "front")),
        west(fleet.AddVm("west", "front")),
        back(fleet.AddVm("east", "back")) {
    this->fleet.Start();
  }

  HttpResponse SendLook(const MeshVm& vm) {
    Call call;
    call.path = "/look/1";
    call.key = MeshFleet::kSchoolKey;
    return Send(vm.caller_address,
                AddAttemptHeaders(call, "look-" + std::to_string(++this->id)));
  }

  /// Sends requests to all nodes at about 150 a second; returns how many were
  /// not answered with 200.
  int SendLooksFor(Duration time) {
    constexpr int kCallersPerNode = 3;
    std::atomic<int> failures = 0;
    std::vector<std::thread> callers;
    const TimePoint end = BootTime::now() + time;
    for (const MeshVm* vm : {&this->east, &this->west, &this->back}) {
      for (int caller = 0; caller < kCallersPerNode; ++caller) {
        callers.emplace_back([this, vm, end, &failures] {
          while (BootTime::now() < end) {
            failures += this->SendLook(*vm).result_int() == 200 ? 0 : 1;
            std::this_thread::sleep_for(std::chrono::milliseconds(50));
          }
        });
      }
    }
    for (std::thread& caller : callers) {
      caller.join();
    }
    return failures;
  }

  std::size_t CountRuns(const MeshVm& vm) {
    return this->fleet.GetRuns(vm).size();
  }

  /// Lets the gate of the target see one of its responses.
  void AwaitResponseOf(const MeshVm& vm) {
    const std::size_t before = this->CountRuns(vm);
    BOOST_REQUIRE(WaitUntil([&] {
      this->SendLook(vm);
      return this->CountRuns(vm) > before;
    }));
  }

  /// Sends requests to all nodes and checks that they are answered, and that
  /// none reaches the target.
  void CheckAvoided(const MeshVm& vm) {
    const std::size_t before = this->CountRuns(vm);
    for (int count = 0; count < 30; ++count) {
      for (const MeshVm* node : {&this->east, &this->west, &this->back}) {
        BOOST_TEST(this->SendLook(*node).result_int() == 200);
      }
    }
    BOOST_TEST(this->CountRuns(vm) == before);
  }

  MeshFleet fleet;
  MeshVm& east;
  MeshVm& west;
  MeshVm& back;
  std::atomic<int> id = 0;
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(target_notice, TargetNoticeFixture)

// Guards against a target that gets far more requests than it states to take,
// while others of its service are idle.
BOOST_AUTO_TEST_CASE(target_gets_no_more_than_the_rate_that_it_states) {
  constexpr double kRate = 8;
  this->fleet.SetTargetBehaviour(this->east, "max_rate=8.0");
  this->AwaitResponseOf(this->east);
  const std::size_t before = this->CountRuns(this->east);
  const int failures = this->SendLooksFor(kCountedTime);
  const std::size_t count = this->CountRuns(this->east) - before;
  BOOST_TEST(static_cast<double>(count) <=
             kTolerated * kRate * kCountedTime.count() + kToleratedRequests);
  BOOST_TEST(failures == 0);
  // The target still gets requests, and is used in full when it states no rate
  // any more.
  BOOST_TEST(count > 0);
  this->fleet.SetTargetBehaviour(this->east, "");
  this->SendLooksFor(std::chrono::seconds(2));
  BOOST_TEST(this->CountRuns(this->east) - before - count >
             kTolerated * kRate * 2 + kToleratedRequests);
}

BOOST_AUTO_TEST_CASE(restarted_node_keeps_to_the_rate_that_its_target_states) {
  constexpr double kRate = 8;
  this->fleet.SetTargetBehaviour(this->east, "max_rate=8.0");
  this->AwaitResponseOf(this->east);
  this->east.node_process->Signal(SIGKILL);
  this->fleet.RunNode(this->east);
  BOOST_REQUIRE(WaitUntil([&] { return this->fleet.IsReady(this->east); }));
  const std::size_t before = this->CountRuns(this->east);
  this->SendLooksFor(kCountedTime);
  BOOST_TEST(static_cast<double>(this->CountRuns(this->east) - before) <=
             kTolerated * kRate * kCountedTime.count() + kToleratedRequests);
}

// Guards against a health check that lifts the rate, as its response lacks it.
BOOST_AUTO_TEST_CASE(rate_of_a_slow_target_holds_after_a_health_check) {
  constexpr double kRate = 2;
  constexpr int kCallers = 40;
  this->fleet.SetTargetBehaviour(this->west, "sheds=1");
  this->fleet.SetTargetBehaviour(this->east,
                                 "max_rate=2.0&health_omits=1&service_ms=1000");
  this->AwaitResponseOf(this->east);
  // The target is checked after a second without a response.
  std::this_thread::sleep_for(std::chrono::milliseconds(2500));
  const std::size_t before = this->CountRuns(this->east);
  std::vector<std::thread> callers;
  callers.reserve(kCallers);
  for (int caller = 0; caller < kCallers; ++caller) {
    callers.emplace_back([this] { this->SendLook(this->east); });
  }
  for (std::thread& caller : callers) {
    caller.join();
  }
  BOOST_TEST(static_cast<double>(this->CountRuns(this->east) - before) <=
             kTolerated * kRate * kCountedTime.count() + kToleratedRequests);
}

// Guards against requests to a target that leaves without the store saying so.
BOOST_AUTO_TEST_CASE(leaving_target_is_avoided_without_the_store) {
  this->fleet.SetStoreBehaviour("down=1");
  this->fleet.SetTargetBehaviour(this->east, "leaving=1");
  this->AwaitResponseOf(this->east);
  this->CheckAvoided(this->east);
}

// The record may say for some time, or again, that the target is ready.
BOOST_AUTO_TEST_CASE(leaving_target_is_avoided_though_its_record_says_ready) {
  this->fleet.SetTargetBehaviour(this->east, "leaving=1");
  this->AwaitResponseOf(this->east);
  this->fleet.PublishTarget(this->east, false, 2);
  std::this_thread::sleep_for(std::chrono::milliseconds(300));
  this->CheckAvoided(this->east);
}

// The new gate has no response of the target yet when it gets the first calls.
BOOST_AUTO_TEST_CASE(leaving_target_is_avoided_after_a_restart_of_its_node) {
  this->fleet.SetTargetBehaviour(this->east, "leaving=1");
  for (const MeshVm* vm : {&this->east, &this->west, &this->back}) {
    const std::size_t before = this->CountRuns(this->east);
    WaitUntil(
        [&] {
          this->SendLook(*vm);
          return this->CountRuns(this->east) > before;
        },
        std::chrono::milliseconds(500));
  }
  this->east.node_process->Signal(SIGKILL);
  this->fleet.RunNode(this->east);
  BOOST_REQUIRE(WaitUntil([&] { return this->fleet.IsReady(this->east); }));
  std::this_thread::sleep_for(std::chrono::milliseconds(600));
  this->CheckAvoided(this->east);
}

// Guards against requests to a target that takes many seconds to leave, after a
// response of a kind that doesn't say so.
BOOST_AUTO_TEST_CASE(leaving_target_is_avoided_until_its_run_ends) {
  this->fleet.SetTargetBehaviour(this->east, "leaving=1&health_omits=1");
  this->AwaitResponseOf(this->east);
  const TimePoint end = BootTime::now() + kLeavingTime;
  while (BootTime::now() < end) {
    this->CheckAvoided(this->east);
  }
  // The record is away for a while and returns.
  this->fleet.RemoveKey("servers/" + this->east.target_id);
  std::this_thread::sleep_for(std::chrono::milliseconds(300));
  this->fleet.PublishTarget(this->east, false, 2);
  std::this_thread::sleep_for(std::chrono::milliseconds(300));
  this->CheckAvoided(this->east);
}

// The new gate can't learn it from its target's health checks. The nodes that
// have passed on a response of the target know it.
BOOST_AUTO_TEST_CASE(restarted_node_hears_from_others_that_its_target_leaves) {
  this->fleet.SetTargetBehaviour(this->east, "leaving=1&health_omits=1");
  const std::vector<const MeshVm*> others = {&this->west, &this->back};
  // Redirects all calls to the target that leaves.
  this->fleet.SetTargetBehaviour(this->west, "sheds=1");
  for (const MeshVm* vm : others) {
    BOOST_REQUIRE(WaitUntil([&] {
      this->SendLook(*vm);
      std::this_thread::sleep_for(kPause);
      return this->fleet.ReadNodeLog(*vm).find(kLeavingRunKnown) !=
             std::string::npos;
    }));
  }
  this->fleet.SetTargetBehaviour(this->west, "");
  this->east.node_process->Signal(SIGKILL);
  this->fleet.RunNode(this->east);
  BOOST_REQUIRE(WaitUntil([&] { return this->fleet.IsReady(this->east); }));
  const std::size_t before = this->CountRuns(this->east);
  const TimePoint end = BootTime::now() + kLeavingTime;
  while (BootTime::now() < end) {
    for (const MeshVm* vm : others) {
      BOOST_TEST(this->SendLook(*vm).result_int() == 200);
    }
    std::this_thread::sleep_for(kPause);
  }
  BOOST_TEST(this->CountRuns(this->east) == before);
}

BOOST_AUTO_TEST_CASE(next_run_of_a_target_that_left_gets_requests) {
  this->fleet.SetTargetBehaviour(this->east, "leaving=1");
  this->AwaitResponseOf(this->east);
  this->CheckAvoided(this->east);
  this->east.target_process->Signal(SIGKILL);
  this->east.target_id += "-next";
  this->fleet.StartTarget(this->east);
  this->fleet.RemoveKey("servers/i-1");
  this->fleet.PublishTarget(this->east, false);
  BOOST_TEST(WaitUntil([&] {
    this->SendLook(this->east);
    return this->CountRuns(this->east) > 0;
  }));
}

// Without the store, the record names the run before; it is the same target
// id.
BOOST_AUTO_TEST_CASE(restarted_target_gets_requests_without_the_store) {
  this->fleet.SetStoreBehaviour("down=1");
  this->fleet.SetTargetBehaviour(this->east, "leaving=1");
  this->AwaitResponseOf(this->east);
  this->east.target_process->Signal(SIGKILL);
  this->fleet.StartTarget(this->east);
  BOOST_TEST(WaitUntil(
      [&] {
        this->SendLook(this->east);
        return this->CountRuns(this->east) > 0;
      },
      std::chrono::seconds(15)));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace daisywinch::test
