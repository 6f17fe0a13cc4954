// Calls between nodes whose ingress no longer waits for them, and requests to a
// target whose caller has left.
#include <sys/socket.h>

#include <atomic>
#include <memory>
#include <optional>
#include <thread>
#include <vector>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/test/unit_test.hpp>

#include "state/clock.h"
#include "support/loopback_proxy.h"
#include "transport/call_client.h"
#include "transport/call_server.h"
#include "transport/target_client.h"

namespace daisywinch::test {

namespace {

using std::chrono::milliseconds;

constexpr std::size_t kFrameLimit = std::size_t{1024} * 1024;
constexpr std::chrono::seconds kCallTimeout{20};
/// Time in which a node that is cut off no longer counts as in touch; calls of
/// a silent peer must have ended by then.
constexpr std::chrono::seconds kContactTime{3};
constexpr milliseconds kArrivalTime{150};

/// The context of a node that runs on a thread of its own and can stand still.
class NodeThread {
 public:
  NodeThread() { this->Resume(); }
  ~NodeThread() { this->Stop(); }
  NodeThread(const NodeThread&) = delete;
  NodeThread& operator=(const NodeThread&) = delete;

  void Resume() {
    this->context.restart();
    this->thread = std::thread([this] { this->context.run(); });
  }

  void Stop() {
    this->context.stop();
    if (this->thread.joinable()) {
      this->thread.join();
    }
  }

  asio::io_context context{1};

 private:
  asio::executor_work_guard<asio::io_context::executor_type> work =
      asio::make_work_guard(this->context);
  std::thread thread;
};

/// A call server and a call client behind a proxy. The server answers the calls
/// when they are cancelled.
struct CancellationFixture {
  CancellationFixture() {
    this->server_node.Stop();
    for (int port = 20000; port < 30000; ++port) {
      this->server_address = {"127.0.0.2", static_cast<std::uint16_t>(port)};
      this->server = std::make_unique<CallServer>(
          this->server_node.context, nullptr, kFrameLimit,
          [this](protocol::CallRequest request,
                 std::shared_ptr<Cancellation> cancellation) {
            return this->Handle(std::move(request), std::move(cancellation));
          });
      if (!this->server->Listen(this->server_address)) {
        break;
      }
    }
    const Address proxy_address = {"127.0.0.3", this->server_address.port};
    this->proxy =
        std::make_unique<LoopbackProxy>(proxy_address, this->server_address);
    this->client =
        std::make_shared<CallClient>(this->client_node.context, nullptr,
                                     this->clock, proxy_address, kFrameLimit);
    this->server_node.Resume();
  }

  ~CancellationFixture() {
    this->client_node.Stop();
    this->server_node.Stop();
  }

  /// Starts a call on the thread of the client.
  std::shared_ptr<Cancellation> StartCall() {
    std::shared_ptr<Cancellation> cancellation =
        std::make_shared<Cancellation>();
    asio::co_spawn(this->client_node.context, this->Call(cancellation),
                   asio::detached);
    return cancellation;
  }

  void Cancel(std::shared_ptr<Cancellation> cancellation) {
    asio::post(this->client_node.context,
               [cancellation = std::move(cancellation)] {
                 cancellation->Cancel(CancellationCause::kCallerLeft);
               });
  }

  void Cut() {
    LinkFault cut;
    cut.stalls_to_server = true;
    cut.stalls_to_client = true;
    this->proxy->SetFault(cut);
  }

  Awaitable<> Call(std::shared_ptr<Cancellation> cancellation) {
    co_await this->client->Call(protocol::CallRequest(),
                                BootTime::now() + kCallTimeout, cancellation);
    ++this->ended_calls;
  }

  Awaitable<protocol::CallReply> Handle(
      protocol::CallRequest /*request*/,
      std::shared_ptr<Cancellation> cancellation) {
    ++this->started_calls;
    const std::shared_ptr<Timer> timer =
        std::make_shared<Timer>(this->server_node.context, kCallTimeout);
    co_await WaitUnlessCancelled(*timer, cancellation);
    ++this->cancelled_calls;
    co_return MakeRefusedReply(RefusalReason::kDeadlinePassed);
  }

