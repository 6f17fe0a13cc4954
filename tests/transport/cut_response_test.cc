// Tests that a response which ends early is never taken for a whole one: the
// server closes or resets the connection after each byte of it.
#include <unistd.h>

#include <memory>
#include <optional>
#include <string>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>
#include <boost/test/unit_test.hpp>

#include "transport/http_fetch.h"
#include "transport/target_client.h"

namespace daisywinch::test {

namespace {

constexpr std::uint64_t kBodyLimit = 1024;

enum class CutBy { kClose, kReset };

/// Accepts one connection after the other, reads a request from each, and sends
/// the first bytes of a response.
class CuttingServer {
 public:
  explicit CuttingServer(asio::io_context& context)
      : context(context), acceptor(context, Endpoint()) {
    asio::co_spawn(context, this->Serve(), asio::detached);
  }

  Address ListenAddress() const {
    const Tcp::endpoint endpoint = this->acceptor.local_endpoint();
    return {endpoint.address().to_string(), endpoint.port()};
  }

  void SetResponse(std::string new_sent, CutBy new_cut_by) {
    this->sent = std::move(new_sent);
    this->cut_by = new_cut_by;
  }

 private:
  static Tcp::endpoint Endpoint() {
    constexpr int kHostCount = 250;
    return {
        asio::ip::make_address(
            "127.101." + std::to_string(::getpid() / kHostCount % kHostCount) +
            "." + std::to_string(1 + ::getpid() % kHostCount)),
        0};
  }

  Awaitable<> Serve() {
    while (true) {
      ErrorCode error;
      Tcp::socket socket = co_await this->acceptor.async_accept(Await(error));
      if (error) {
        co_return;
      }
      std::string request;
      co_await asio::async_read_until(socket, asio::dynamic_buffer(request),
                                      "\r\n\r\n", Await(error));
      co_await asio::async_write(socket, asio::buffer(this->sent),
                                 Await(error));
      if (this->cut_by == CutBy::kReset) {
        // Lets the client read what was sent, as a reset discards it.
        Timer timer(this->context, std::chrono::milliseconds(2));
        co_await timer.async_wait(Await(error));
        socket.set_option(asio::socket_base::linger(true, 0), error);
      }
      socket.close(error);
    }
  }

  asio::io_context& context;
  Tcp::acceptor acceptor;
  std::string sent;
  CutBy cut_by = CutBy::kClose;
};

struct CutResponseFixture {
  CutResponseFixture()
      : server(context), client(context, server.ListenAddress(), kBodyLimit) {}

  /// The exchange of a target whose response is cut.
  TargetExchange Exchange(const std::string& sent, CutBy cut_by) {
    this->server.SetResponse(sent, cut_by);
    std::optional<TargetExchange> exchange;
    asio::co_spawn(this->context,
                   this->client.Send(HttpRequest(http::verb::get, "/look", 11),
                                     BootTime::now() + std::chrono::seconds(5),
                                     std::make_shared<Cancellation>()),
                   [&exchange](std::exception_ptr, TargetExchange result) {
                     exchange = std::move(result);
                   });
    while (!exchange) {
      this->context.run_one();
    }
    return std::move(*exchange);
  }

  /// Whether a response of the store that is cut is taken for a whole one.
  bool IsFetched(const std::string& sent, CutBy cut_by) {
    this->server.SetResponse(sent, cut_by);
    std::optional<bool> is_fetched;
    ErrorCode error;
    asio::co_spawn(
        this->context,
        Fetch(this->context, this->server.ListenAddress(),
              HttpRequest(http::verb::get, "/kv-range", 11), {}, error),
        [&is_fetched](std::exception_ptr, std::optional<HttpResponse> result) {
          is_fetched = result.has_value();
        });
    while (!is_fetched) {
      this->context.run_one();
    }
    return *is_fetched;
  }

  void CheckEachCut(const std::string& response, std::size_t first_whole) {
    for (std::size_t size = 0; size < response.size(); ++size) {
      for (const CutBy cut_by : {CutBy::kClose, CutBy::kReset}) {
        // Without a length, a body that the server closes is whole.
        const bool may_be_whole =
            cut_by == CutBy::kClose && size >= first_whole;
        const std::string sent = response.substr(0, size);
        const TargetExchange exchange = this->Exchange(sent, cut_by);
        BOOST_TEST((exchange.end == TargetExchange::End::kAnswered) ==
                   may_be_whole);
        BOOST_TEST(this->IsFetched(sent, cut_by) == may_be_whole);
      }
    }
    BOOST_TEST((this->Exchange(response, CutBy::kClose).end ==
                TargetExchange::End::kAnswered));
  }

  asio::io_context context{1};
  CuttingServer server;
  TargetClient client;
};

constexpr char kHead[] =
    "HTTP/1.1 200 OK\r\nX-Daisywinch-Attempt-Id: a-1\r\n"
    "X-Daisywinch-Response-Signature: s\r\n";

}  // namespace

BOOST_FIXTURE_TEST_SUITE(cut_response, CutResponseFixture)

BOOST_AUTO_TEST_CASE(response_with_a_length_is_whole_at_its_end_only) {
  const std::string response =
      std::string(kHead) + "Content-Length: 5\r\n\r\nhello";
  this->CheckEachCut(response, response.size());
}

BOOST_AUTO_TEST_CASE(response_in_chunks_is_whole_at_its_end_only) {
  const std::string response =
      std::string(kHead) +
      "Transfer-Encoding: chunked\r\n\r\n3\r\nhel\r\n2\r\nlo\r\n0\r\n\r\n";
  this->CheckEachCut(response, response.size());
}

BOOST_AUTO_TEST_CASE(response_without_a_length_needs_its_whole_head) {
  const std::string head = std::string(kHead) + "\r\n";
  this->CheckEachCut(head + "hello", head.size());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace daisywinch::test
