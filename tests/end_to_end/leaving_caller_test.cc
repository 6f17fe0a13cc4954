// Callers of a mesh fleet that close their connections before they have a
// response, with real processes. No target may get their requests, or go on
// working on them, half a second later.
#include <csignal>
#include <map>
#include <memory>
#include <thread>
#include <vector>

#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/test/unit_test.hpp>

#include "support/mesh_fleet.h"
#include "support/test_fleet.h"

namespace daisywinch::test {

namespace {

using std::chrono::milliseconds;

/// Maximum time from the end of a caller's connection until no target gets its
/// request or works on it.
constexpr milliseconds kMaxTimeAfterEnd{500};
/// Longer than that.
constexpr milliseconds kLongServiceTime{1500};
/// Time in which a request surely arrives at its target.
constexpr milliseconds kArrivalTime{200};

/// What a target did with a request.
struct Run {
  TimePoint started;
  /// Unset while the target works on it.
  std::optional<TimePoint> ended;
};

/// A caller with one connection, which it may close at any time.
class LeavingCaller {
 public:
  LeavingCaller(const MeshVm& vm, Call call, const std::string& attempt_id) {
    HttpRequest request =
        MakeRequest(AddAttemptHeaders(std::move(call), attempt_id));
    request.prepare_payload();
    this->socket.connect(ToEndpoint(vm.caller_address));
    http::write(this->socket, request);
  }

  /// Closes the connection and returns the time.
  TimePoint Leave() {
    this->socket.close();
    return BootTime::now();
  }

  /// Status of the response; 0 if there is none.
  unsigned ReadStatus() {
    ErrorCode error;
    boost::beast::flat_buffer buffer;
    HttpResponse response;
    http::read(this->socket, buffer, response, error);
    return error ? 0 : response.result_int();
  }

 private:
  asio::io_context context{1};
  Tcp::socket socket{this->context};
};

struct LeavingCallerFixture {
  LeavingCallerFixture()
      : front(fleet.AddVm("east", "front")), back(fleet.AddVm("west", "back")) {
    this->fleet.Start();
  }

  static Call MakeLookCall() {
    Call call;
    call.path = "/look/1";
    call.key = MeshFleet::kSchoolKey;
    return call;
  }

  static Call MakeStockCall() {
    Call call;
    call.path = "/stock/1";
    return call;
  }

  void SetServiceTime(const MeshVm& vm, milliseconds time) {
    this->fleet.SetTargetBehaviour(
        vm, "service_ms=" + std::to_string(time.count()));
  }

  /// The runs of a target by attempt id.
  std::map<std::string, Run> GetRuns(const MeshVm& vm) {
    std::map<std::string, Run> runs;
    const auto to_time = [](const boost::json::value& nanoseconds) {
      return TimePoint(
          std::chrono::nanoseconds(nanoseconds.to_number<std::int64_t>()));
    };
    for (const boost::json::value& item : this->fleet.GetRuns(vm)) {
      Run run;
      run.started = to_time(item.at("at_ns"));
      const TimePoint ended = to_time(item.at("ended_ns"));
      if (ended != TimePoint()) {
        run.ended = ended;
      }
      runs[std::string(
          item.at("headers").at("X-Daisywinch-Attempt-Id").as_string())] = run;
    }
    return runs;
  }

  /// Checks that the target started a run and ended it soon after `left`.
  static void CheckEndedInTime(const std::map<std::string, Run>& runs,
                               const std::string& id,
                               TimePoint left) {
    const auto found = runs.find(id);
    BOOST_REQUIRE_MESSAGE(found != runs.end(), id << " did not run");
    BOOST_REQUIRE_MESSAGE(found->second.ended, id << " still runs");
    BOOST_TEST((*found->second.ended - left <= kMaxTimeAfterEnd),
               id << " ran on after its caller had left");
  }

  /// Stops the process of a node and returns when it stands still.
  static void StopNode(const MeshVm& vm) {
    vm.node_process->Signal(SIGSTOP);
    std::this_thread::sleep_for(milliseconds(50));
  }

