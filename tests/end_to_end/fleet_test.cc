#include <csignal>
#include <thread>

#include <boost/asio/co_spawn.hpp>
#include <boost/test/unit_test.hpp>

#include "state/key_digest.h"
#include "support/parallel_calls.h"
#include "support/test_fleet.h"
#include "transport/call_client.h"
#include "transport/psk_context.h"

namespace daisywinch::test {

namespace {

constexpr std::chrono::seconds kApplyTimeout{4};

/// Two data centres with three nodes each.
struct FleetFixture {
  FleetFixture() {
    for (const std::string data_centre : {"east", "west"}) {
      this->fleet.AddVm(data_centre, "front");
      this->fleet.AddVm(data_centre, "front");
      this->fleet.AddVm(data_centre, "back");
    }
    this->fleet.Start(MakeConfiguration(StandardAnswers(1)));
  }

  bool HasApplied(const TestVm& vm, std::int64_t version) {
    const boost::json::value status = this->fleet.GetStatus(vm);
    return status.is_object() && status.at("ready").as_bool() &&
           status.at("configuration_version").as_int64() == version;
  }

  bool HaveAllApplied(std::int64_t version) {
    for (const std::unique_ptr<TestVm>& vm : this->fleet.Vms()) {
      if (!this->HasApplied(*vm, version)) {
        return false;
      }
    }
    return true;
  }

  HttpResponse LookUp(const TestVm& vm, const std::string& key) {
    Call call;
    call.path = "/points/1";
    call.key = key;
    return Send(vm.caller_address, call);
  }

  int CountRunsIn(const std::string& data_centre) {
    std::size_t count = 0;
    for (const std::unique_ptr<TestVm>& vm : this->fleet.Vms()) {
      if (vm->data_centre == data_centre) {
        count += this->fleet.GetRuns(*vm).size();
      }
    }
    return static_cast<int>(count);
  }

