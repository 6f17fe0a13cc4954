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

constexpr int kRoundTrips = 3000;
constexpr std::size_t kBodySize = 512;
constexpr std::size_t kMaxMessageSize = std::size_t{1} << 20;
constexpr char kFleetSecret[] = "00112233445566778899aabbccddeeff";
constexpr char kNngUrl[] = "tcp://127.0.0.1:17391";
const Address kCallAddress = {"127.0.0.1", 17392};

/// Round-trip times in microseconds.
using Latencies = std::vector<double>;

double ToMicroseconds(Duration duration) {
  return std::chrono::duration<double, std::micro>(duration).count();
}

/// Measures round trips of mesh calls between CallClient and CallServer:
/// protobuf frames over TLS with a pre-shared key, echoing the body.
Latencies MeasureCallLatencies() {
  asio::io_context server_context(1);
  asio::ssl::context server_tls = MakePskContext(kFleetSecret);
  CallServer server(
      server_context, &server_tls, kMaxMessageSize,
      [](protocol::CallRequest request,
         std::shared_ptr<Cancellation>) -> Awaitable<protocol::CallReply> {
        protocol::CallReply reply;
        reply.set_outcome(protocol::OUTCOME_ANSWERED);
        reply.set_status(200);
        reply.set_body(request.body());
        co_return reply;
      });
  server.Listen(kCallAddress);
  std::thread server_thread([&server_context] { server_context.run(); });

  asio::io_context context(1);
  asio::ssl::context tls = MakePskContext(kFleetSecret);
  const SystemClock clock;
  const std::shared_ptr<CallClient> client = std::make_shared<CallClient>(
      context, &tls, clock, kCallAddress, kMaxMessageSize);
  Latencies latencies;
  const auto make_calls = [&]() -> Awaitable<> {
    for (int round_trip = 0; round_trip < kRoundTrips; ++round_trip) {
      protocol::CallRequest request;
      request.set_body(std::string(kBodySize, 'x'));
      const TimePoint sent_at = clock.Now();
      const protocol::CallReply reply =
          co_await client->Call(request, sent_at + std::chrono::seconds(1),
                                std::make_shared<Cancellation>());
      latencies.push_back(ToMicroseconds(clock.Now() - sent_at));
    }
    client->Close();
  };
  asio::co_spawn(context, make_calls(), asio::detached);
  context.run();
  server_context.stop();
  server_thread.join();
  return latencies;
}

/// Measures round trips with a body of the same size over a pair of nng
/// sockets, without encryption.
Latencies MeasureNngLatencies() {
  nng_socket server = NNG_SOCKET_INITIALIZER;
  nng_socket client = NNG_SOCKET_INITIALIZER;
  nng_pair1_open(&server);
  nng_pair1_open(&client);
  nng_listen(server, kNngUrl, nullptr, 0);
  nng_dial(client, kNngUrl, nullptr, 0);
  std::thread server_thread([server] {
    for (int round_trip = 0; round_trip < kRoundTrips; ++round_trip) {
      nng_msg* message = nullptr;
      if (nng_recvmsg(server, &message, 0) != 0 ||
          nng_sendmsg(server, message, 0) != 0) {
        return;
      }
    }
  });
  Latencies latencies;
  const SystemClock clock;
  for (int round_trip = 0; round_trip < kRoundTrips; ++round_trip) {
    const TimePoint sent_at = clock.Now();
    nng_msg* message = nullptr;
    nng_msg_alloc(&message, kBodySize);
    nng_sendmsg(client, message, 0);
    nng_recvmsg(client, &message, 0);
    nng_msg_free(message);
    latencies.push_back(ToMicroseconds(clock.Now() - sent_at));
  }
  server_thread.join();
  nng_close(client);
  nng_close(server);
  return latencies;
}

double Quantile(Latencies latencies, double quantile) {
  std::sort(latencies.begin(), latencies.end());
  return latencies[static_cast<std::size_t>(
      quantile * static_cast<double>(latencies.size() - 1))];
}

}  // namespace

}  // namespace daisywinch::bench

/// Compares the round-trip time of a mesh call, in frames over TLS, with that
/// of an nng message.
int main() {
  const daisywinch::bench::Latencies call_latencies =
      daisywinch::bench::MeasureCallLatencies();
  const daisywinch::bench::Latencies nng_latencies =
      daisywinch::bench::MeasureNngLatencies();
  std::cout << std::fixed << std::setprecision(2);
  for (const double quantile : {0.5, 0.99}) {
    const double call_latency =
        daisywinch::bench::Quantile(call_latencies, quantile);
    const double nng_latency =
        daisywinch::bench::Quantile(nng_latencies, quantile);
    std::cout << "quantile " << quantile << ": calls over TLS " << call_latency
              << " us, nng pair without encryption " << nng_latency
              << " us, ratio " << nng_latency / call_latency << "\n";
  }
  return EXIT_SUCCESS;
}