  bool IsTargetCold(const MeshVm& vm) {
    return GetJson(vm.operator_address, "/status")
        .at("gate")
        .at("cold")
        .as_bool();
  }

  MeshFleet fleet;
  MeshVm& front;
  MeshVm& back;
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(leaving_caller, LeavingCallerFixture)

// The ingress read and sent on what its callers had left behind.
BOOST_AUTO_TEST_CASE(caller_that_left_a_stopped_ingress_is_not_served) {
  constexpr int kCallerCount = 100;
  StopNode(this->front);
  std::vector<std::unique_ptr<LeavingCaller>> callers;
  callers.reserve(kCallerCount);
  for (int caller = 0; caller < kCallerCount; ++caller) {
    callers.push_back(std::make_unique<LeavingCaller>(
        this->front, caller % 2 == 0 ? MakeLookCall() : MakeStockCall(),
        (caller % 10 == 0 ? "stays-" : "leaves-") + std::to_string(caller)));
  }
  for (int caller = 0; caller < kCallerCount; ++caller) {
    if (caller % 10 != 0) {
      callers[caller]->Leave();
    }
  }
  std::this_thread::sleep_for(kMaxTimeAfterEnd);
  this->front.node_process->Signal(SIGCONT);
  for (int caller = 0; caller < kCallerCount; caller += 10) {
    BOOST_TEST(callers[caller]->ReadStatus() == 200);
  }
  for (const MeshVm* vm : {&this->front, &this->back}) {
    for (const auto& [id, run] : this->GetRuns(*vm)) {
      BOOST_TEST(id.starts_with("stays-"), id << " reached a target");
    }
  }
}

BOOST_AUTO_TEST_CASE(run_ends_with_its_caller) {
  this->SetServiceTime(this->front, kLongServiceTime);
  this->SetServiceTime(this->back, kLongServiceTime);
  LeavingCaller local(this->front, MakeLookCall(), "local");
  LeavingCaller remote(this->front, MakeStockCall(), "remote");
  std::this_thread::sleep_for(kArrivalTime);
  const TimePoint left = local.Leave();
  remote.Leave();
  std::this_thread::sleep_for(kMaxTimeAfterEnd);
  CheckEndedInTime(this->GetRuns(this->front), "local", left);
  CheckEndedInTime(this->GetRuns(this->back), "remote", left);
}

BOOST_AUTO_TEST_CASE(run_at_a_target_that_hangs_ends_with_its_caller) {
  this->fleet.SetTargetBehaviour(this->back, "hangs=1");
  LeavingCaller caller(this->front, MakeStockCall(), "hangs");
  std::this_thread::sleep_for(kArrivalTime);
  const TimePoint left = caller.Leave();
  std::this_thread::sleep_for(kMaxTimeAfterEnd);
  CheckEndedInTime(this->GetRuns(this->back), "hangs", left);
}

BOOST_AUTO_TEST_CASE(nested_run_ends_with_the_caller_of_its_root) {
  this->SetServiceTime(this->back, kLongServiceTime);
  Call call = MakeLookCall();
  call.headers = {{"X-Onward", "/stock/1"},
                  {"X-Onward-Host", MeshFleet::kHost}};
  LeavingCaller caller(this->front, call, "root");
  std::this_thread::sleep_for(kArrivalTime);
  const TimePoint left = caller.Leave();
  std::this_thread::sleep_for(kMaxTimeAfterEnd);
  CheckEndedInTime(this->GetRuns(this->front), "root", left);
  const std::map<std::string, Run> nested = this->GetRuns(this->back);
  BOOST_REQUIRE(nested.size() == 1);
  CheckEndedInTime(nested, nested.begin()->first, left);
}

BOOST_AUTO_TEST_CASE(call_that_waits_for_a_slot_ends_with_its_caller) {
  constexpr int kSlots = 19;
  this->SetServiceTime(this->back, milliseconds(300));
  std::vector<std::unique_ptr<LeavingCaller>> running;
  running.reserve(kSlots);
  for (int count = 0; count < kSlots; ++count) {
    running.push_back(std::make_unique<LeavingCaller>(
        this->back, MakeStockCall(), "runs-" + std::to_string(count)));
  }
  std::this_thread::sleep_for(kArrivalTime);
  LeavingCaller caller(this->front, MakeStockCall(), "waits");
  std::this_thread::sleep_for(milliseconds(50));
  caller.Leave();
  std::this_thread::sleep_for(kMaxTimeAfterEnd);
  const std::map<std::string, Run> runs = this->GetRuns(this->back);
  BOOST_TEST(runs.size() == kSlots);
  BOOST_TEST(!runs.contains("waits"));
}

// The gate ran the calls in its buffers before it read that they were
// cancelled.
BOOST_AUTO_TEST_CASE(call_that_was_cancelled_at_a_stopped_gate_is_not_started) {
  // The longer stop also ends the connection between the nodes.
  for (const milliseconds stop_time : {milliseconds(700), milliseconds(1500)}) {
    const std::string id = "stopped-" + std::to_string(stop_time.count());
    this->fleet.SendAttempt(this->front, MakeStockCall());
    StopNode(this->back);
    LeavingCaller caller(this->front, MakeStockCall(), id);
    std::this_thread::sleep_for(milliseconds(50));
    caller.Leave();
    std::this_thread::sleep_for(stop_time);
    this->back.node_process->Signal(SIGCONT);
    std::this_thread::sleep_for(milliseconds(300));
    BOOST_TEST(!this->GetRuns(this->back).contains(id), id << " was started");
    BOOST_TEST(
        this->fleet.SendAttempt(this->front, MakeStockCall()).result_int() ==
        200);
  }
}

// What a cut link held back arrived and was started.
BOOST_AUTO_TEST_CASE(call_that_a_cut_link_held_back_is_not_started) {
  this->fleet.SendAttempt(this->front, MakeStockCall());
  LinkFault cut;
  cut.stalls_to_server = true;
  cut.stalls_to_client = true;
  this->back.peer_proxy->SetFault(cut);
  LeavingCaller caller(this->front, MakeStockCall(), "held-back");
  std::this_thread::sleep_for(milliseconds(100));
  caller.Leave();
  std::this_thread::sleep_for(milliseconds(1500));
  this->back.peer_proxy->SetFault(LinkFault());
  std::this_thread::sleep_for(milliseconds(300));
  BOOST_TEST(!this->GetRuns(this->back).contains("held-back"));
  BOOST_TEST(
      this->fleet.SendAttempt(this->front, MakeStockCall()).result_int() ==
      200);
}

// Slots that became free as the callers left were taken for calls that were
// not sent, which made the state of the target unknown.
BOOST_AUTO_TEST_CASE(callers_that_leave_a_queue_leave_the_target_warm) {
  constexpr int kSlots = 19;
  constexpr int kRounds = 5;
  this->SetServiceTime(this->back, milliseconds(100));
  for (int round = 0; round < kRounds; ++round) {
    const std::string prefix = std::to_string(round) + "-";
    std::vector<std::unique_ptr<LeavingCaller>> callers;
    callers.reserve(2 * kSlots);
    for (int count = 0; count < 2 * kSlots; ++count) {
      callers.push_back(std::make_unique<LeavingCaller>(
          this->back, MakeStockCall(), prefix + std::to_string(count)));
    }
    std::this_thread::sleep_for(milliseconds(50));
    // The runs end and the callers leave at once in the eyes of the gate.
    StopNode(this->back);
    std::this_thread::sleep_for(milliseconds(100));
    for (const std::unique_ptr<LeavingCaller>& caller : callers) {
      caller->Leave();
    }
    this->back.node_process->Signal(SIGCONT);
    std::this_thread::sleep_for(milliseconds(30));
    BOOST_TEST(!this->IsTargetCold(this->back));
    std::this_thread::sleep_for(milliseconds(400));
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace daisywinch::test
