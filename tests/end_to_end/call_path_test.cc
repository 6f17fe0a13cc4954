#include <boost/test/unit_test.hpp>

#include "support/test_fleet.h"

namespace daisywinch::test {

namespace {

/// Two nodes in different data centres, each with a local target.
struct CallPathFixture {
  CallPathFixture()
      : east(fleet.AddVm("east", "front")), west(fleet.AddVm("west", "back")) {
    this->fleet.Start(MakeConfiguration(StandardAnswers(1)));
  }

  TestFleet fleet;
  TestVm& east;
  TestVm& west;
};

bool TextContains(const boost::json::value& json, const std::string& text) {
  return boost::json::serialize(json).find(text) != std::string::npos;
}

}  // namespace

BOOST_FIXTURE_TEST_SUITE(call_path, CallPathFixture)

BOOST_AUTO_TEST_CASE(response_passes_through_both_nodes_unchanged) {
  Call call;
  call.path = "/stock/7";
  call.key = ApiKeyForCustomer("school");
  const HttpResponse response = Send(this->east.caller_address, call);
  BOOST_TEST(response.result_int() == 200);
  BOOST_TEST(response.body() == "ran GET /stock/7\n");
  const boost::json::value log = this->fleet.GetTargetLog(this->west);
  BOOST_TEST(log.at("runs").as_array().size() == 1);
}

BOOST_AUTO_TEST_CASE(target_does_not_receive_the_api_key) {
  Call call;
  call.path = "/stock/7?token=" + ApiKeyForCustomer("school") + "&size=3";
  call.key = ApiKeyForCustomer("school");
  call.headers = {{"X-Copy", ApiKeyForCustomer("school")}, {"X-Other", "kept"}};
  BOOST_TEST(Send(this->east.caller_address, call).result_int() == 200);
  call.path = "/points/7";
  BOOST_TEST(Send(this->east.caller_address, call).result_int() == 200);
  for (const TestVm* vm : {&this->east, &this->west}) {
    const boost::json::value log = this->fleet.GetTargetLog(*vm);
    BOOST_TEST(log.at("runs").as_array().size() == 1);
    BOOST_TEST(!TextContains(log, ApiKeyForCustomer("school")));
    BOOST_TEST(TextContains(log, "X-Other"));
  }
}

BOOST_AUTO_TEST_CASE(unknown_key_gets_401) {
  Call call;
  call.path = "/stock/7";
  BOOST_TEST(Send(this->east.caller_address, call).result_int() == 401);
  call.key = "no-such-key";
  const HttpResponse response = Send(this->east.caller_address, call);
  BOOST_TEST(response.result_int() == 401);
  BOOST_TEST(response["Daisywinch-Outcome"] == "not-run");
  BOOST_TEST(response["Content-Type"] == "application/problem+json");
}

BOOST_AUTO_TEST_CASE(route_of_another_customer_gets_403) {
  Call call;
  call.path = "/clinic";
  call.key = ApiKeyForCustomer("school");
  BOOST_TEST(Send(this->east.caller_address, call).result_int() == 403);
  call.key = ApiKeyForCustomer("clinic");
  BOOST_TEST(Send(this->east.caller_address, call).result_int() == 200);
}

BOOST_AUTO_TEST_CASE(open_route_needs_no_key) {
  Call call;
  call.path = "/map";
  BOOST_TEST(Send(this->west.caller_address, call).result_int() == 200);
}

BOOST_AUTO_TEST_CASE(unknown_and_retired_routes_are_refused) {
  Call call;
  call.path = "/nothing";
  call.key = ApiKeyForCustomer("school");
  BOOST_TEST(Send(this->east.caller_address, call).result_int() == 404);
  call.path = "/report";
  BOOST_TEST(Send(this->east.caller_address, call).result_int() == 410);
  BOOST_TEST(
      this->fleet.GetTargetLog(this->east).at("runs").as_array().empty());
}

BOOST_AUTO_TEST_CASE(nested_call_inherits_its_customer_by_handle) {
  Call call;
  call.path = "/points/7";
  call.key = ApiKeyForCustomer("school");
  call.headers = {{"X-Onward", "/stock/1"}};
  const HttpResponse response = Send(this->west.caller_address, call);
  BOOST_TEST(response.result_int() == 200);
  BOOST_TEST(response.body() == "ran GET /stock/1\n");
  BOOST_TEST(
      this->fleet.GetTargetLog(this->west).at("runs").as_array().size() == 1);
}

BOOST_AUTO_TEST_CASE(forged_handle_is_refused) {
  Call call;
  call.path = "/stock/7";
  call.headers = {{"Daisywinch-Handle", "0011.2233"}};
  BOOST_TEST(Send(this->east.caller_address, call).result_int() == 403);
}

BOOST_AUTO_TEST_CASE(sigterm_ends_the_node_with_status_0) {
  this->east.node_process->Signal(SIGTERM);
  const std::optional<int> status =
      this->east.node_process->WaitForExit(std::chrono::seconds(5));
  BOOST_TEST((status == 0));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace daisywinch::test
