// Tests the mesh interface with real processes: store, targets and nodes.
#include <boost/test/unit_test.hpp>

#include <csignal>
#include <string>
#include <thread>
#include <vector>

#include "state/refusal.h"
#include "support/mesh_fleet.h"
#include "support/parallel_calls.h"
#include "support/test_fleet.h"

namespace daisywinch::test {

namespace {

struct MeshFixture {
  MeshFixture()
      : east(fleet.AddVm("east", "front")),
        west(fleet.AddVm("west", "front")),
        back(fleet.AddVm("east", "back")) {
    this->fleet.Start();
  }

  Call MakeLookCall() const {
    Call call;
    call.path = "/look/1?x=2";
    call.key = MeshFleet::kSchoolKey;
    return call;
  }

  Call MakeBookCall() const {
    Call call;
    call.method = "POST";
    call.path = "/book/1";
    call.key = MeshFleet::kSchoolKey;
    call.body = "a booking";
    return call;
  }

  std::size_t CountRuns() {
    return this->fleet.GetRuns(this->east).size() +
           this->fleet.GetRuns(this->west).size();
  }

  /// Sends more requests to a node than cold targets are allowed to get.
  void SendConcurrentLooks() {
    constexpr int kCallerCount = 8;
    std::vector<std::thread> callers;
    callers.reserve(kCallerCount);
    for (int caller = 0; caller < kCallerCount; ++caller) {
      callers.emplace_back([this, caller] {
        for (int count = 0; count < 12; ++count) {
          Send(this->east.caller_address,
               AddAttemptHeaders(this->MakeLookCall(),
                                 "cold-" + std::to_string(caller) + "-" +
                                     std::to_string(count)));
        }
      });
    }
    for (std::thread& caller : callers) {
      caller.join();
    }
  }

