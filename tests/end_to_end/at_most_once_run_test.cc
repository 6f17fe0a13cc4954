#include <csignal>

#include <boost/test/unit_test.hpp>

#include "support/parallel_calls.h"
#include "support/test_fleet.h"

namespace daisywinch::test {

namespace {

/// Three targets of one service, so that a key's requests can move to another
/// gate.
struct AtMostOnceFixture {
  AtMostOnceFixture() {
    this->fleet.AddVm("east", "back");
    this->fleet.AddVm("east", "back");
    this->fleet.AddVm("west", "back");
    this->fleet.Start(MakeConfiguration(StandardAnswers(1)));
  }

  static Call MakeReservation(const std::string& key, bool is_first_attempt) {
    Call call;
    call.method = "POST";
    call.path = "/reservations";
    call.key = ApiKeyForCustomer("clinic");
    call.idempotency_key = key;
    call.body = "request " + key;
    if (is_first_attempt) {
      call.headers = {{"Daisywinch-Attempt", "1"}};
    }
    return call;
  }

  /// Counts how often targets started the request with an idempotency key.
  int CountRuns(const std::string& key) {
    int count = 0;
    for (const std::unique_ptr<TestVm>& vm : this->fleet.Vms()) {
      for (const boost::json::value& run : this->fleet.GetRuns(*vm)) {
        count += run.at("body").as_string() == "request " + key ? 1 : 0;
      }
    }
    return count;
  }

  /// Returns a VM whose target started the request with this key, or null.
  TestVm* FindRunningVm(const std::string& key) {
    for (const std::unique_ptr<TestVm>& vm : this->fleet.Vms()) {
      for (const boost::json::value& run : this->fleet.GetRuns(*vm)) {
        if (run.at("body").as_string() == "request " + key) {
          return vm.get();
        }
      }
    }
    return nullptr;
  }

  const Address& IngressAddress(std::size_t number) {
    return this->fleet.Vms()[number % this->fleet.Vms().size()]->caller_address;
  }

  void SetAllTargets(const std::string& query) {
    for (const std::unique_ptr<TestVm>& vm : this->fleet.Vms()) {
      this->fleet.SetTargetBehaviour(*vm, query);
    }
  }

