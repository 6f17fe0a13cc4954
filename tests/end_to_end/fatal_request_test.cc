// Tests what nodes do about a request that ends each target that runs it.
// Store, targets and nodes are processes.
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

/// Ends of targets by one request after which it is to be known, and the time
/// until all nodes have to know it and the sendings that are tolerated later.
constexpr int kEndsUntilKnown = 3;
constexpr std::chrono::seconds kTimeUntilKnown{3};
constexpr int kToleratedSendings = 3;

/// Three targets of a service, which are started again 0.3 s after they end.
struct FatalRequestFixture {
  FatalRequestFixture() {
    for (const char* data_centre : {"east", "west", "east"}) {
      this->fleet.AddVm(data_centre, "front");
    }
    this->fleet.Start();
    this->restarter = std::thread([this] { this->RestartTargets(); });
  }
  ~FatalRequestFixture() {
    this->is_over = true;
    this->restarter.join();
  }

  void RestartTargets() {
    while (!this->is_over) {
      for (const std::unique_ptr<MeshVm>& vm : this->fleet.Vms()) {
        if (vm->target_process->WaitForExit(std::chrono::milliseconds(5))) {
          ++this->ends;
          std::this_thread::sleep_for(std::chrono::milliseconds(300));
          this->fleet.RestartTarget(*vm);
        }
      }
    }
  }

  unsigned SendTo(std::size_t node, const std::string& path) {
    Call call;
    call.path = path;
    call.key = MeshFleet::kSchoolKey;
    return Send(this->fleet.Vms()[node]->caller_address,
                AddAttemptHeaders(call, "fatal-" + std::to_string(++this->id)))
        .result_int();
  }

  /// Sends the request to all nodes in turn, at about ten a second.
  void SendFatalFor(Duration time) {
    const TimePoint end = BootTime::now() + time;
    for (std::size_t count = 0; BootTime::now() < end; ++count) {
      this->SendTo(count % this->fleet.Vms().size(), "/look/fatal?x=1");
      std::this_thread::sleep_for(std::chrono::milliseconds(100));
    }
  }

  MeshFleet fleet;
  std::thread restarter;
  std::atomic<bool> is_over = false;
  std::atomic<int> ends = 0;
  std::atomic<int> id = 0;
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(fatal_request, FatalRequestFixture)

// Guards against a request that comes again and again and ends target after
// target.
BOOST_AUTO_TEST_CASE(request_that_ends_targets_is_refused_everywhere) {
  std::atomic<int> other_failures = 0;
  std::atomic<bool> is_known = false;
  std::thread others([&] {
    for (int count = 0; !this->is_over && !is_known; ++count) {
      this->SendTo(count % 3, "/look/" + std::to_string(count));
      std::this_thread::sleep_for(std::chrono::milliseconds(20));
    }
    // With the request known, others are served as ever.
    std::this_thread::sleep_for(std::chrono::seconds(2));
    for (int count = 0; count < 30; ++count) {
      other_failures +=
          this->SendTo(count % 3, "/look/late-" + std::to_string(count)) == 200
              ? 0
              : 1;
    }
  });
  BOOST_TEST(WaitUntil(
      [&] {
        this->SendFatalFor(std::chrono::milliseconds(200));
        return this->ends >= kEndsUntilKnown;
      },
      std::chrono::seconds(20)));
  this->SendFatalFor(kTimeUntilKnown);
  is_known = true;
  const int ends_before = this->ends;
  this->SendFatalFor(std::chrono::seconds(4));
  others.join();
  BOOST_TEST(this->ends - ends_before <= kToleratedSendings);
  BOOST_TEST(other_failures == 0);
  // The refusal is final.
  for (std::size_t node = 0; node < 3; ++node) {
    BOOST_TEST(this->SendTo(node, "/look/fatal?x=1") == 400);
  }
  // Another query is another request.
  BOOST_TEST(this->SendTo(0, "/look/other?x=1") == 200);
}

BOOST_AUTO_TEST_CASE(restarted_node_learns_which_request_is_fatal) {
  BOOST_TEST(WaitUntil(
      [&] {
        this->SendFatalFor(std::chrono::milliseconds(200));
        return this->SendTo(0, "/look/fatal?x=1") == 400;
      },
      std::chrono::seconds(20)));
  MeshVm& vm = *this->fleet.Vms()[0];
  vm.node_process->Signal(SIGKILL);
  this->fleet.RunNode(vm);
  BOOST_REQUIRE(WaitUntil([&] { return this->fleet.IsReady(vm); }));
  std::this_thread::sleep_for(kTimeUntilKnown);
  const int ends_before = this->ends;
  BOOST_TEST(this->SendTo(0, "/look/fatal?x=1") == 400);
  BOOST_TEST(this->ends == ends_before);
}

// Targets that are killed and lose the requests of many callers have not been
// ended by one of them.
BOOST_AUTO_TEST_CASE(killed_targets_make_no_request_fatal) {
  std::atomic<int> refused = 0;
  constexpr int kCallerCount = 6;
  std::vector<std::thread> callers;
  callers.reserve(kCallerCount);
  const TimePoint end = BootTime::now() + std::chrono::seconds(8);
  for (int caller = 0; caller < kCallerCount; ++caller) {
    callers.emplace_back([this, caller, end, &refused] {
      for (int count = 0; BootTime::now() < end; ++count) {
        // Half of the requests are the same for all callers.
        const std::string path = count % 2 == 0
                                     ? "/look/popular"
                                     : "/look/" + std::to_string(caller) + "-" +
                                           std::to_string(count);
        refused += this->SendTo(caller % 3, path) == 400 ? 1 : 0;
      }
    });
  }
  for (int round = 0; round < 5; ++round) {
    std::this_thread::sleep_for(std::chrono::milliseconds(1200));
    for (const std::unique_ptr<MeshVm>& vm : this->fleet.Vms()) {
      vm->target_process->Signal(SIGKILL);
    }
  }
  for (std::thread& caller : callers) {
    caller.join();
  }
  BOOST_TEST(this->ends >= 10);
  BOOST_TEST(refused == 0);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace daisywinch::test
