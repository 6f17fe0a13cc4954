// Stops nodes of a mesh fleet by signal while callers go on using their open
// connections, with real processes. Each request that a node has read must get
// a response.
#include <atomic>
#include <csignal>
#include <map>
#include <mutex>
#include <random>
#include <set>
#include <thread>
#include <utility>
#include <vector>

#include <boost/test/unit_test.hpp>

#include "support/keep_alive_caller.h"
#include "support/mesh_fleet.h"
#include "support/soak_seeds.h"
#include "support/test_fleet.h"

namespace daisywinch::test {

namespace {

using std::chrono::milliseconds;

/// A request may stay without a response only if the node closes the connection
/// within this time after its last byte: the request and the end of the
/// connection have then crossed.
constexpr milliseconds kMaxCrossingTime{200};
constexpr std::chrono::seconds kExitTimeout{8};
/// Seeds that run by default, also in CI.
const std::vector<std::uint64_t> kDefaultSeeds = {1, 2};

/// Callers that send requests to one node one after the other, each on its own
/// connection.
class CallerGroup {
 public:
  CallerGroup(const MeshVm& vm, int count, milliseconds pause) {
    for (int caller = 0; caller < count; ++caller) {
      this->threads.emplace_back(
          [this, &vm, caller, pause] { this->Run(vm, caller, pause); });
    }
  }

  /// Stops the callers and returns their attempts.
  std::vector<Attempt> Stop() {
    this->is_stopping = true;
    for (std::thread& thread : this->threads) {
      thread.join();
    }
    this->threads.clear();
    return this->attempts;
  }

  ~CallerGroup() { this->Stop(); }
  CallerGroup(const CallerGroup&) = delete;
  CallerGroup& operator=(const CallerGroup&) = delete;

 private:
  void Run(const MeshVm& vm, int caller, milliseconds pause) {
    KeepAliveCaller keep_alive_caller(vm.caller_address);
    for (int count = 0; !this->is_stopping; ++count) {
      const std::string id =
          vm.name + "-" + std::to_string(caller) + "-" + std::to_string(count);
      const Attempt attempt = keep_alive_caller.Send(id, count % 2 == 0);
      {
        const std::lock_guard lock(this->mutex);
        this->attempts.push_back(attempt);
      }
      std::this_thread::sleep_for(attempt.status == 0 ? milliseconds(20)
                                                      : pause);
    }
  }

  std::atomic<bool> is_stopping = false;
  std::mutex mutex;
  std::vector<Attempt> attempts;
  std::vector<std::thread> threads;
};

struct StopFixture {
  StopFixture() {
    this->fleet.AddVm("east", "front");
    this->fleet.AddVm("west", "front");
    this->fleet.AddVm("east", "back");
    this->fleet.Start();
  }

  MeshVm& Vm(int index) { return *this->fleet.Vms()[index]; }

  void SetServiceTime(milliseconds time) {
    for (const std::unique_ptr<MeshVm>& vm : this->fleet.Vms()) {
      this->fleet.SetTargetBehaviour(
          *vm, "service_ms=" + std::to_string(time.count()));
    }
  }

  /// Number of runs of each attempt at the targets.
  std::map<std::string, int> CountRuns() {
    std::map<std::string, int> runs;
    for (const std::unique_ptr<MeshVm>& vm : this->fleet.Vms()) {
      for (const boost::json::value& run : this->fleet.GetRuns(*vm)) {
        ++runs[std::string(
            run.at("headers").at("X-Daisywinch-Attempt-Id").as_string())];
      }
    }
    return runs;
  }

  /// Checks that no request was lost, repeated or answered falsely. Returns the
  /// number of served requests.
  int CheckAttempts(const std::vector<Attempt>& attempts) {
    std::map<std::string, int> runs = this->CountRuns();
    int served = 0;
    for (const Attempt& attempt : attempts) {
      const int count = runs[attempt.id];
      served += attempt.status == 200 ? 1 : 0;
      BOOST_TEST(attempt.has_own_response,
                 attempt.id << " got the response of another attempt");
      if (attempt.was_sent && attempt.status == 0) {
        BOOST_TEST(count == 0, attempt.id << " ran and got no response");
        BOOST_TEST((attempt.waited <= kMaxCrossingTime),
                   attempt.id << " got no response");
      }
      if (attempt.is_booking) {
        BOOST_TEST(count <= 1, attempt.id << " ran more than once");
        BOOST_TEST(!(attempt.status == 503 && count > 0),
                   attempt.id << " ran although it was refused");
      }
    }
    return served;
  }

  /// Waits until a node has exited in the time that the platform allows.
  void CheckExit(MeshVm& vm) {
    const std::optional<int> status =
        vm.node_process->WaitForExit(kExitTimeout);
    BOOST_TEST((status == 0), vm.name << " did not shut down");
  }