  void CheckColdRate(const MeshVm& vm) {
    const boost::json::array runs = this->fleet.GetRuns(vm);
    for (std::size_t first = 0; first + 20 < runs.size(); ++first) {
      // The configuration allows a cold target 10 requests per second; the
      // setting cold_over allows 1.5 times that, and 5 more requests are
      // tolerated.
      BOOST_TEST(runs[first + 20].at("at_ns").as_int64() -
                     runs[first].at("at_ns").as_int64() >
                 1'000'000'000);
    }
  }

  MeshFleet fleet;
  MeshVm& east;
  MeshVm& west;
  MeshVm& back;
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(mesh_path, MeshFixture)

BOOST_AUTO_TEST_CASE(request_reaches_a_target_with_its_headers) {
  Call call = this->MakeBookCall();
  call.headers = {{"X-Kept", "yes"}, {"X-Daisywinch-Tenant-Id", "forged"}};
  const HttpResponse response =
      this->fleet.SendAttempt(this->back, call, "a-1");
  BOOST_TEST(response.result_int() == 200);
  BOOST_TEST(response.body() == "ran /book/1");
  BOOST_TEST(response["X-Daisywinch-Attempt-Id"] == "a-1");
  BOOST_TEST(!response["X-Daisywinch-Response-Signature"].empty());
  boost::json::array runs = this->fleet.GetRuns(this->east);
  if (runs.empty()) {
    runs = this->fleet.GetRuns(this->west);
  }
  BOOST_REQUIRE(runs.size() == 1);
  const boost::json::object& headers = runs[0].at("headers").as_object();
  BOOST_TEST(runs[0].at("body").as_string() == "a booking");
  BOOST_TEST(headers.at("X-Kept").as_string() == "yes");
  BOOST_TEST(headers.at("X-Daisywinch-Tenant-Id").as_string() == "school");
  BOOST_TEST(headers.at("X-Daisywinch-Caller-Service").as_string() == "back");
  BOOST_TEST(headers.at("X-Daisywinch-Attempt-Id").as_string() == "a-1");
  BOOST_TEST(!headers.contains("Authorization"));
}

BOOST_AUTO_TEST_CASE(
    unknown_key_unknown_route_and_missing_attempt_id_are_refused) {
  Call call = this->MakeLookCall();
  call.key = "no-such-key";
  BOOST_TEST(this->fleet.SendAttempt(this->east, call).result_int() == 401);
  call = this->MakeLookCall();
  call.path = "/nothing/1";
  BOOST_TEST(this->fleet.SendAttempt(this->east, call).result_int() == 404);
  call = this->MakeLookCall();
  call.headers = {{"Host", MeshFleet::kHost}};
  BOOST_TEST(Send(this->east.caller_address, call).result_int() == 400);
  BOOST_TEST(this->CountRuns() == 0);
}

BOOST_AUTO_TEST_CASE(nested_call_needs_no_key_on_an_open_route) {
  Call call = this->MakeLookCall();
  call.headers = {{"X-Onward", "/stock/7"}};
  // The nested call has the node's address as its host, which no route has, so
  // the target's own response is 500.
  this->fleet.SetTargetBehaviour(this->east, "service_ms=1");
  const HttpResponse response = this->fleet.SendAttempt(this->back, call);
  BOOST_TEST(response.result_int() == 500);
  call = Call();
  call.path = "/stock/7";
  BOOST_TEST(this->fleet.SendAttempt(this->east, call).result_int() == 200);
  BOOST_TEST(this->fleet.GetRuns(this->back).size() == 1);
}

BOOST_AUTO_TEST_CASE(withdrawn_key_stops_working) {
  BOOST_TEST(
      this->fleet.SendAttempt(this->east, this->MakeLookCall()).result_int() ==
      200);
  this->fleet.PublishConfiguration(2, "");
  BOOST_TEST(WaitUntil(
      [&] {
        return this->fleet.SendAttempt(this->east, this->MakeLookCall())
                       .result_int() == 401 &&
               this->fleet.SendAttempt(this->west, this->MakeLookCall())
                       .result_int() == 401;
      },
      std::chrono::seconds(2)));
  // An older version is never applied.
  this->fleet.PublishConfiguration(1, MeshFleet::kSchoolKey);
  std::this_thread::sleep_for(std::chrono::milliseconds(300));
  BOOST_TEST(
      this->fleet.SendAttempt(this->east, this->MakeLookCall()).result_int() ==
      401);
}

BOOST_AUTO_TEST_CASE(malformed_configuration_and_target_record_are_refused) {
  this->fleet.PutKey("op/config", R"({"Version":"00000009","Routes":{"x":)");
  this->fleet.PutKey("servers/foreign", "{\"Address\": 17}");
  std::this_thread::sleep_for(std::chrono::milliseconds(300));
  BOOST_TEST(
      this->fleet.SendAttempt(this->east, this->MakeLookCall()).result_int() ==
      200);
  const std::string log = this->fleet.ReadNodeLog(this->east);
  BOOST_TEST(log.find("2002 configuration-refused") != std::string::npos);
  BOOST_TEST(log.find("2010 target-refused") != std::string::npos);
}

// Guards against an entry of another writer that ends the nodes that read it,
// or keeps them from reading on.
BOOST_AUTO_TEST_CASE(odd_entries_among_targets_keep_no_node_from_reading_on) {
  const std::string nested(100'000, '[');
  const std::vector<std::string> odd_values = {
      "",
      "\n",
      nested,
      R"({"a":)" + nested,
      R"({"Address":"127.0.0.1:70000","Info":{"Service":"front","Zone":"east",
          "Slots":9},"Status":{"State":"ready"}})",
      R"({"Address":"127.0.0.1:80","born":1e400,"Info":{"Service":"front",
          "Zone":"east","Slots":99999999999999999999999},
          "Status":{"State":"ready"}})",
      R"({"Address":"127.0.0.1:-1","Info":{"Slots":-5}})"};
  for (std::size_t index = 0; index < odd_values.size(); ++index) {
    this->fleet.PutKey("servers/odd-" + std::to_string(index),
                       odd_values[index]);
  }
  // A node that starts now reads them in a list, the others in changes, from
  // the store or from a relay.
  this->west.node_process->Signal(SIGKILL);
  this->fleet.RunNode(this->west);
  BOOST_REQUIRE(WaitUntil([&] { return this->fleet.IsReady(this->west); }));
  std::this_thread::sleep_for(std::chrono::milliseconds(600));
  this->fleet.PublishTarget(this->east, true);
  this->fleet.PublishConfiguration(2, MeshFleet::kSchoolKey);
  std::this_thread::sleep_for(std::chrono::milliseconds(600));
  const std::size_t before = this->fleet.GetRuns(this->east).size();
  for (const MeshVm* vm : {&this->east, &this->west, &this->back}) {
    for (int count = 0; count < 10; ++count) {
      BOOST_TEST(
          this->fleet.SendAttempt(*vm, this->MakeLookCall()).result_int() ==
          200);
    }
    BOOST_TEST(!vm->node_process->WaitForExit(std::chrono::milliseconds(1)));
  }
  BOOST_TEST(this->fleet.GetRuns(this->east).size() == before);
}

