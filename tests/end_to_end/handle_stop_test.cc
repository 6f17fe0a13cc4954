// Tests that a stopping node of the handle interface takes only calls that it
// can answer.
#include <boost/test/unit_test.hpp>

#include <csignal>
#include <set>
#include <string>
#include <thread>
#include <vector>

#include "state/clock.h"
#include "support/test_fleet.h"

namespace daisywinch::test {

namespace {

using std::chrono::milliseconds;

constexpr std::chrono::seconds kGrace{5};
/// Calls that arrive later are taken only if their deadline fits.
constexpr milliseconds kServingTime{3000};
/// Time that the request of the local target may take.
constexpr milliseconds kRootTimeout{20'000};

struct HandleStopFixture {
  HandleStopFixture()
      : front(fleet.AddVm("east", "front")), back(fleet.AddVm("west", "back")) {
    Configuration configuration = MakeConfiguration(StandardAnswers(1));
    for (Route& route : configuration.routes) {
      if (route.name == "look-up") {
        route.timeout = kRootTimeout;
      }
    }
    this->fleet.Start(configuration);
    boost::json::object settings = this->fleet.MakeSettings(this->front);
    settings["shutdown_seconds"] = kGrace.count();
    this->fleet.WriteSettings(this->front, boost::json::serialize(settings));
    this->front.node_process->Signal(SIGHUP);
    BOOST_REQUIRE(WaitUntil([&] {
      return this->fleet.ReadNodeLog(this->front).find("settings-reloaded") !=
             std::string::npos;
    }));
  }

  /// Handle of the request that runs at the target of `front`.
  std::string AwaitHandle() {
    BOOST_REQUIRE(WaitUntil(
        [&] { return this->fleet.GetRuns(this->front).size() == 1; }));
    const boost::json::array runs = this->fleet.GetRuns(this->front);
    return std::string(runs[0].at("headers").at(kHandleHeader).as_string());
  }

  /// Paths of the requests that the target of `back` has started.
  std::set<std::string> StartedPaths() {
    std::set<std::string> paths;
    for (const boost::json::value& run : this->fleet.GetRuns(this->back)) {
      paths.emplace(run.at("path").as_string());
    }
    return paths;
  }

  TestFleet fleet;
  TestVm& front;
  TestVm& back;
};

struct NestedCall {
  std::string path;
  Duration sent_after = Duration::zero();
  unsigned status = 0;
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(handle_stop, HandleStopFixture)

// Nested calls were taken until the end of the grace period and then cut.
BOOST_AUTO_TEST_CASE(nested_calls_that_become_long_are_not_cut) {
  constexpr milliseconds kShortTime{20};
  constexpr milliseconds kLongTime{1500};
  constexpr milliseconds kLongFrom{2500};
  constexpr milliseconds kInterval{50};
  const auto set_service_time = [this](milliseconds time) {
    this->fleet.SetTargetBehaviour(
        this->back, "service_ms=" + std::to_string(time.count()));
  };
  set_service_time(kShortTime);
  this->fleet.SetTargetBehaviour(this->front, "hang=1");
  std::thread root([this] {
    Call call;
    call.path = "/points/1";
    call.key = ApiKeyForCustomer("school");
    Send(this->front.caller_address, call, kRootTimeout);
  });
  const std::string handle = this->AwaitHandle();
  const TimePoint signalled = BootTime::now();
  this->front.node_process->Signal(SIGTERM);
  std::vector<NestedCall> calls(kGrace / kInterval);
  std::vector<std::thread> senders;
  bool is_long = false;
  for (std::size_t index = 0; index < calls.size(); ++index) {
    if (!is_long && index * kInterval >= kLongFrom) {
      is_long = true;
      set_service_time(kLongTime);
    }
    std::this_thread::sleep_until(signalled + index * kInterval);
    NestedCall& nested = calls[index];
    nested.path = "/stock/" + std::to_string(index);
    nested.sent_after = BootTime::now() - signalled;
    senders.emplace_back([this, &nested, &handle] {
      Call call;
      call.path = nested.path;
      call.headers = {{kHandleHeader, handle}};
      nested.status = Send(this->front.caller_address, call).result_int();
    });
  }
  for (std::thread& sender : senders) {
    sender.join();
  }
  root.join();
  const std::set<std::string> started = this->StartedPaths();
  int late_answers = 0;
  for (const NestedCall& nested : calls) {
    const bool is_answered = nested.status == 200;
    BOOST_TEST(is_answered == started.contains(nested.path),
               nested.path << " got " << nested.status);
    late_answers += is_answered && nested.sent_after > kServingTime ? 1 : 0;
    if (nested.sent_after < kServingTime / 2) {
      BOOST_TEST(is_answered);
    }
  }
  BOOST_TEST(late_answers == 0);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace daisywinch::test
