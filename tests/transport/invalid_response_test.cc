// Guards against responses that aren't valid HTTP and are taken for responses:
// those of targets, of the store, and those that another node passes on.
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
#include "transport/call_client.h"
#include "transport/call_server.h"
#include "transport/http_fetch.h"
#include "transport/target_client.h"

namespace daisywinch::test {

namespace {

using End = TargetExchange::End;

constexpr std::uint64_t kBodyLimit = 1024;
constexpr std::size_t kFrameLimit = std::size_t{1024} * 1024;
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
  return {{response.bytes, false, response.closes},
          {response.bytes, true, response.closes}};
}

/// A gate that returns a given reply, and a client that calls it.
struct PeerFixture {
  PeerFixture()
      : server(context,
               nullptr,
               kFrameLimit,
               [this](protocol::CallRequest, std::shared_ptr<Cancellation>)
                   -> Awaitable<protocol::CallReply> {
                 co_return this->sent_reply;
               }) {
    Address address = LoopbackAddress();
    for (address.port = 20000; address.port < 30000; ++address.port) {
      if (!this->server.Listen(address)) {
        break;
      }
    }
    this->client = std::make_shared<CallClient>(
        this->context, nullptr, this->clock, address, kFrameLimit);
    this->sent_reply.set_outcome(protocol::OUTCOME_ANSWERED);
    this->sent_reply.set_status(200);
    this->sent_reply.set_body("ok");
    this->sent_reply.set_retries_left(3);
    this->sent_reply.mutable_load()->set_limit(7);
    this->sent_reply.set_reached_target(true);
  }

  protocol::CallReply Call() {
    std::optional<protocol::CallReply> reply;
    asio::co_spawn(
        this->context,
        this->client->Call(protocol::CallRequest(), BootTime::now() + kTimeout,
                           std::make_shared<Cancellation>()),
        [&reply](std::exception_ptr, protocol::CallReply result) {
          reply = std::move(result);
        });
    this->context.restart();
    while (!reply) {
      this->context.run_one();
    }
    return std::move(*reply);
  }

  void AddHeader(const std::string& name, const std::string& value) {
    protocol::Header* header = this->sent_reply.add_headers();
    header->set_name(name);
    header->set_value(value);
  }

  void CheckRefused() {
    const protocol::CallReply reply = this->Call();
    BOOST_TEST(reply.outcome() == protocol::OUTCOME_UNKNOWN);
    BOOST_TEST(reply.reason() ==
               static_cast<std::uint32_t>(RefusalReason::kResponseLost));
    BOOST_TEST(reply.headers().empty());
    BOOST_TEST(reply.body().empty());
    // What the gate says of itself and of its target still holds.
    BOOST_TEST(reply.retries_left() == 3);
    BOOST_TEST(reply.load().limit() == 7);
    BOOST_TEST(reply.reached_target());
  }

  asio::io_context context{1};
  SystemClock clock;
  protocol::CallReply sent_reply;
  CallServer server;
  std::shared_ptr<CallClient> client;
};

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

BOOST_AUTO_TEST_CASE(body_may_look_like_folded_fields) {
  const std::string body = "A: b\r\n C: d\r\n\r\n e";
  std::vector<RawAnswer> answers = {
      {"HTTP/1.1 200 OK\r\nContent-Length: 17\r\n\r\n", false, false},
      {"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n11\r\n", false,
       false},
      {"HTTP/1.1 200 OK\r\n\r\n", false, true}};
  for (RawAnswer& answer : answers) {
    answer.bytes += body;
  }
  answers[1].bytes += "\r\n0\r\n\r\n";
  for (RawAnswer& answer : answers) {
    for (const bool in_single_bytes : {false, true}) {
      answer.in_single_bytes = in_single_bytes;
      this->target.SetAnswer(answer);
      const TargetExchange exchange = this->Exchange();
      BOOST_TEST((exchange.end == End::kAnswered));
      BOOST_TEST(exchange.response.body() == body);
    }
  }
}

BOOST_AUTO_TEST_CASE(response_to_head_has_no_body) {
  for (const char* framing :
       {"Content-Length: 2\r\n", "Transfer-Encoding: chunked\r\n",
        "Transfer-Encoding: gzip, chunked\r\n"}) {
    this->target.SetAnswer(
        {"HTTP/1.1 200 OK\r\n" + std::string(framing) + "\r\n", false, false});
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
  this->target.SetAnswer({response.bytes, false, response.closes});
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

BOOST_FIXTURE_TEST_SUITE(invalid_reply, PeerFixture)

BOOST_AUTO_TEST_CASE(valid_reply_of_a_peer_is_passed_on) {
  this->AddHeader("X-Field", "a value with \t and \x80");
  for (const int status : {200, 204, 299, 304, 404, 500, 599}) {
    this->sent_reply.set_status(status);
    const protocol::CallReply reply = this->Call();
    BOOST_TEST(reply.outcome() == protocol::OUTCOME_ANSWERED);
    BOOST_TEST(reply.status() == status);
    BOOST_TEST(reply.body() == "ok");
    BOOST_TEST(reply.headers_size() == 1);
  }
}

BOOST_AUTO_TEST_CASE(status_of_a_peer_without_a_class_is_no_answer) {
  for (const std::uint32_t status : {0U, 1U, 99U, 100U, 101U, 199U, 600U, 999U,
                                     1000U, 70'000U, 4'000'000'000U}) {
    this->sent_reply.set_status(status);
    this->CheckRefused();
  }
}

BOOST_AUTO_TEST_CASE(field_name_of_a_peer_that_is_no_token_is_no_answer) {
  for (int byte = 0; byte < 0x80; ++byte) {
    const std::string character(1, static_cast<char>(byte));
    const bool is_token_character =
        std::isalnum(byte) != 0 ||
        std::string("!#$%&'*+-.^_`|~").find(character) != std::string::npos;
    this->sent_reply.clear_headers();
    this->AddHeader("X" + character + "Field", "value");
    if (is_token_character) {
      BOOST_TEST(this->Call().outcome() == protocol::OUTCOME_ANSWERED);
    } else {
      this->CheckRefused();
    }
  }
  this->sent_reply.clear_headers();
  this->AddHeader("", "value");
  this->CheckRefused();
}

BOOST_AUTO_TEST_CASE(field_value_of_a_peer_with_a_control_byte_is_no_answer) {
  using std::string_literals::operator""s;
  for (const std::string& value : {"a\r\nContent-Length: 2"s, "a\rb"s, "a\nb"s,
                                   "a\0b"s, "a\x1f"s, "\x7f"s}) {
    this->sent_reply.clear_headers();
    this->AddHeader("X-Field", value);
    this->CheckRefused();
  }
}

// A reply that is a refusal has no response to check.
BOOST_AUTO_TEST_CASE(refusal_of_a_peer_is_passed_on) {
  this->sent_reply = MakeRefusedReply(RefusalReason::kShedByGate);
  const protocol::CallReply reply = this->Call();
  BOOST_TEST(reply.outcome() == protocol::OUTCOME_NOT_RUN);
  BOOST_TEST(reply.reason() ==
             static_cast<std::uint32_t>(RefusalReason::kShedByGate));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace daisywinch::test