BOOST_AUTO_TEST_CASE(leaving_target_gets_no_new_requests) {
  this->fleet.PublishTarget(this->east, true);
  std::this_thread::sleep_for(std::chrono::milliseconds(500));
  const std::size_t before = this->fleet.GetRuns(this->east).size();
  for (int count = 0; count < 20; ++count) {
    BOOST_TEST(this->fleet.SendAttempt(this->east, this->MakeLookCall())
                   .result_int() == 200);
  }
  BOOST_TEST(this->fleet.GetRuns(this->east).size() == before);
}

// Guards against calls that wait for a slot and reach a target long after its
// record says that it leaves.
BOOST_AUTO_TEST_CASE(queued_calls_do_not_wait_for_a_target_that_leaves) {
  constexpr int kUsedSlots = 19;
  constexpr int kQueued = 5;
  // Nested calls wait for half of the objective.
  this->fleet.PublishConfiguration(2, MeshFleet::kSchoolKey, "4000ms");
  this->fleet.SetTargetBehaviour(this->back, "hangs=1");
  std::this_thread::sleep_for(std::chrono::milliseconds(500));
  const auto send_calls = [this](const std::string& name, int count) {
    std::vector<AddressedCall> calls;
    for (int number = 0; number < count; ++number) {
      Call call;
      call.path = "/stock/1";
      calls.push_back({this->west.caller_address,
                       AddAttemptHeaders(call, name + std::to_string(number))});
    }
    return SendAll(calls);
  };
  std::thread running([&] { send_calls("running-", kUsedSlots); });
  BOOST_TEST(WaitUntil(
      [&] { return this->fleet.GetRuns(this->back).size() == kUsedSlots; }));
  std::thread record([this] {
    std::this_thread::sleep_for(std::chrono::milliseconds(200));
    this->fleet.PublishTarget(this->back, true, 2);
  });
  const std::string leaving =
      std::to_string(static_cast<std::uint32_t>(RefusalReason::kDraining));
  for (const HttpResponse& response : send_calls("queued-", kQueued)) {
    BOOST_TEST(response.result_int() == 503);
    BOOST_TEST(std::string(response["X-Daisywinch-Reason"]) == leaving);
  }
  record.join();
  running.join();
  BOOST_TEST(this->fleet.GetRuns(this->back).size() == kUsedSlots);
}

BOOST_AUTO_TEST_CASE(evacuated_data_centre_gets_no_requests) {
  this->fleet.PutKey("op/evacuate/west", "{}");
  std::this_thread::sleep_for(std::chrono::milliseconds(500));
  for (int count = 0; count < 20; ++count) {
    BOOST_TEST(this->fleet.SendAttempt(this->west, this->MakeLookCall())
                   .result_int() == 200);
  }
  BOOST_TEST(this->fleet.GetRuns(this->west).empty());
  this->fleet.RemoveKey("op/evacuate/west");
  BOOST_TEST(WaitUntil([&] {
    this->fleet.SendAttempt(this->west, this->MakeLookCall());
    return !this->fleet.GetRuns(this->west).empty();
  }));
}

