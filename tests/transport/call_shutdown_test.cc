// Shuts down a call server while a call client uses it.
#include <memory>
#include <optional>
#include <string>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/read.hpp>
#include <boost/test/unit_test.hpp>

#include "state/clock.h"
#include "transport/call_client.h"
#include "transport/call_server.h"

namespace daisywinch::test {

namespace {

using std::chrono::milliseconds;

constexpr std::size_t kFrameLimit = std::size_t{1024} * 1024;
constexpr milliseconds kCallTimeout{3000};

/// Where the reply to a call appears; nothing until then.
using ReplySlot = std::shared_ptr<std::optional<protocol::CallReply>>;

/// A server and a client on one thread. The server answers a call when the time
/// that it names has passed, or as refused when it is cancelled.
class CallFixture {
 public:
  CallFixture() {
    for (int port = 20000; port < 30000; ++port) {
      this->address = {"127.0.0.1", static_cast<std::uint16_t>(port)};
      // A failed Listen() leaves the server unusable.
      this->server = std::make_unique<CallServer>(
          this->context, nullptr, kFrameLimit,
          [this](protocol::CallRequest request,
                 std::shared_ptr<Cancellation> cancellation) {
            return this->Handle(std::move(request), std::move(cancellation));
          });
      if (!this->server->Listen(this->address)) {
        break;
      }
    }
    this->client = std::make_shared<CallClient>(
        this->context, nullptr, this->clock, this->address, kFrameLimit);
  }

  /// Starts a call that takes the given time; returns its reply slot.
  ReplySlot Call(milliseconds time) {
    ReplySlot reply = std::make_shared<std::optional<protocol::CallReply>>();
    asio::co_spawn(this->context, this->Exchange(time, reply), asio::detached);
    return reply;
  }

  void ShutDown(milliseconds timeout) {
    asio::co_spawn(
        this->context, this->server->ShutDown(BootTime::now() + timeout),
        [this](const std::exception_ptr& /*error*/) { this->is_down = true; });
  }

  void RunFor(milliseconds time) {
    this->context.restart();
    this->context.run_for(time);
  }

  const Address& ServerAddress() const { return this->address; }
  int HandledCalls() const { return this->handled_calls; }
  bool IsDown() const { return this->is_down; }

 private:
  Awaitable<> Exchange(milliseconds time, ReplySlot reply) {
    protocol::CallRequest request;
    request.set_objective_microseconds(std::chrono::microseconds(time).count());
    *reply = co_await this->client->Call(std::move(request),
                                         BootTime::now() + kCallTimeout,
                                         std::make_shared<Cancellation>());
  }

  Awaitable<protocol::CallReply> Handle(
      protocol::CallRequest request,
      std::shared_ptr<Cancellation> cancellation) {
    ++this->handled_calls;
    Timer timer(this->context,
                std::chrono::microseconds(request.objective_microseconds()));
    co_await WaitUnlessCancelled(timer, cancellation);
    if (cancellation->IsCancelled()) {
      co_return MakeRefusedReply(RefusalReason::kDeadlinePassed);
    }
    protocol::CallReply reply;
    reply.set_outcome(protocol::OUTCOME_ANSWERED);
    reply.set_status(200);
    co_return reply;
  }

  asio::io_context context{1};
  SystemClock clock;
  Address address;
  std::unique_ptr<CallServer> server;
  std::shared_ptr<CallClient> client;
  int handled_calls = 0;
  bool is_down = false;
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(call_shutdown, CallFixture)

// Its outcome was unknown to the ingress.
BOOST_AUTO_TEST_CASE(call_that_crosses_the_end_has_not_run) {
  const ReplySlot first = this->Call(milliseconds(0));
  this->RunFor(milliseconds(100));
  BOOST_REQUIRE(first->has_value());
  this->ShutDown(milliseconds(2000));
  const ReplySlot crossing = this->Call(milliseconds(0));
  this->RunFor(milliseconds(200));
  BOOST_REQUIRE(crossing->has_value());
  BOOST_TEST(((*crossing)->outcome() == protocol::OUTCOME_NOT_RUN));
  BOOST_TEST(this->HandledCalls() == 1);
  BOOST_TEST(this->IsDown());
}

BOOST_AUTO_TEST_CASE(call_in_progress_gets_its_reply) {
  const ReplySlot reply = this->Call(milliseconds(400));
  this->RunFor(milliseconds(100));
  this->ShutDown(milliseconds(2000));
  this->RunFor(milliseconds(100));
  BOOST_TEST(!this->IsDown());
  this->RunFor(milliseconds(500));
  BOOST_REQUIRE(reply->has_value());
  BOOST_TEST(((*reply)->outcome() == protocol::OUTCOME_ANSWERED));
  BOOST_TEST(this->IsDown());
}

BOOST_AUTO_TEST_CASE(call_in_progress_at_the_deadline_is_cancelled) {
  const ReplySlot reply = this->Call(milliseconds(2500));
  this->RunFor(milliseconds(100));
  this->ShutDown(milliseconds(500));
  this->RunFor(milliseconds(700));
  BOOST_REQUIRE(reply->has_value());
  BOOST_TEST(((*reply)->reason() ==
              static_cast<std::uint32_t>(RefusalReason::kDeadlinePassed)));
  BOOST_TEST(this->IsDown());
}

BOOST_AUTO_TEST_CASE(connection_in_the_accept_queue_is_not_reset) {
  asio::io_context peer_context;
  Tcp::socket peer(peer_context);
  peer.connect(ToEndpoint(this->ServerAddress()));
  this->ShutDown(milliseconds(2000));
  this->RunFor(milliseconds(200));
  std::string bytes;
  ErrorCode error;
  asio::read(peer, asio::dynamic_buffer(bytes), error);
  BOOST_TEST((error == asio::error::eof));
  BOOST_TEST(!bytes.empty());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace daisywinch::test
