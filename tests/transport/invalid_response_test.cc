// Guards against responses that aren't valid HTTP and are taken for responses:
// those of targets and of the store.
#include <unistd.h>

#include <memory>
#include <optional>
#include <string>

#include <boost/asio/co_spawn.hpp>
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "standins/raw_target.h"
#include "support/raw_responses.h"
#include "transport/http_fetch.h"
#include "transport/target_client.h"

namespace daisywinch::test {

namespace {

using End = TargetExchange::End;

constexpr std::uint64_t kBodyLimit = 1024;
constexpr std::chrono::seconds kTimeout{5};

Address LoopbackAddress() {
  constexpr int kHostCount = 250;
  return {"127.105." + std::to_string(::getpid() / kHostCount % kHostCount) +
              "." + std::to_string(1 + ::getpid() % kHostCount),
          0};
}

struct InvalidResponseFixture {
  InvalidResponseFixture()
      : target(LoopbackAddress(), "i-1"),
        client(context, target.ListenAddress(), kBodyLimit) {}

  template <typename Result>
  Result Run(Awaitable<Result> coroutine) {
    std::optional<Result> result;
    asio::co_spawn(this->context, std::move(coroutine),
                   [&result](std::exception_ptr, Result value) {
                     result = std::move(value);
                   });
    this->context.restart();
    while (!result) {
      this->context.run_one();
    }
    return std::move(*result);
  }

  TargetExchange Exchange(http::verb method = http::verb::get) {
    return this->Run(this->client.Send(HttpRequest(method, "/look", 11),
                                       BootTime::now() + kTimeout,
                                       std::make_shared<Cancellation>()));
  }

  std::optional<HttpResponse> FetchOnce(ErrorCode& error) {
    return this->Run(Fetch(this->context, this->target.ListenAddress(),
                           HttpRequest(http::verb::get, "/kv-range", 11), {},
                           error));
  }

  asio::io_context context{1};
  RawTarget target;
  TargetClient client;
};

/// The ways to send the bytes of a response.
std::vector<RawAnswer> AnswersOf(const RawResponse& response) {
  return {{response.bytes, false, true}, {response.bytes, true, true}};
}

}  // namespace

BOOST_FIXTURE_TEST_SUITE(invalid_response, InvalidResponseFixture)

BOOST_DATA_TEST_CASE(invalid_response_of_a_target_is_no_answer,
                     boost::unit_test::data::make(InvalidResponses()),
                     response) {
  for (const RawAnswer& answer : AnswersOf(response)) {
    this->target.SetAnswer(answer);
    const TargetExchange exchange = this->Exchange();
    BOOST_TEST((exchange.end == End::kResponseInvalid ||
                exchange.end == End::kResponseLost));
    BOOST_TEST(exchange.response.body().empty());
  }
}

BOOST_DATA_TEST_CASE(invalid_response_of_the_store_is_no_answer,
                     boost::unit_test::data::make(InvalidResponses()),
                     response) {
  for (const RawAnswer& answer : AnswersOf(response)) {
    this->target.SetAnswer(answer);
    ErrorCode error;
    BOOST_TEST(!this->FetchOnce(error));
    BOOST_TEST(bool(error));
  }
}

BOOST_DATA_TEST_CASE(valid_response_is_an_answer,
                     boost::unit_test::data::make(ValidResponses()),
                     response) {
  for (const RawAnswer& answer : AnswersOf(response)) {
    this->target.SetAnswer(answer);
    const TargetExchange exchange = this->Exchange();
    BOOST_TEST((exchange.end == End::kAnswered));
    const bool has_body = exchange.response.result_int() != 204 &&
                          exchange.response.result_int() != 304;
    BOOST_TEST(exchange.response.body().size() == (has_body ? 2 : 0));
    ErrorCode error;
    BOOST_TEST(this->FetchOnce(error).has_value());
  }
}

BOOST_AUTO_TEST_CASE(response_to_head_has_no_body) {
  for (const char* framing :
       {"Content-Length: 2\r\n", "Transfer-Encoding: chunked\r\n",
        "Transfer-Encoding: gzip, chunked\r\n"}) {
    this->target.SetAnswer(
        {"HTTP/1.1 200 OK\r\n" + std::string(framing) + "\r\n", false, true});
    BOOST_TEST((this->Exchange(http::verb::head).end == End::kAnswered),
               framing);
  }
}

// Guards against a late part of an invalid response that is taken for the
// response to the next request.
BOOST_DATA_TEST_CASE(connection_of_an_invalid_response_is_not_used_again,
                     boost::unit_test::data::make(InvalidResponses()),
                     response) {
  const RawAnswer valid = {MakeRawResponse("200 OK"), false, false};
  this->target.SetAnswer(valid);
  BOOST_TEST((this->Exchange().end == End::kAnswered));
  // Bytes behind the invalid response end it if it has no length.
  this->target.SetAnswer({response.bytes, false, true});
  BOOST_TEST((this->Exchange().end != End::kAnswered));
  BOOST_TEST(this->target.ConnectionCount() == 1);
  this->target.SetAnswer(valid);
  BOOST_TEST((this->Exchange().end == End::kAnswered));
  BOOST_TEST(this->target.ConnectionCount() == 2);
  BOOST_TEST(this->client.ConnectionCount() == 1);
}

BOOST_AUTO_TEST_CASE(connection_that_stays_open_is_not_used_again) {
  this->target.SetAnswer({MakeRawResponse("000 Odd"), false, false});
  BOOST_TEST((this->Exchange().end == End::kResponseInvalid));
  BOOST_TEST(this->client.ConnectionCount() == 0);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace daisywinch::test