  NodeThread server_node;
  NodeThread client_node;
  SystemClock clock;
  Address server_address;
  std::unique_ptr<CallServer> server;
  std::unique_ptr<LoopbackProxy> proxy;
  std::shared_ptr<CallClient> client;
  std::atomic<int> started_calls = 0;
  std::atomic<int> cancelled_calls = 0;
  std::atomic<int> ended_calls = 0;
};

/// Waits until a count is reached or the timeout has passed.
bool Reaches(const std::atomic<int>& count, int value, Duration timeout) {
  const TimePoint end = BootTime::now() + timeout;
  while (count < value && BootTime::now() < end) {
    std::this_thread::sleep_for(milliseconds(5));
  }
  return count >= value;
}

/// An address that accepts no further connections and resets none, as that of a
/// process that stands still.
class StalledListener {
 public:
  StalledListener() {
    this->acceptor.open(Tcp::v4());
    this->acceptor.bind({asio::ip::make_address("127.0.0.4"), 0});
    this->acceptor.listen(0);
    // Fills the queue of connections that wait to be accepted.
    for (int count = 0; count < 4; ++count) {
      Tcp::socket& socket = this->sockets.emplace_back(this->context);
      socket.open(Tcp::v4());
      socket.native_non_blocking(true);
      const Tcp::endpoint endpoint = this->acceptor.local_endpoint();
      // Unlike connect() of the socket class, this doesn't wait.
      [[maybe_unused]] const int result =
          ::connect(socket.native_handle(), endpoint.data(), endpoint.size());
    }
  }

  Address ListenAddress() const {
    return {"127.0.0.4", this->acceptor.local_endpoint().port()};
  }