  TestFleet fleet;
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(at_most_once_run, AtMostOnceFixture)

BOOST_AUTO_TEST_CASE(duplicate_at_another_node_gets_the_first_response) {
  for (int number = 0; number < 12; ++number) {
    const std::string key = "k" + std::to_string(number);
    const HttpResponse first =
        Send(this->IngressAddress(number), MakeReservation(key, true));
    const HttpResponse duplicate =
        Send(this->IngressAddress(number + 1), MakeReservation(key, false));
    BOOST_TEST(first.result_int() == 200);
    BOOST_TEST(duplicate.result_int() == 200);
    BOOST_TEST(first.body() == duplicate.body());
    BOOST_TEST(this->CountRuns(key) == 1);
  }
}

BOOST_AUTO_TEST_CASE(duplicate_of_a_request_in_progress_does_not_run) {
  this->SetAllTargets("service_ms=500");
  const std::vector<HttpResponse> responses =
      SendAll({{this->IngressAddress(0), MakeReservation("k", true)},
               {this->IngressAddress(1), MakeReservation("k", true)},
               {this->IngressAddress(2), MakeReservation("k", true)}});
  int answered = 0;
  for (const HttpResponse& response : responses) {
    answered += response.result_int() == 200 ? 1 : 0;
    BOOST_TEST((response.result_int() == 200 || response.result_int() == 409));
  }
  BOOST_TEST(answered == 1);
  BOOST_TEST(this->CountRuns("k") == 1);
}

BOOST_AUTO_TEST_CASE(response_is_kept_for_a_caller_that_disconnected) {
  this->SetAllTargets("service_ms=400");
  Send(this->IngressAddress(0), MakeReservation("k", true),
       std::chrono::milliseconds(100));
  HttpResponse duplicate;
  const bool answered = WaitUntil([&] {
    duplicate = Send(this->IngressAddress(1), MakeReservation("k", false));
    return duplicate.result_int() == 200;
  });
  BOOST_TEST(answered);
  BOOST_TEST(this->CountRuns("k") == 1);
}

BOOST_AUTO_TEST_CASE(request_of_a_killed_gate_does_not_run_twice) {
  this->SetAllTargets("hang=1");
  Send(this->IngressAddress(0), MakeReservation("k", true),
       std::chrono::milliseconds(200));
  TestVm* vm = this->FindRunningVm("k");
  BOOST_TEST_REQUIRE(vm != nullptr);
  vm->node_process->Kill();
  this->SetAllTargets("hang=0");
  // Only the killed gate had the record of the key, so no node can tell whether
  // the request ran. Duplicates are sent while the gate is down, after its keys
  // have moved to other gates, and after it has restarted.
  const auto send_duplicates_to_all = [&] {
    for (const std::unique_ptr<TestVm>& ingress : this->fleet.Vms()) {
      const HttpResponse response =
          Send(ingress->caller_address, MakeReservation("k", false));
      BOOST_TEST(response.result_int() != 200);
      if (response.result_int() != 0) {
        BOOST_TEST(response["Daisywinch-Outcome"] == "unknown");
      }
    }
  };
  send_duplicates_to_all();
  this->fleet.PublishVmList({}, {vm->name});
  for (const std::unique_ptr<TestVm>& other : this->fleet.Vms()) {
    if (other.get() != vm) {
      WaitUntil([&] {
        return this->fleet.GetStatus(*other).at("vm_list_version").as_int64() ==
               2;
      });
    }
  }
  send_duplicates_to_all();
  this->fleet.StartNode(*vm);
  this->fleet.PublishVmList();
  WaitUntil([&] {
    const boost::json::value status = this->fleet.GetStatus(*vm);
    return status.is_object() && status.at("vm_list_version").as_int64() == 3;
  });
  send_duplicates_to_all();
  BOOST_TEST(this->CountRuns("k") == 1);
}

BOOST_AUTO_TEST_CASE(outcome_is_not_run_when_the_target_is_down) {
  for (const std::unique_ptr<TestVm>& vm : this->fleet.Vms()) {
    vm->target_process->Kill();
  }
  Call call = MakeReservation("k", true);
  const HttpResponse keyed = Send(this->IngressAddress(0), call);
  BOOST_TEST(keyed["Daisywinch-Outcome"] == "not-run");
  call.idempotency_key.clear();
  const HttpResponse unkeyed = Send(this->IngressAddress(0), call);
  BOOST_TEST(unkeyed["Daisywinch-Outcome"] == "not-run");
}

BOOST_AUTO_TEST_CASE(request_of_a_paused_gate_runs_at_most_once) {
  this->SetAllTargets("service_ms=50");
  for (const std::unique_ptr<TestVm>& vm : this->fleet.Vms()) {
    vm->node_process->Signal(SIGSTOP);
  }
  TestVm& ingress = *this->fleet.Vms().front();
  ingress.node_process->Signal(SIGCONT);
  for (int number = 0; number < 6; ++number) {
    Call call = MakeReservation("f" + std::to_string(number), true);
    call.headers.emplace_back("Daisywinch-Timeout-Ms", "150");
    const HttpResponse response = Send(ingress.caller_address, call);
    if (response.result_int() != 200) {
      // The call may have been delivered to a paused gate, and only that gate
      // knows whether it ran, so the response must be a server error.
      BOOST_TEST(response.result_int() >= 500);
    }
  }
  for (const std::unique_ptr<TestVm>& vm : this->fleet.Vms()) {
    vm->node_process->Signal(SIGCONT);
  }
  for (int number = 0; number < 6; ++number) {
    const std::string key = "f" + std::to_string(number);
    Send(ingress.caller_address, MakeReservation(key, true));
    BOOST_TEST(this->CountRuns(key) <= 1);
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace daisywinch::test
