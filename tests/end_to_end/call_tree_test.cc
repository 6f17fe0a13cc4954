#include <boost/test/unit_test.hpp>

#include "support/parallel_calls.h"
#include "support/test_fleet.h"

namespace daisywinch::test {

namespace {

/// Two services with two targets each.
struct CallTreeFixture {
  CallTreeFixture() {
    this->fleet.AddVm("east", "front");
    this->fleet.AddVm("west", "front");
    this->fleet.AddVm("east", "back");
    this->fleet.AddVm("west", "back");
    this->fleet.Start(MakeConfiguration(StandardAnswers(1)));
  }

  void SetAllTargets(const std::string& query) {
    for (const std::unique_ptr<TestVm>& vm : this->fleet.Vms()) {
      this->fleet.SetTargetBehaviour(*vm, query);
    }
  }

  /// Counts the requests started by any target for which `accepts` is true.
  int CountRuns(const std::function<bool(const boost::json::value&)>& accepts =
                    [](const boost::json::value&) { return true; }) {
    int count = 0;
    for (const std::unique_ptr<TestVm>& vm : this->fleet.Vms()) {
      for (const boost::json::value& run : this->fleet.GetRuns(*vm)) {
        count += accepts(run) ? 1 : 0;
      }
    }
    return count;
  }

  int CountCancelled() {
    return this->CountRuns([](const boost::json::value& run) {
      return run.at("cancelled").as_bool();
    });
  }

  int CountInFlight() {
    std::int64_t count = 0;
    for (const std::unique_ptr<TestVm>& vm : this->fleet.Vms()) {
      count += this->fleet.GetTargetLog(*vm).at("in_flight").as_int64();
    }
    return static_cast<int>(count);
  }

  Call MakeChain(int number) {
    Call call;
    call.path = "/points/" + std::to_string(number);
    call.key = ApiKeyForCustomer("school");
    call.headers = {{"X-Onward",
                     "/stock/2,/points/3,/stock/4,/points/5,/stock/6,/points/"
                     "7,/stock/8"}};
    return call;
  }

