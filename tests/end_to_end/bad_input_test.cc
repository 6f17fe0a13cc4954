// Guards against malformed, oversized, incomplete or slow requests that are
// run, get no error response, or stop the node from serving other callers.
#include <boost/test/unit_test.hpp>

#include "support/test_fleet.h"

namespace daisywinch::test {

namespace {

struct BadInputFixture {
  BadInputFixture() : vm(fleet.AddVm("east", "front")) {
    this->fleet.Start(MakeConfiguration(StandardAnswers(1)));
  }

  std::string SendBytes(const std::string& bytes) {
    return SendRaw(this->vm.caller_address, bytes, std::chrono::seconds(2));
  }

  bool IsServing() {
    Call call;
    call.path = "/map";
    return Send(this->vm.caller_address, call).result_int() == 200;
  }

  TestFleet fleet;
  TestVm& vm;
};

bool Contains(const std::string& text, const std::string& fragment) {
  return text.find(fragment) != std::string::npos;
}

}  // namespace

BOOST_FIXTURE_TEST_SUITE(bad_input, BadInputFixture)

BOOST_AUTO_TEST_CASE(malformed_and_oversized_requests_get_a_4xx_status) {
  BOOST_TEST(Contains(this->SendBytes("no http at all\r\n\r\n"), " 400 "));
  BOOST_TEST(Contains(this->SendBytes("GET /map HTTP/1.1\r\nX: " +
                                      std::string(20'000, 'x') + "\r\n\r\n"),
                      " 431 "));
  BOOST_TEST(Contains(
      this->SendBytes(
          "POST /pickups HTTP/1.1\r\nContent-Length: 99999999\r\n\r\n"),
      " 413 "));
  BOOST_TEST(Contains(
      this->SendBytes("POST /pickups HTTP/1.1\r\nContent-Length: -1\r\n\r\n"),
      " 400 "));
  BOOST_TEST(this->IsServing());
}

BOOST_AUTO_TEST_CASE(incomplete_request_does_not_run) {
  this->SendBytes("POST /pickups HTTP/1.1\r\nAuthorization: Bearer " +
                  ApiKeyForCustomer("school") +
                  "\r\nContent-Length: 100\r\n\r\nhalf");
  BOOST_TEST(this->fleet.GetRuns(this->vm).empty());
  BOOST_TEST(this->IsServing());
}

BOOST_AUTO_TEST_CASE(many_slow_clients_do_not_block_others) {
  asio::io_context context(1);
  std::vector<Tcp::socket> sockets;
  for (int number = 0; number < 500; ++number) {
    Tcp::socket& socket = sockets.emplace_back(context);
    ErrorCode error;
    socket.connect(ToEndpoint(this->vm.caller_address), error);
    BOOST_TEST(!error);
    socket.send(asio::buffer("GET /map HTTP/1.1\r\nX: ", 22));
  }
  BOOST_TEST(this->IsServing());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace daisywinch::test