  /// Restarts a node that then calls the other nodes without their proxies,
  /// which accept connections for nodes that are down.
  void RestartWithoutPeerProxy(MeshVm& vm) {
    vm.node_process->Signal(SIGTERM);
    this->CheckExit(vm);
    boost::json::object settings = this->fleet.MakeSettings(vm);
    settings["peer_port"] = vm.peer_address.port;
    this->fleet.WriteSettings(vm, boost::json::serialize(settings));
    this->fleet.RunNode(vm);
    BOOST_REQUIRE(WaitUntil([&] { return this->fleet.IsReady(vm); },
                            std::chrono::seconds(10)));
  }

  MeshFleet fleet;
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(planned_stop, StopFixture)

// Callers that have no other node go on sending until the process is gone.
BOOST_AUTO_TEST_CASE(requests_taken_during_a_stop_are_answered) {
  this->SetServiceTime(milliseconds(300));
  CallerGroup callers(this->Vm(0), 8, milliseconds(0));
  std::this_thread::sleep_for(milliseconds(300));
  this->Vm(0).node_process->Signal(SIGTERM);
  this->CheckExit(this->Vm(0));
  this->CheckAttempts(callers.Stop());
}

// Other nodes have no other target of the service.
BOOST_AUTO_TEST_CASE(stopping_node_serves_until_its_callers_have_left) {
  this->Vm(2).node_process->Signal(SIGTERM);
  const TimePoint started = BootTime::now();
  int count = 0;
  while (BootTime::now() - started < milliseconds(2000)) {
    Call call;
    call.path = "/stock/" + std::to_string(count++);
    BOOST_TEST(this->fleet.SendAttempt(this->Vm(0), call).result_int() == 200);
  }
  this->CheckExit(this->Vm(2));
}

BOOST_AUTO_TEST_CASE(second_stop_signal_ends_no_request) {
  this->SetServiceTime(milliseconds(800));
  CallerGroup callers(this->Vm(0), 4, milliseconds(0));
  for (int count = 0; count < 5; ++count) {
    std::this_thread::sleep_for(milliseconds(200));
    this->Vm(0).node_process->Signal(count % 2 == 0 ? SIGTERM : SIGINT);
  }
  this->CheckExit(this->Vm(0));
  this->CheckAttempts(callers.Stop());
}

// A refusal in place of such a response lets the caller send a booking again.
BOOST_AUTO_TEST_CASE(calls_that_a_stopping_node_did_not_run_are_refused) {
  constexpr int kRounds = 4;
  this->SetServiceTime(milliseconds(1));
  this->RestartWithoutPeerProxy(this->Vm(2));
  CallerGroup callers(this->Vm(2), 12, milliseconds(25));
  for (int round = 0; round < kRounds; ++round) {
    std::this_thread::sleep_for(milliseconds(1000));
    this->Vm(0).node_process->Signal(SIGTERM);
    this->CheckExit(this->Vm(0));
    this->fleet.StartNode(this->Vm(0));
  }
  const std::vector<Attempt> attempts = callers.Stop();
  std::map<std::string, int> runs = this->CountRuns();
  for (const Attempt& attempt : attempts) {
    const bool is_unknown = attempt.status == 502 || attempt.status == 504;
    BOOST_TEST(!(is_unknown && runs[attempt.id] == 0),
               attempt.id << " did not run and got " << attempt.status);
  }
  BOOST_TEST(this->CheckAttempts(attempts) > 0);
}

// Nested calls were taken until the end of the grace period and then cut.
BOOST_AUTO_TEST_CASE(requests_sent_at_any_time_of_a_stop_are_not_cut) {
  // The local target is at work, and may make nested calls, long after the
  // node has stopped taking root requests.
  constexpr milliseconds kRootServiceTime{1800};
  constexpr milliseconds kNestedServiceTime{1500};
  constexpr milliseconds kInterval{50};
  constexpr milliseconds kGrace{6000};
  // A request that was sent by then may be cut in the last sixth of the grace
  // period.
  constexpr milliseconds kServingTime{3000};
  this->SetServiceTime(kRootServiceTime);
  this->fleet.SetTargetBehaviour(
      this->Vm(2), "service_ms=" + std::to_string(kNestedServiceTime.count()));
  // All root requests run at the target of the node that stops.
  this->fleet.PublishTarget(this->Vm(1), true, 2);
  MeshVm& vm = this->Vm(0);
  std::mutex mutex;
  std::vector<Attempt> attempts;
  const auto send = [&](KeepAliveCaller& caller, const Call& call,
                        const std::string& id) {
    const Attempt attempt = caller.Send(id, call);
    const std::lock_guard lock(mutex);
    attempts.push_back(attempt);
  };
  const std::vector<std::pair<std::string, std::string>> kinds = {
      {"GET", "/look/"},
      {"POST", "/book/"},
      {"GET", "/stock/"},
      {"POST", "/reserve/"}};
  const auto make_call = [&kinds](std::size_t kind) {
    Call call;
    call.method = kinds[kind].first;
    call.path = kinds[kind].second + "1";
    call.key = kind < 2 ? MeshFleet::kSchoolKey : "";
    return call;
  };
  std::atomic<bool> is_stopping = false;
  std::vector<std::thread> threads;
  for (std::size_t kind = 0; kind < kinds.size(); ++kind) {
    threads.emplace_back([&, kind] {
      KeepAliveCaller caller(vm.caller_address);
      for (int count = 0; !is_stopping; ++count) {
        send(caller, make_call(kind),
             "kept" + kinds[kind].second + std::to_string(count));
        std::this_thread::sleep_for(milliseconds(5));
      }
    });
  }
  const TimePoint signalled = BootTime::now();
  vm.node_process->Signal(SIGTERM);
  for (int step = 0; step * kInterval < kGrace; ++step) {
    threads.emplace_back([&, step] {
      const std::size_t kind = step % kinds.size();
      KeepAliveCaller caller(vm.caller_address);
      send(caller, make_call(kind),
           "new" + kinds[kind].second + std::to_string(step));
    });
    std::this_thread::sleep_for(kInterval);
  }
  this->CheckExit(vm);
  is_stopping = true;
  for (std::thread& thread : threads) {
    thread.join();
  }
  std::map<std::string, int> runs = this->CountRuns();
  int answered = 0;
  for (const Attempt& attempt : attempts) {
    const bool has_run = runs[attempt.id] > 0;
    const milliseconds sent_after =
        std::chrono::duration_cast<milliseconds>(attempt.sent_at - signalled);
    const bool may_be_cut = sent_after <= kServingTime &&
                            sent_after + attempt.waited >= kGrace - kGrace / 6;
    answered += attempt.status == 200 ? 1 : 0;
    BOOST_TEST_MESSAGE(attempt.id << " sent after " << sent_after.count()
                                  << " ms, ran " << has_run << ", got "
                                  << attempt.status);
    if (has_run && !may_be_cut) {
      BOOST_TEST(attempt.status == 200,
                 attempt.id << ", sent " << sent_after.count()
                            << " ms after the signal, ran and got "
                            << attempt.status);
    }
    if (!has_run && attempt.was_sent && attempt.status == 0) {
      BOOST_TEST((attempt.waited <= kMaxCrossingTime),
                 attempt.id << " got no response");
    }
  }
  BOOST_TEST(answered > 0);
}

// Calls were taken late in the grace period because others of their route were
// short, and cut when they were long.
BOOST_AUTO_TEST_CASE(nested_calls_that_become_long_are_not_cut) {
  constexpr milliseconds kShortTime{20};
  constexpr milliseconds kLongTime{1900};
  constexpr milliseconds kRootTime{2100};
  constexpr milliseconds kInterval{50};
  constexpr milliseconds kGrace{6000};
  constexpr milliseconds kServingTime{3000};
  for (const milliseconds long_from :
       {milliseconds(3000), milliseconds(3700), milliseconds(4400)}) {
    StopFixture fixture;
    const auto set_service_time = [&fixture](int vm, milliseconds time) {
      fixture.fleet.SetTargetBehaviour(
          fixture.Vm(vm), "service_ms=" + std::to_string(time.count()));
    };
    set_service_time(0, kLongTime);
    set_service_time(2, kShortTime);
    fixture.fleet.PublishTarget(fixture.Vm(1), true, 2);
    MeshVm& vm = fixture.Vm(0);
    std::mutex mutex;
    std::vector<Attempt> attempts;
    std::vector<std::thread> threads;
    Call call;
    call.path = "/stock/1";
    call.key = "";
    for (int count = 0; count < 50; ++count) {
      KeepAliveCaller caller(vm.caller_address);
      caller.Send("before-" + std::to_string(count), call);
    }
    const TimePoint signalled = BootTime::now();
    vm.node_process->Signal(SIGTERM);
    bool is_long = false;
    for (int step = 0; step * kInterval < kGrace; ++step) {
      if (!is_long && step * kInterval >= long_from) {
        is_long = true;
        set_service_time(2, kLongTime);
      }
      if (step * kInterval == kRootTime) {
        // The local target is at work, and may make nested calls.
        threads.emplace_back([&] {
          Call root;
          root.path = "/look/1";
          root.key = MeshFleet::kSchoolKey;
          KeepAliveCaller caller(vm.caller_address);
          caller.Send("root", root);
        });
      }
      threads.emplace_back([&, step] {
        KeepAliveCaller caller(vm.caller_address);
        const Attempt attempt =
            caller.Send("new-" + std::to_string(step), call);
        const std::lock_guard lock(mutex);
        attempts.push_back(attempt);
      });
      std::this_thread::sleep_until(std::chrono::steady_clock::now() +
                                    kInterval);
    }
    fixture.CheckExit(vm);
    for (std::thread& thread : threads) {
      thread.join();
    }
    std::map<std::string, int> runs = fixture.CountRuns();
    for (const Attempt& attempt : attempts) {
      const milliseconds sent_after =
          std::chrono::duration_cast<milliseconds>(attempt.sent_at - signalled);
      const bool may_be_cut =
          sent_after <= kServingTime &&
          sent_after + attempt.waited >= kGrace - kGrace / 6;
      if (runs[attempt.id] > 0 && !may_be_cut) {
        BOOST_TEST(attempt.status == 200,
                   attempt.id << ", sent " << sent_after.count()
                              << " ms after the signal, ran and got "
                              << attempt.status);
      }
      if (sent_after < kServingTime - kInterval) {
        BOOST_TEST(attempt.status == 200,
                   attempt.id << " got " << attempt.status);
      }
    }
  }
}

// Trees that were begun after the signal lost their nested calls late in the
// grace period: no caller of such a tree got an answer.
BOOST_AUTO_TEST_CASE(requests_that_may_outlast_the_node_are_not_started) {
  constexpr std::chrono::seconds kLongTimeout{6};
  constexpr std::chrono::seconds kShortTimeout{3};
  this->fleet.PutKey("op/config", R"({"Version": "00000002", "Routes": {
      "look": {"Host": "shop.example", "Prefix": "/look/", "Kind": "safe",
               "Service": "front", "Timeout": "6000ms", "MaxAttempts": 2}},
      "Services": {"front": {}}})");
  this->fleet.PublishTarget(this->Vm(1), true, 2);
  Call call;
  call.path = "/look/1";
  BOOST_REQUIRE(WaitUntil([&] {
    return this->fleet.SendAttempt(this->Vm(2), call).result() ==
           http::status::ok;
  }));
  this->Vm(0).node_process->Signal(SIGTERM);
  std::this_thread::sleep_for(milliseconds(300));
  const auto send = [&](const std::string& id, Duration timeout) {
    return Send(this->Vm(2).caller_address,
                AddAttemptHeaders(call, id, timeout))
        .result_int();
  };
  const TimePoint started = BootTime::now();
  BOOST_TEST(send("long", kLongTimeout) == 503);
  BOOST_TEST((BootTime::now() - started < milliseconds(500)));
  BOOST_TEST(send("short", kShortTimeout) == 200);
  this->fleet.PublishTarget(this->Vm(1), false, 3);
  BOOST_TEST(WaitUntil([&] { return send("moved", kLongTimeout) == 200; },
                       std::chrono::seconds(1)));
  std::map<std::string, int> runs = this->CountRuns();
  BOOST_TEST(runs["long"] == 0);
  this->CheckExit(this->Vm(0));
}

BOOST_AUTO_TEST_CASE(overlapping_restarts_lose_no_request) {
  for (const std::uint64_t seed : ChooseSeeds(kDefaultSeeds)) {
    BOOST_TEST_CONTEXT("seed " << seed) {
      std::mt19937_64 random(seed);
      const auto random_time = [&random](int min, int max) {
        return milliseconds(
            std::uniform_int_distribution<int>(min, max)(random));
      };
      StopFixture fixture;
      fixture.SetServiceTime(random_time(1, 400));
      std::vector<std::unique_ptr<CallerGroup>> groups;
      for (const std::unique_ptr<MeshVm>& vm : fixture.fleet.Vms()) {
        const int count = std::uniform_int_distribution<int>(1, 6)(random);
        groups.push_back(
            std::make_unique<CallerGroup>(*vm, count, random_time(0, 20)));
      }
      for (int round = 0; round < 2; ++round) {
        for (const std::unique_ptr<MeshVm>& vm : fixture.fleet.Vms()) {
          std::this_thread::sleep_for(random_time(0, 1500));
          vm->node_process->Signal(SIGTERM);
        }
        for (const std::unique_ptr<MeshVm>& vm : fixture.fleet.Vms()) {
          fixture.CheckExit(*vm);
          fixture.fleet.StartNode(*vm);
        }
      }
      std::this_thread::sleep_for(milliseconds(1500));
      std::vector<Attempt> attempts;
      for (const std::unique_ptr<CallerGroup>& group : groups) {
        const std::vector<Attempt> some = group->Stop();
        attempts.insert(attempts.end(), some.begin(), some.end());
      }
      BOOST_TEST(fixture.CheckAttempts(attempts) > 0);
    }
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace daisywinch::test
