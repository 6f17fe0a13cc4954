#include <boost/test/unit_test.hpp>

#include "support/test_fleet.h"

namespace daisywinch::test {

namespace {

struct BadInputFixture {
  BadInputFixture() : vm(fleet.AddVm("east", "front")) {
    this->fleet.Start(MakeConfiguration(StandardAnswers(1)));
  }

  std::string Raw(const std::string& bytes) {
    return SendRaw(this->vm.caller, bytes, std::chrono::seconds(2));
  }

  bool StillServes() {
    Call call;
    call.path = "/map";
    return Send(this->vm.caller, call).result_int() == 200;
  }

  TestFleet fleet;
  TestVm& vm;
};

bool Contains(const std::string& text, const std::string& part) {
  return text.find(part) != std::string::npos;
}

}  // namespace

BOOST_FIXTURE_TEST_SUITE(bad_input, BadInputFixture)

BOOST_AUTO_TEST_CASE(each_kind_gets_one_clear_refusal) {
  BOOST_TEST(Contains(this->Raw("no http at all\r\n\r\n"), " 400 "));
  BOOST_TEST(Contains(this->Raw("GET /map HTTP/1.1\r\nX: " +
                                std::string(20'000, 'x') + "\r\n\r\n"),
                      " 431 "));
  BOOST_TEST(Contains(
      this->Raw("POST /pickups HTTP/1.1\r\nContent-Length: 99999999\r\n\r\n"),
      " 413 "));
  BOOST_TEST(Contains(
      this->Raw("POST /pickups HTTP/1.1\r\nContent-Length: -1\r\n\r\n"),
      " 400 "));
  BOOST_TEST(this->StillServes());
}

BOOST_AUTO_TEST_CASE(half_sent_request_runs_nothing) {
  this->Raw("POST /pickups HTTP/1.1\r\nAuthorization: Bearer " +
            KeyOf("school") + "\r\nContent-Length: 100\r\n\r\nhalf");
  BOOST_TEST(this->fleet.Runs(this->vm).empty());
  BOOST_TEST(this->StillServes());
}

BOOST_AUTO_TEST_CASE(many_slow_senders_do_not_stop_others) {
  asio::io_context context(1);
  std::vector<Tcp::socket> sockets;
  for (int number = 0; number < 500; ++number) {
    Tcp::socket& socket = sockets.emplace_back(context);
    ErrorCode error;
    socket.connect(ToEndpoint(this->vm.caller), error);
    BOOST_TEST(!error);
    socket.send(asio::buffer("GET /map HTTP/1.1\r\nX: ", 22));
  }
  BOOST_TEST(this->StillServes());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace daisywinch::test