BOOST_AUTO_TEST_CASE(request_shed_by_the_target_is_reported_as_not_run) {
  for (MeshVm* vm : {&this->east, &this->west}) {
    this->fleet.SetTargetBehaviour(*vm, "sheds=1");
  }
  const HttpResponse response =
      this->fleet.SendAttempt(this->east, this->MakeBookCall());
  BOOST_TEST(response.result_int() == 503);
  BOOST_TEST(!response["Retry-After"].empty());
  BOOST_TEST(this->CountRuns() == 0);
}

// Guards against a refusal of another request that is taken for this one's: the
// request may be running.
BOOST_AUTO_TEST_CASE(refusal_without_the_attempt_id_does_not_mean_not_run) {
  for (MeshVm* vm : {&this->east, &this->west}) {
    this->fleet.SetTargetBehaviour(*vm, "sheds=1&unechoed=1");
  }
  const HttpResponse response =
      this->fleet.SendAttempt(this->east, this->MakeBookCall());
  BOOST_TEST(response.result_int() == 502);
  BOOST_TEST(response["Retry-After"].empty());
}

BOOST_AUTO_TEST_CASE(
    responses_with_a_wrong_attempt_id_or_no_signature_are_dropped) {
  for (const char* behaviour : {"garbles=1", "unsigned=1"}) {
    this->fleet.SetTargetBehaviour(this->east, behaviour);
    this->fleet.SetTargetBehaviour(this->west, behaviour);
    const std::size_t before = this->CountRuns();
    const HttpResponse response =
        this->fleet.SendAttempt(this->east, this->MakeBookCall());
    BOOST_TEST(response.result_int() == 502);
    BOOST_TEST(this->CountRuns() == before + 1);
  }
}

BOOST_AUTO_TEST_CASE(request_is_cancelled_when_the_caller_disconnects) {
  this->fleet.SetTargetBehaviour(this->east, "hangs=1");
  this->fleet.SetTargetBehaviour(this->west, "hangs=1");
  Send(this->east.caller_address,
       AddAttemptHeaders(this->MakeLookCall(), "leaver"),
       std::chrono::milliseconds(200));
  BOOST_TEST(WaitUntil(
      [&] {
        for (MeshVm* vm : {&this->east, &this->west}) {
          for (const boost::json::value& run : this->fleet.GetRuns(*vm)) {
            if (run.at("cancelled").as_bool()) {
              return true;
            }
          }
        }
        return false;
      },
      std::chrono::milliseconds(800)));
}

BOOST_AUTO_TEST_CASE(request_ends_at_the_route_timeout) {
  this->fleet.SetTargetBehaviour(this->east, "hangs=1");
  this->fleet.SetTargetBehaviour(this->west, "hangs=1");
  const TimePoint started = BootTime::now();
  BOOST_TEST(
      this->fleet.SendAttempt(this->east, this->MakeBookCall()).result_int() ==
      504);
  BOOST_TEST((BootTime::now() - started < std::chrono::milliseconds(2400)));
  BOOST_TEST(this->CountRuns() == 1);
}

BOOST_AUTO_TEST_CASE(node_serves_without_the_store_and_then_reads_it_again) {
  this->fleet.SetStoreBehaviour("down=1");
  std::this_thread::sleep_for(std::chrono::milliseconds(500));
  BOOST_TEST(
      this->fleet.SendAttempt(this->east, this->MakeLookCall()).result_int() ==
      200);
  this->fleet.SetStoreBehaviour("down=0&gone=1");
  this->fleet.PublishConfiguration(2, "");
  BOOST_TEST(WaitUntil([&] {
    return this->fleet.SendAttempt(this->east, this->MakeLookCall())
               .result_int() == 401;
  }));
}