  TestFleet fleet;
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(call_tree, CallTreeFixture)

BOOST_AUTO_TEST_CASE(chain_of_eight_calls_succeeds) {
  const HttpResponse response =
      Send(this->fleet.Vms().front()->caller_address, this->MakeChain(1));
  BOOST_TEST(response.result_int() == 200);
  BOOST_TEST(response.body() == "ran GET /stock/8\n");
  BOOST_TEST(this->CountRuns() == 8);
}

BOOST_AUTO_TEST_CASE(retries_stay_within_a_tenth_when_everything_fails) {
  // The last target of each chain responds with 500, and the others pass the
  // failure on. If every level retried it, the number of requests would grow
  // exponentially with the depth.
  constexpr int kChains = 200;
  constexpr int kDepth = 8;
  this->SetAllTargets("fail=1&service_ms=1");
  std::vector<AddressedCall> calls;
  for (int chain = 0; chain < kChains; ++chain) {
    const std::unique_ptr<TestVm>& vm =
        this->fleet.Vms()[chain % this->fleet.Vms().size()];
    calls.push_back({vm->caller_address, this->MakeChain(chain)});
    if (calls.size() == 10) {
      SendAll(calls);
      calls.clear();
    }
  }
  const int runs = this->CountRuns();
  BOOST_TEST(runs >= kChains * kDepth);
  BOOST_TEST(runs <= kChains * kDepth * 11 / 10);
}

BOOST_AUTO_TEST_CASE(nested_calls_are_cancelled_when_the_caller_disconnects) {
  this->SetAllTargets("hang=1");
  for (const std::unique_ptr<TestVm>& vm : this->fleet.Vms()) {
    if (vm->service == "front") {
      this->fleet.SetTargetBehaviour(*vm, "hang=0");
    }
  }
  Call call = this->MakeChain(1);
  call.headers = {{"X-Onward", "/stock/2"}};
  Send(this->fleet.Vms().front()->caller_address, call,
       std::chrono::milliseconds(300));
  BOOST_TEST(WaitUntil([&] { return this->CountInFlight() == 0; }));
  BOOST_TEST(this->CountRuns() == 2);
  BOOST_TEST(this->CountCancelled() >= 1);
}

BOOST_AUTO_TEST_CASE(nested_calls_end_at_their_deadline) {
  this->SetAllTargets("hang=1");
  Call call = this->MakeChain(1);
  call.headers.emplace_back("Daisywinch-Timeout-Ms", "200");
  const HttpResponse response =
      Send(this->fleet.Vms().front()->caller_address, call);
  BOOST_TEST(response.result_int() == 504);
  BOOST_TEST(response["Daisywinch-Outcome"] == "unknown");
  BOOST_TEST(WaitUntil([&] { return this->CountInFlight() == 0; }));
}

BOOST_AUTO_TEST_CASE(handle_of_an_ended_request_or_another_node_is_refused) {
  Call call = this->MakeChain(1);
  call.headers.clear();
  TestVm& front = *this->fleet.Vms().front();
  Send(front.caller_address, call);
  std::string handle;
  TestVm* serving_vm = nullptr;
  for (const std::unique_ptr<TestVm>& vm : this->fleet.Vms()) {
    for (const boost::json::value& run : this->fleet.GetRuns(*vm)) {
      handle = run.at("headers").at("Daisywinch-Handle").as_string();
      serving_vm = vm.get();
    }
  }
  Call late;
  late.path = "/stock/1";
  late.headers = {{"Daisywinch-Handle", handle}};
  BOOST_TEST_REQUIRE(serving_vm != nullptr);
  const HttpResponse ended = Send(serving_vm->caller_address, late);
  BOOST_TEST(ended.result_int() == 403);
  BOOST_TEST(ended["Daisywinch-Reason"] == "401");
  const HttpResponse foreign =
      Send(this->fleet.Vms().back()->caller_address, late);
  BOOST_TEST(foreign["Daisywinch-Reason"] == "402");
  BOOST_TEST(this->CountRuns() == 1);
}

BOOST_AUTO_TEST_CASE(each_caller_gets_its_own_complete_response) {
  std::vector<AddressedCall> calls;
  for (int number = 0; number < 200; ++number) {
    Call call;
    call.path = "/points/" + std::to_string(number);
    call.key = ApiKeyForCustomer(number % 2 == 0 ? "school" : "clinic");
    // Some calls time out early, so that their late responses arrive while the
    // node handles other calls.
    if (number % 5 == 0) {
      call.headers = {{"Daisywinch-Timeout-Ms", "9"}};
    }
    calls.push_back(
        {this->fleet.Vms()[number % this->fleet.Vms().size()]->caller_address,
         call});
  }
  const std::vector<HttpResponse> responses = SendAll(calls);
  int answered = 0;
  for (std::size_t index = 0; index < calls.size(); ++index) {
    if (responses[index].result_int() == 200) {
      ++answered;
      BOOST_TEST(responses[index].body() ==
                 "ran GET " + calls[index].call.path + "\n");
    }
  }
  BOOST_TEST(answered >= 100);
}

BOOST_AUTO_TEST_CASE(large_responses_arrive_complete_or_are_refused) {
  Call call;
  call.path = "/points/1";
  call.key = ApiKeyForCustomer("school");
  this->SetAllTargets("answer_bytes=3000000");
  const HttpResponse complete =
      Send(this->fleet.Vms().front()->caller_address, call);
  BOOST_TEST(complete.result_int() == 200);
  BOOST_TEST(complete.body().size() > 3000000);
  this->SetAllTargets("answer_bytes=5000000");
  const HttpResponse refused =
      Send(this->fleet.Vms().front()->caller_address, call);
  BOOST_TEST(refused.result_int() == 502);
  BOOST_TEST(refused["Daisywinch-Reason"] == "304");
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace daisywinch::test
