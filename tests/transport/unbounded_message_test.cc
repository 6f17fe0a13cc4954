// Tests that the memory for messages stays within its limit, whatever callers
// and targets send, and that small messages get through meanwhile.
#include <unistd.h>

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/test/data/monomorphic.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include "state/memory_budget.h"
#include "transport/http_server.h"
#include "transport/target_client.h"

namespace daisywinch::test {

namespace {

using End = TargetExchange::End;

constexpr std::size_t kMegabyte = std::size_t{1024} * 1024;
constexpr std::size_t kMemoryLimit = 16 * kMegabyte;
constexpr std::uint64_t kBodyLimit = 64 * kMegabyte;
constexpr std::size_t kChunkSize = std::size_t{64} * 1024;
constexpr std::chrono::seconds kTimeout{5};

constexpr char kStatusLine[] = "HTTP/1.1 200 OK\r\n";

/// How a response without end begins and goes on.
struct Framing {
  std::string name;
  std::string head;
  std::string repeated;
  /// How the exchange ends.
  End end = End::kResponseTooLarge;

  friend std::ostream& operator<<(std::ostream& stream,
                                  const Framing& framing) {
    return stream << framing.name;
  }
};

const std::vector<Framing> kFramings = {
    {"chunked", std::string(kStatusLine) + "Transfer-Encoding: chunked\r\n\r\n",
     "10000\r\n" + std::string(kChunkSize, '#') + "\r\n"},
    {"small chunks",
     std::string(kStatusLine) + "Transfer-Encoding: chunked\r\n\r\n",
     "10\r\n0123456789abcdef\r\n10\r\n0123456789abcdef\r\n"},
    {"chunk extension without end",
     std::string(kStatusLine) + "Transfer-Encoding: chunked\r\n\r\n10;",
     std::string(kChunkSize, '#'), End::kResponseLost},
    {"until the end of the connection", std::string(kStatusLine) + "\r\n",
     std::string(kChunkSize, '#')},
    {"length over the limit",
     std::string(kStatusLine) + "Content-Length: 10000000000\r\n\r\n",
     std::string(kChunkSize, '#')},
    {"length within the limit",
     std::string(kStatusLine) + "Content-Length: 60000000\r\n\r\n",
     std::string(kChunkSize, '#')},
    {"fields without end", kStatusLine, "X-Field: value\r\n"},
    {"one field without end",
     std::string(kStatusLine) + "X-Field: ", std::string(kChunkSize, '#')},
    {"no response at all", "", std::string(kChunkSize, '#'),
     End::kResponseLost},
};

/// A loopback address of this process.
asio::ip::address LoopbackAddress(int network) {
  constexpr int kHostCount = 250;
  return asio::ip::make_address(
      "127." + std::to_string(network) + "." +
      std::to_string(::getpid() / kHostCount % kHostCount) + "." +
      std::to_string(1 + ::getpid() % kHostCount));
}

/// Answers the path /sound with a small response, and all others without end.
class EndlessTarget {
 public:
  EndlessTarget(asio::io_context& context, Framing framing)
      : context(context),
        framing(std::move(framing)),
        acceptor(context, Tcp::endpoint(LoopbackAddress(103), 0)) {
    asio::co_spawn(context, this->Accept(), asio::detached);
  }

  Address ListenAddress() const {
    const Tcp::endpoint endpoint = this->acceptor.local_endpoint();
    return {endpoint.address().to_string(), endpoint.port()};
  }

 private:
  Awaitable<> Accept() {
    while (true) {
      ErrorCode error;
      std::shared_ptr<Tcp::socket> socket =
          std::make_shared<Tcp::socket>(this->context);
      co_await this->acceptor.async_accept(*socket, Await(error));
      if (error) {
        co_return;
      }
      asio::co_spawn(this->context, this->Serve(socket), asio::detached);
    }
  }

  Awaitable<> Serve(std::shared_ptr<Tcp::socket> socket) {
    ErrorCode error;
    std::string request;
    co_await asio::async_read_until(*socket, asio::dynamic_buffer(request),
                                    "\r\n\r\n", Await(error));
    if (request.find("/sound") != std::string::npos) {
      const std::string response =
          std::string(kStatusLine) + "Content-Length: 5\r\n\r\nsound";
      co_await asio::async_write(*socket, asio::buffer(response), Await(error));
      co_return;
    }
    co_await asio::async_write(*socket, asio::buffer(this->framing.head),
                               Await(error));
    while (!error) {
      co_await asio::async_write(*socket, asio::buffer(this->framing.repeated),
                                 Await(error));
    }
  }