BOOST_AUTO_TEST_CASE(cold_target_stays_within_its_rate) {
  for (MeshVm* vm : {&this->east, &this->west}) {
    this->fleet.SetTargetBehaviour(*vm, "cold_ms=3000");
    vm->target_proxy->ResetConnections();
  }
  // After losing the connections, nodes assume that the targets may have
  // restarted and ask for their cold state.
  this->fleet.SendAttempt(this->east, this->MakeLookCall());
  this->fleet.SendAttempt(this->west, this->MakeLookCall());
  this->SendConcurrentLooks();
  for (MeshVm* vm : {&this->east, &this->west}) {
    this->CheckColdRate(*vm);
  }
}

// Guards against a target that restarts while its only connection is in use,
// and gets requests at the full rate until the next health check.
BOOST_AUTO_TEST_CASE(target_that_restarts_during_a_request_is_cold) {
  // A node sends a few calls to a target chosen at random. Without the other
  // target, all requests go to the one that restarts.
  this->fleet.PublishTarget(this->west, true, 2);
  BOOST_REQUIRE(WaitUntil([&] {
    return this->fleet.ReadNodeLog(this->east).find("leaving=\"true\"") !=
           std::string::npos;
  }));
  this->fleet.SetTargetBehaviour(this->east, "hangs=1");
  unsigned status = 0;
  std::thread caller([&] {
    status = this->fleet.SendAttempt(this->east, this->MakeBookCall(), "held")
                 .result_int();
  });
  const bool has_started =
      WaitUntil([&] { return this->fleet.GetRuns(this->east).size() == 1; });
  this->fleet.SetTargetBehaviour(this->east, "cold_ms=3000");
  this->east.target_proxy->ResetConnections();
  caller.join();
  BOOST_TEST(has_started);
  BOOST_TEST(status == 502);
  this->SendConcurrentLooks();
  this->CheckColdRate(this->east);
}

// Guards against nodes that end at their start in a fleet that states no
// bounds, or leaves optional fields of its configuration out.
BOOST_AUTO_TEST_CASE(node_starts_with_every_optional_field_left_out) {
  boost::json::object settings = this->fleet.MakeSettings(this->east);
  for (const char* const name : {"missing", "empty"}) {
    this->east.node_process.reset();
    if (name == std::string("missing")) {
      settings.erase("bounds");
    } else {
      settings["bounds"] = {
          {"cold_over", ""}, {"retry_slack", ""}, {"drain", ""}};
    }
    this->fleet.WriteSettings(this->east, boost::json::serialize(settings));
    this->fleet.RunNode(this->east);
    BOOST_TEST(WaitUntil([&] { return this->fleet.IsReady(this->east); }),
               name);
  }
  this->fleet.PutKey("op/config", R"({"Version": "00000002", "Routes": {
      "look": {"Host": "shop.example", "Prefix": "/look/", "Kind": "safe",
               "Service": "front"}},
      "Services": {"front": {}}})");
  BOOST_TEST(WaitUntil([&] {
    Call call;
    call.path = "/look/without-a-key";
    return this->fleet.SendAttempt(this->east, call).result_int() == 200;
  }));
}

BOOST_AUTO_TEST_CASE(graceful_shutdown_fails_no_request) {
  this->fleet.SetTargetBehaviour(this->east, "service_ms=800");
  this->fleet.SetTargetBehaviour(this->west, "service_ms=800");
  unsigned status = 0;
  std::thread caller([&] {
    status = this->fleet.SendAttempt(this->east, this->MakeBookCall(), "held")
                 .result_int();
  });
  std::this_thread::sleep_for(std::chrono::milliseconds(200));
  this->east.node_process->Signal(SIGTERM);
  caller.join();
  BOOST_TEST(status == 200);
  BOOST_TEST(!this->fleet.IsReady(this->east));
  const std::optional<int> exit_status =
      this->east.node_process->WaitForExit(std::chrono::seconds(7));
  BOOST_TEST((exit_status == 0));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace daisywinch::test