 private:
  asio::io_context context{1};
  Tcp::acceptor acceptor{this->context};
  std::vector<Tcp::socket> sockets;
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(call_cancellation, CancellationFixture)

BOOST_AUTO_TEST_CASE(cancelled_call_ends_at_the_gate) {
  const std::shared_ptr<Cancellation> cancellation = this->StartCall();
  BOOST_REQUIRE(Reaches(this->started_calls, 1, kContactTime));
  this->Cancel(cancellation);
  BOOST_TEST(Reaches(this->cancelled_calls, 1, kArrivalTime));
  BOOST_TEST(Reaches(this->ended_calls, 1, kArrivalTime));
}

// A peer without power or link sends no cancellation and no end of the
// connection; its calls ran until their deadlines.
BOOST_AUTO_TEST_CASE(calls_of_a_silent_peer_end_at_the_gate) {
  const std::shared_ptr<Cancellation> cancellation = this->StartCall();
  this->StartCall();
  BOOST_REQUIRE(Reaches(this->started_calls, 2, kContactTime));
  this->Cut();
  this->Cancel(cancellation);
  BOOST_TEST(Reaches(this->cancelled_calls, 2, kContactTime));
}

BOOST_AUTO_TEST_CASE(calls_of_a_peer_that_is_only_heard_end_at_the_gate) {
  this->StartCall();
  BOOST_REQUIRE(Reaches(this->started_calls, 1, kContactTime));
  LinkFault cut;
  cut.stalls_to_client = true;
  this->proxy->SetFault(cut);
  BOOST_TEST(Reaches(this->cancelled_calls, 1, kContactTime));
}

BOOST_AUTO_TEST_CASE(calls_of_a_peer_that_only_hears_end_at_the_gate) {
  this->StartCall();
  BOOST_REQUIRE(Reaches(this->started_calls, 1, kContactTime));
  LinkFault cut;
  cut.stalls_to_server = true;
  this->proxy->SetFault(cut);
  BOOST_TEST(Reaches(this->cancelled_calls, 1, kContactTime));
}

// A long call is no silence.
BOOST_AUTO_TEST_CASE(calls_of_a_peer_that_waits_go_on) {
  this->StartCall();
  BOOST_REQUIRE(Reaches(this->started_calls, 1, kContactTime));
  BOOST_TEST(!Reaches(this->cancelled_calls, 1, kContactTime));
}

BOOST_AUTO_TEST_CASE(call_that_was_held_back_and_cancelled_is_not_started) {
  this->StartCall();
  BOOST_REQUIRE(Reaches(this->started_calls, 1, kContactTime));
  this->Cut();
  const std::shared_ptr<Cancellation> cancellation = this->StartCall();
  std::this_thread::sleep_for(milliseconds(100));
  this->Cancel(cancellation);
  std::this_thread::sleep_for(milliseconds(600));
  this->proxy->SetFault(LinkFault());
  BOOST_TEST(!Reaches(this->started_calls, 2, milliseconds(300)));
}

// A call at a gate that stood still was started before the cancellation behind
// it was read.
BOOST_AUTO_TEST_CASE(call_cancelled_while_the_gate_stood_still_is_not_started) {
  this->StartCall();
  BOOST_REQUIRE(Reaches(this->started_calls, 1, kContactTime));
  this->server_node.Stop();
  const std::shared_ptr<Cancellation> cancellation = this->StartCall();
  const std::shared_ptr<Cancellation> kept = this->StartCall();
  std::this_thread::sleep_for(milliseconds(50));
  this->Cancel(cancellation);
  std::this_thread::sleep_for(milliseconds(600));
  this->server_node.Resume();
  BOOST_TEST(Reaches(this->started_calls, 2, milliseconds(300)));
  BOOST_TEST(!Reaches(this->started_calls, 3, milliseconds(300)));
}

// The first call on a connection that the gate accepted late.
BOOST_AUTO_TEST_CASE(
    call_cancelled_before_its_connection_was_accepted_is_not_started) {
  this->server_node.Stop();
  const std::shared_ptr<Cancellation> cancellation = this->StartCall();
  std::this_thread::sleep_for(kArrivalTime);
  this->Cancel(cancellation);
  std::this_thread::sleep_for(milliseconds(500));
  this->server_node.Resume();
  BOOST_TEST(!Reaches(this->started_calls, 1, milliseconds(300)));
}

BOOST_AUTO_TEST_CASE(call_is_cancelled_while_its_peer_is_not_reached) {
  const StalledListener listener;
  this->client = std::make_shared<CallClient>(
      this->client_node.context, nullptr, this->clock, listener.ListenAddress(),
      kFrameLimit);
  const std::shared_ptr<Cancellation> cancellation = this->StartCall();
  std::this_thread::sleep_for(milliseconds(50));
  this->Cancel(cancellation);
  BOOST_TEST(Reaches(this->ended_calls, 1, milliseconds(100)));
}

BOOST_AUTO_TEST_CASE(call_is_cancelled_while_its_peer_is_checked) {
  this->Cancel(this->StartCall());
  BOOST_REQUIRE(Reaches(this->ended_calls, 1, kContactTime));
  std::this_thread::sleep_for(milliseconds(300));
  this->Cut();
  const std::shared_ptr<Cancellation> cancellation = this->StartCall();
  std::this_thread::sleep_for(milliseconds(50));
  this->Cancel(cancellation);
  BOOST_TEST(Reaches(this->ended_calls, 2, milliseconds(100)));
}

// Nodes of earlier versions answer no pings.
BOOST_AUTO_TEST_CASE(calls_of_a_peer_that_confirms_nothing_are_started) {
  constexpr milliseconds kMaxHoldTime{700};
  constexpr int kCallCount = 5;
  const std::shared_ptr<FrameStream> peer = std::make_shared<FrameStream>(
      this->client_node.context, nullptr, kFrameLimit);
  std::atomic<int> pings = 0;
  std::atomic<int> sent_calls = 0;
  const auto send_call = [&] {
    protocol::CallFrame frame;
    frame.mutable_request()->set_call_id(++sent_calls);
    peer->Send(frame);
  };
  const auto exchange = [&]() -> Awaitable<> {
    co_await peer->Connect(this->server_address, kContactTime);
    for (int count = 0; count < kCallCount; ++count) {
      send_call();
    }
    while (true) {
      const std::optional<protocol::CallFrame> frame = co_await peer->Read();
      if (!frame) {
        co_return;
      }
      pings += frame->has_ping() ? 1 : 0;
    }
  };
  asio::co_spawn(this->client_node.context, exchange(), asio::detached);
  BOOST_TEST(Reaches(this->started_calls, kCallCount, kMaxHoldTime));
  BOOST_TEST(pings == 1);
  asio::post(this->client_node.context, send_call);
  BOOST_TEST(Reaches(this->started_calls, kCallCount + 1, kArrivalTime));
  asio::post(this->client_node.context, [&] { peer->Close(); });
  BOOST_TEST(Reaches(this->cancelled_calls, kCallCount + 1, kArrivalTime));
  this->client_node.Stop();
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(target_cancellation)

namespace {

TargetExchange SendCancelled(const Address& address,
                             milliseconds cancelled_after) {
  asio::io_context context(1);
  TargetClient client(context, address, kFrameLimit);
  TargetExchange result;
  const std::shared_ptr<Cancellation> cancellation =
      std::make_shared<Cancellation>();
  HttpRequest request(http::verb::get, "/", 11);
  request.set(http::field::host, "a");
  asio::co_spawn(
      context,
      client.Send(request, BootTime::now() + kCallTimeout, cancellation),
      [&result](const std::exception_ptr& /*error*/, TargetExchange exchange) {
        result = std::move(exchange);
      });
  Timer timer(context, cancelled_after);
  timer.async_wait([&](ErrorCode /*error*/) {
    cancellation->Cancel(CancellationCause::kCallerLeft);
  });
  context.run_for(std::chrono::seconds(2));
  return result;
}

}  // namespace

// It was taken for a sign that the target had been restarted.
BOOST_AUTO_TEST_CASE(cancellation_while_connecting_is_no_fault_of_the_target) {
  const StalledListener listener;
  const TargetExchange exchange =
      SendCancelled(listener.ListenAddress(), milliseconds(50));
  BOOST_TEST((exchange.end == TargetExchange::End::kWithdrawn));
}

BOOST_AUTO_TEST_CASE(cancellation_while_the_response_is_awaited_is_reported) {
  asio::io_context context(1);
  Tcp::acceptor silent(context, {asio::ip::make_address("127.0.0.4"), 0});
  const TargetExchange exchange = SendCancelled(
      {"127.0.0.4", silent.local_endpoint().port()}, milliseconds(50));
  BOOST_TEST((exchange.end == TargetExchange::End::kCancelled));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace daisywinch::test
