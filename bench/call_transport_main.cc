#include <algorithm>
#include <cstdlib>
#include <iomanip>
#include <iostream>
#include <thread>
#include <vector>

#include <nng/nng.h>
#include <nng/protocol/pair1/pair.h>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "transport/call_client.h"
#include "transport/call_server.h"
#include "transport/psk_context.h"

namespace daisywinch::bench {

namespace {

constexpr int kRounds = 3000;
constexpr std::size_t kBodySize = 512;
constexpr std::size_t kSizeLimit = std::size_t{1} << 20;
constexpr char kSecret[] = "00112233445566778899aabbccddeeff";
constexpr char kNngUrl[] = "tcp://127.0.0.1:17391";
const Address kCallAddress = {"127.0.0.1", 17392};

using Times = std::vector<double>;

double Microseconds(Duration duration) {
  return std::chrono::duration<double, std::micro>(duration).count();
}

/// Round trips of the product's own calls: frames over TLS.
Times MeasureCalls() {
  asio::io_context server_context(1);
  asio::ssl::context server_tls = MakePskContext(kSecret);
  CallServer server(
      server_context, &server_tls, kSizeLimit,
      [](protocol::CallRequest request,
         std::shared_ptr<Cancellation>) -> Awaitable<protocol::CallReply> {
        protocol::CallReply reply;
        reply.set_outcome(protocol::OUTCOME_ANSWERED);
        reply.set_body(request.body());
        co_return reply;
      });
  server.Listen(kCallAddress);
  std::thread server_thread([&server_context] { server_context.run(); });

  asio::io_context context(1);
  asio::ssl::context tls = MakePskContext(kSecret);
  const SystemClock clock;
  const std::shared_ptr<CallClient> client = std::make_shared<CallClient>(
      context, &tls, clock, kCallAddress, kSizeLimit);
  Times times;
  const auto run = [&]() -> Awaitable<> {
    for (int round = 0; round < kRounds; ++round) {
      protocol::CallRequest request;
      request.set_body(std::string(kBodySize, 'x'));
      const TimePoint started = clock.Now();
      const protocol::CallReply reply =
          co_await client->Call(request, started + std::chrono::seconds(1),
                                std::make_shared<Cancellation>());
      times.push_back(Microseconds(clock.Now() - started));
    }
    client->Close();
  };
  asio::co_spawn(context, run(), asio::detached);
  context.run();
  server_context.stop();
  server_thread.join();
  return times;
}

/// Round trips of the same size over an nng pair, without encryption.
Times MeasureNng() {
  nng_socket server = NNG_SOCKET_INITIALIZER;
  nng_socket client = NNG_SOCKET_INITIALIZER;
  nng_pair1_open(&server);
  nng_pair1_open(&client);
  nng_listen(server, kNngUrl, nullptr, 0);
  nng_dial(client, kNngUrl, nullptr, 0);
  std::thread server_thread([server] {
    for (int round = 0; round < kRounds; ++round) {
      nng_msg* message = nullptr;
      if (nng_recvmsg(server, &message, 0) != 0 ||
          nng_sendmsg(server, message, 0) != 0) {
        return;
      }
    }
  });
  Times times;
  const SystemClock clock;
  for (int round = 0; round < kRounds; ++round) {
    const TimePoint started = clock.Now();
    nng_msg* message = nullptr;
    nng_msg_alloc(&message, kBodySize);
    nng_sendmsg(client, message, 0);
    nng_recvmsg(client, &message, 0);
    nng_msg_free(message);
    times.push_back(Microseconds(clock.Now() - started));
  }
  server_thread.join();
  nng_close(client);
  nng_close(server);
  return times;
}

double Quantile(Times times, double quantile) {
  std::sort(times.begin(), times.end());
  return times[static_cast<std::size_t>(quantile *
                                        static_cast<double>(times.size() - 1))];
}

}  // namespace

}  // namespace daisywinch::bench

/// Compares the round trip of a call over TLS frames with one over nng.
int main() {
  const daisywinch::bench::Times calls = daisywinch::bench::MeasureCalls();
  const daisywinch::bench::Times nng = daisywinch::bench::MeasureNng();
  std::cout << std::fixed << std::setprecision(2);
  for (const double quantile : {0.5, 0.99}) {
    const double call_time = daisywinch::bench::Quantile(calls, quantile);
    const double nng_time = daisywinch::bench::Quantile(nng, quantile);
    std::cout << "quantile " << quantile << ": calls over TLS " << call_time
              << " us, nng pair without encryption " << nng_time
              << " us, ratio " << nng_time / call_time << "\n";
  }
  return EXIT_SUCCESS;
}