  asio::io_context& context;
  Framing framing;
  Tcp::acceptor acceptor;
};

/// Whether the bytes held have been within the limit all the time.
bool IsWithinLimit(const MemoryBudget& memory) {
  const std::string text = memory.ToPrometheusText();
  const std::string name = "\ndaisywinch_message_bytes_most ";
  const std::size_t most =
      std::stoull(text.substr(text.find(name) + name.size()));
  return most <= kMemoryLimit;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(unbounded_message)

// Each response without end was kept up to the limit for a single body, and the
// process ran out of memory.
BOOST_DATA_TEST_CASE(responses_without_end_are_broken_off,
                     boost::unit_test::data::make(kFramings),
                     framing) {
  constexpr int kEndlessCount = 12;
  constexpr int kSoundCount = 20;
  MemoryBudget memory(kMemoryLimit);
  asio::io_context context(1);
  EndlessTarget target(context, framing);
  TargetClient client(context, target.ListenAddress(), kBodyLimit, &memory);
  std::vector<End> endless;
  int sound_ends = 0;
  int sound_answers = 0;
  const TimePoint started = BootTime::now();
  const auto send = [&](const std::string& path, auto on_end) {
    asio::co_spawn(
        context,
        client.Send(HttpRequest(http::verb::get, path, 11), started + kTimeout,
                    std::make_shared<Cancellation>()),
        on_end);
  };
  for (int count = 0; count < kEndlessCount; ++count) {
    send("/endless", [&](const std::exception_ptr&, TargetExchange exchange) {
      endless.push_back(exchange.end);
    });
  }
  for (int count = 0; count < kSoundCount; ++count) {
    send("/sound", [&](const std::exception_ptr&, TargetExchange exchange) {
      ++sound_ends;
      sound_answers +=
          exchange.end == End::kAnswered && exchange.response.body() == "sound"
              ? 1
              : 0;
    });
  }
  while (endless.size() < kEndlessCount || sound_ends < kSoundCount) {
    BOOST_REQUIRE(BootTime::now() < started + 2 * kTimeout);
    context.run_one_for(std::chrono::milliseconds(100));
    BOOST_REQUIRE(IsWithinLimit(memory));
  }
  BOOST_TEST(sound_answers == kSoundCount);
  for (const End end : endless) {
    // A slow one may be within the limit until its deadline.
    BOOST_TEST((end == framing.end || end == End::kDeadlinePassed));
  }
}

// A response that can't be one to the request was read to its end.
BOOST_AUTO_TEST_CASE(body_behind_a_foreign_header_is_not_read) {
  asio::io_context context(1);
  EndlessTarget target(context, kFramings.front());
  TargetClient client(context, target.ListenAddress(), kBodyLimit);
  std::optional<End> end;
  const TimePoint started = BootTime::now();
  asio::co_spawn(
      context,
      client.Send(HttpRequest(http::verb::get, "/endless", 11),
                  started + kTimeout, std::make_shared<Cancellation>(),
                  [](const http::response_header<>&) { return false; }),
      [&end](const std::exception_ptr&, const TargetExchange& exchange) {
        end = exchange.end;
      });
  while (!end) {
    context.run_one();
  }
  BOOST_TEST((*end == End::kResponseInvalid));
  BOOST_TEST(client.ConnectionCount() == 0);
  BOOST_TEST((BootTime::now() - started < kTimeout / 2));
}

// A sound response with a header of more than 8 KB was lost.
BOOST_AUTO_TEST_CASE(large_header_of_a_response_is_read) {
  asio::io_context context(1);
  EndlessTarget target(context, {"large header",
                                 std::string(kStatusLine) +
                                     "X-Field: " + std::string(32 * 1024, 'x') +
                                     "\r\nContent-Length: 65536\r\n\r\n",
                                 std::string(kChunkSize, '#')});
  TargetClient client(context, target.ListenAddress(), kBodyLimit);
  std::optional<End> end;
  asio::co_spawn(
      context,
      client.Send(HttpRequest(http::verb::get, "/large", 11),
                  BootTime::now() + kTimeout, std::make_shared<Cancellation>()),
      [&end](const std::exception_ptr&, const TargetExchange& exchange) {
        end = exchange.end;
      });
  while (!end) {
    context.run_one();
  }
  BOOST_TEST((*end == End::kAnswered));
}

// Bodies within the limit for a single one took the process over its memory
// together.
BOOST_AUTO_TEST_CASE(bodies_that_do_not_fit_together_are_refused_as_not_run) {
  constexpr std::size_t kBodySize = 6 * kMegabyte;
  constexpr int kUploads = 4;
  MemoryBudget memory(kMemoryLimit);
  asio::io_context context(1);
  HttpLimits limits;
  limits.body_bytes = kBodyLimit;
  limits.memory = &memory;
  int handled_uploads = 0;
  HttpServer server(
      context, limits,
      [&](HttpRequest request,
          std::shared_ptr<Cancellation>) -> Awaitable<HttpResponse> {
        handled_uploads += request.body().size() == kBodySize ? 1 : 0;
        Timer timer(context, std::chrono::milliseconds(300));
        ErrorCode ignored;
        co_await timer.async_wait(Await(ignored));
        HttpResponse response(http::status::ok, 11);
        response.prepare_payload();
        co_return response;
      });
  const Address address = {LoopbackAddress(104).to_string(), 20900};
  BOOST_REQUIRE(!server.Listen(address));
  std::vector<http::status> uploads;
  std::vector<http::status> small;
  const auto post = [&](std::size_t size,
                        std::vector<http::status>& statuses) -> Awaitable<> {
    Tcp::socket socket(context);
    ErrorCode error;
    co_await socket.async_connect(ToEndpoint(address), Await(error));
    HttpRequest request(http::verb::post, "/", 11);
    request.set(http::field::host, "h");
    request.body() = std::string(size, 'x');
    request.prepare_payload();
    // A refusal may come before the whole body is sent.
    co_await http::async_write(socket, request, Await(error));
    boost::beast::flat_buffer buffer;
    HttpResponse response;
    co_await http::async_read(socket, buffer, response, Await(error));
    statuses.push_back(error ? http::status::unknown : response.result());
  };
  for (int count = 0; count < kUploads; ++count) {
    asio::co_spawn(context, post(kBodySize, uploads), asio::detached);
    asio::co_spawn(context, post(100, small), asio::detached);
  }
  while (uploads.size() + small.size() < 2 * kUploads) {
    context.run_one();
    BOOST_REQUIRE(IsWithinLimit(memory));
  }
  BOOST_TEST(std::count(small.begin(), small.end(), http::status::ok) ==
             kUploads);
  const auto served =
      std::count(uploads.begin(), uploads.end(), http::status::ok);
  BOOST_TEST(served >= 1);
  BOOST_TEST(served == handled_uploads);
  BOOST_TEST(std::count(uploads.begin(), uploads.end(),
                        http::status::service_unavailable) ==
             kUploads - served);
}

BOOST_AUTO_TEST_CASE(largest_message_is_broken_off_and_small_ones_never) {
  MemoryBudget memory(10 * MemoryBudget::kMinBrokenOff);
  std::string broken_off;
  const auto note = [&broken_off](const char* name) {
    return [&broken_off, name] { broken_off += name; };
  };
  MemoryBudget::Holder large(&memory, "response", note("large "));
  MemoryBudget::Holder larger(&memory, "response", note("larger "));
  MemoryBudget::Holder small(&memory, "response", note("small "));
  MemoryBudget::Holder fixed(&memory, "reply", nullptr);
  large.Resize(4 * MemoryBudget::kMinBrokenOff);
  larger.Resize(5 * MemoryBudget::kMinBrokenOff);
  small.Resize(MemoryBudget::kMinBrokenOff - 1);
  BOOST_TEST(broken_off.empty());
  fixed.Resize(2 * MemoryBudget::kMinBrokenOff);
  BOOST_TEST(broken_off == "larger ");
  BOOST_TEST(larger.IsBrokenOff());
  fixed.Resize(20 * MemoryBudget::kMinBrokenOff);
  BOOST_TEST(broken_off == "larger large ");
  BOOST_TEST(!small.IsBrokenOff());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace daisywinch::test