  TestFleet fleet;
};

/// Sends a call directly to the gate of a VM, as another node does.
protocol::CallReply CallGate(const TestVm& vm, const std::string& secret) {
  asio::io_context context(1);
  asio::ssl::context tls = MakePskContext(secret);
  const SystemClock clock;
  const std::shared_ptr<CallClient> client = std::make_shared<CallClient>(
      context, &tls, clock, vm.peer_address, std::size_t{1} << 20);
  protocol::CallRequest request;
  request.set_route("look-up");
  request.set_customer("school");
  request.set_method("GET");
  request.set_path("/points/1");
  request.set_repeatable(true);
  protocol::CallReply reply;
  asio::co_spawn(context,
                 client->Call(request, clock.Now() + std::chrono::seconds(3),
                              std::make_shared<Cancellation>()),
                 [&](std::exception_ptr, protocol::CallReply result) {
                   reply = std::move(result);
                   client->Close();
                 });
  context.run();
  return reply;
}

Configuration WithoutSchoolKey(int version) {
  Configuration configuration = MakeConfiguration(StandardAnswers(version));
  configuration.customers[0].key_digests.clear();
  return configuration;
}

}  // namespace

BOOST_FIXTURE_TEST_SUITE(fleet, FleetFixture)

BOOST_AUTO_TEST_CASE(change_is_applied_everywhere_within_four_seconds) {
  this->fleet.PublishConfiguration(MakeConfiguration(StandardAnswers(2)));
  BOOST_TEST(WaitUntil([&] { return this->HaveAllApplied(2); }, kApplyTimeout));
}

BOOST_AUTO_TEST_CASE(change_reaches_a_data_centre_without_its_platform) {
  this->fleet.SetPlatformBehaviour("port=1&down=1");
  this->fleet.PublishConfiguration(MakeConfiguration(StandardAnswers(2)));
  BOOST_TEST(WaitUntil([&] { return this->HaveAllApplied(2); }, kApplyTimeout));
}

BOOST_AUTO_TEST_CASE(change_is_applied_while_the_platform_is_slow) {
  this->fleet.SetPlatformBehaviour("delay_ms=300");
  this->fleet.PublishConfiguration(MakeConfiguration(StandardAnswers(2)));
  BOOST_TEST(WaitUntil([&] { return this->HaveAllApplied(2); }, kApplyTimeout));
}

BOOST_AUTO_TEST_CASE(version_never_reverts) {
  this->fleet.PublishConfiguration(MakeConfiguration(StandardAnswers(3)));
  WaitUntil([&] { return this->HaveAllApplied(3); });
  this->fleet.PublishConfiguration(MakeConfiguration(StandardAnswers(2)));
  this->fleet.PublishConfiguration(MakeConfiguration(StandardAnswers(2)));
  std::this_thread::sleep_for(std::chrono::seconds(1));
  BOOST_TEST(this->HaveAllApplied(3));
}

BOOST_AUTO_TEST_CASE(
    node_started_with_a_stale_platform_uses_the_newest_version) {
  this->fleet.SetPlatformBehaviour("port=0&stale=1");
  this->fleet.PublishConfiguration(WithoutSchoolKey(2));
  WaitUntil([&] { return this->HaveAllApplied(2); });
  TestVm& vm = *this->fleet.Vms().front();
  BOOST_TEST_REQUIRE(vm.data_centre == "east");
  vm.node_process->Kill();
  this->fleet.StartNode(vm);
  // The restarted node refuses the withdrawn key in its first response,
  // although its platform still has the old configuration.
  HttpResponse response;
  WaitUntil([&] {
    response = this->LookUp(vm, ApiKeyForCustomer("school"));
    return response.result_int() != 0 && response.result_int() != 503;
  });
  BOOST_TEST(response.result_int() == 401);
  BOOST_TEST(this->HasApplied(vm, 2));
}

BOOST_AUTO_TEST_CASE(invalid_configuration_is_refused_by_every_node) {
  Configuration broken = MakeConfiguration(StandardAnswers(2));
  broken.routes[0].service = "nothing";
  this->fleet.PublishConfiguration(broken);
  std::this_thread::sleep_for(std::chrono::seconds(1));
  BOOST_TEST(this->HaveAllApplied(1));
  this->fleet.PublishConfiguration(MakeConfiguration(StandardAnswers(3)));
  BOOST_TEST(WaitUntil([&] { return this->HaveAllApplied(3); }, kApplyTimeout));
}

BOOST_AUTO_TEST_CASE(withdrawn_key_is_refused_everywhere) {
  for (const std::unique_ptr<TestVm>& vm : this->fleet.Vms()) {
    BOOST_TEST(this->LookUp(*vm, ApiKeyForCustomer("school")).result_int() ==
               200);
  }
  this->fleet.PublishConfiguration(WithoutSchoolKey(2));
  const bool refused = WaitUntil(
      [&] {
        for (const std::unique_ptr<TestVm>& vm : this->fleet.Vms()) {
          if (this->LookUp(*vm, ApiKeyForCustomer("school")).result_int() !=
              401) {
            return false;
          }
        }
        return true;
      },
      kApplyTimeout);
  BOOST_TEST(refused);
  BOOST_TEST(this->LookUp(*this->fleet.Vms()[0], ApiKeyForCustomer("clinic"))
                 .result_int() == 200);
}

BOOST_AUTO_TEST_CASE(
    data_centre_out_of_service_gets_no_requests_until_it_returns) {
  Configuration out = MakeConfiguration(StandardAnswers(2));
  out.data_centres[0].in_service = false;
  this->fleet.PublishConfiguration(out);
  WaitUntil([&] { return this->HaveAllApplied(2); }, kApplyTimeout);
  const int before = this->CountRunsIn("east");
  for (int round = 0; round < 10; ++round) {
    for (const std::unique_ptr<TestVm>& vm : this->fleet.Vms()) {
      BOOST_TEST(this->LookUp(*vm, ApiKeyForCustomer("school")).result_int() ==
                 200);
    }
  }
  BOOST_TEST(this->CountRunsIn("east") == before);
  this->fleet.PublishConfiguration(MakeConfiguration(StandardAnswers(3)));
  WaitUntil([&] { return this->HaveAllApplied(3); }, kApplyTimeout);
  for (int round = 0; round < 5; ++round) {
    BOOST_TEST(this->LookUp(*this->fleet.Vms()[0], ApiKeyForCustomer("school"))
                   .result_int() == 200);
  }
  BOOST_TEST(this->CountRunsIn("east") > before);
}

BOOST_AUTO_TEST_CASE(graceful_shutdown_fails_no_request) {
  for (const std::unique_ptr<TestVm>& vm : this->fleet.Vms()) {
    this->fleet.SetTargetBehaviour(*vm, "service_ms=300");
  }
  TestVm& leaving = *this->fleet.Vms()[0];
  std::vector<AddressedCall> calls;
  for (int number = 0; number < 60; ++number) {
    Call call;
    call.path = "/points/" + std::to_string(number);
    call.key = ApiKeyForCustomer("school");
    // The callers use other nodes, which send some calls to the leaving node.
    calls.push_back({this->fleet.Vms()[1 + number % 2]->caller_address, call});
  }
  std::thread stop([&leaving] {
    std::this_thread::sleep_for(std::chrono::milliseconds(100));
    leaving.node_process->Signal(SIGTERM);
  });
  const std::vector<HttpResponse> responses = SendAll(calls);
  stop.join();
  for (const HttpResponse& response : responses) {
    BOOST_TEST(response.result_int() == 200);
  }
  BOOST_TEST(!this->fleet.GetRuns(leaving).empty());
  BOOST_TEST((leaving.node_process->WaitForExit(std::chrono::seconds(5)) == 0));
}

BOOST_AUTO_TEST_CASE(leaving_vm_gets_no_new_requests) {
  TestVm& leaving = *this->fleet.Vms()[0];
  this->fleet.PublishVmList({leaving.name});
  const auto is_list_applied = [&] {
    for (const std::unique_ptr<TestVm>& vm : this->fleet.Vms()) {
      if (this->fleet.GetStatus(*vm).at("vm_list_version").as_int64() != 2) {
        return false;
      }
    }
    return true;
  };
  BOOST_TEST(WaitUntil(is_list_applied, kApplyTimeout));
  const std::size_t before = this->fleet.GetRuns(leaving).size();
  for (int call = 0; call < 50; ++call) {
    BOOST_TEST(
        this->LookUp(*this->fleet.Vms()[call % 6], ApiKeyForCustomer("school"))
            .result_int() == 200);
  }
  BOOST_TEST(this->fleet.GetRuns(leaving).size() == before);
}

BOOST_AUTO_TEST_CASE(leaving_gate_refuses_new_calls) {
  TestVm& leaving = *this->fleet.Vms()[0];
  BOOST_TEST(CallGate(leaving, TestFleet::kFleetSecret).outcome() ==
             protocol::OUTCOME_ANSWERED);
  this->fleet.PublishVmList({leaving.name});
  protocol::CallReply reply;
  WaitUntil([&] {
    reply = CallGate(leaving, TestFleet::kFleetSecret);
    return reply.outcome() != protocol::OUTCOME_ANSWERED;
  });
  BOOST_TEST(reply.outcome() == protocol::OUTCOME_NOT_RUN);
  BOOST_TEST(reply.reason() ==
             static_cast<std::uint32_t>(RefusalReason::kDraining));
}

BOOST_AUTO_TEST_CASE(gate_refuses_calls_without_the_secret) {
  TestVm& vm = *this->fleet.Vms()[0];
  const protocol::CallReply reply =
      CallGate(vm, "ffeeddccbbaa99887766554433221100");
  BOOST_TEST(reply.outcome() == protocol::OUTCOME_NOT_RUN);
  BOOST_TEST(this->fleet.GetRuns(vm).empty());
}

BOOST_AUTO_TEST_CASE(killed_node_is_suspected_and_avoided) {
  this->fleet.Vms()[0]->node_process->Kill();
  for (int call = 0; call < 50; ++call) {
    BOOST_TEST(this->LookUp(*this->fleet.Vms()[1 + call % 5],
                            ApiKeyForCustomer("school"))
                   .result_int() == 200);
  }
  const std::string name = this->fleet.Vms()[0]->name;
  BOOST_TEST(WaitUntil([&] {
    const boost::json::value status =
        this->fleet.GetStatus(*this->fleet.Vms()[1]);
    return boost::json::serialize(status.at("fleet").at("suspected"))
               .find(name) != std::string::npos;
  }));
}

BOOST_AUTO_TEST_CASE(
    fleet_serves_while_the_platform_is_down_and_then_recovers) {
  this->fleet.SetPlatformBehaviour("down=1");
  this->fleet.PublishConfiguration(MakeConfiguration(StandardAnswers(2)));
  std::this_thread::sleep_for(std::chrono::seconds(1));
  for (const std::unique_ptr<TestVm>& vm : this->fleet.Vms()) {
    BOOST_TEST(this->LookUp(*vm, ApiKeyForCustomer("school")).result_int() ==
               200);
  }
  const std::uint64_t before = this->fleet.PlatformReadCount();
  this->fleet.SetPlatformBehaviour("down=0");
  BOOST_TEST(WaitUntil([&] { return this->HaveAllApplied(2); }, kApplyTimeout));
  // Only two nodes per data centre and value watch the platform and retry, so
  // the recovery causes few reads.
  BOOST_TEST(this->fleet.PlatformReadCount() - before <= 40u);
}

BOOST_AUTO_TEST_CASE(ports_ignore_garbage) {
  const TestVm& vm = *this->fleet.Vms()[0];
  const std::string garbage(1'000'000, '\x17');
  for (const Address& port : {vm.caller_address, vm.peer_address,
                              vm.control_address, vm.operator_address}) {
    SendRaw(port, garbage, std::chrono::milliseconds(500));
    SendRaw(port, "GET / HT", std::chrono::milliseconds(100));
  }
  BOOST_TEST(this->LookUp(vm, ApiKeyForCustomer("school")).result_int() == 200);
  BOOST_TEST(this->HasApplied(vm, 1));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace daisywinch::test
