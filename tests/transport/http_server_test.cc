#include <unistd.h>

#include <atomic>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <thread>
#include <vector>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/test/unit_test.hpp>

#include "transport/http_server.h"

namespace daisywinch::test {

namespace {

using std::chrono::milliseconds;

/// Larger than the buffers of a loopback connection.
constexpr std::size_t kLargeBodySize = std::size_t{16} * 1024 * 1024;
/// Larger than what the server reads at once.
constexpr std::size_t kPipelinedSize = std::size_t{64} * 1024;

/// A loopback address that no other server of the tests uses.
Address MakeAddress() {
  constexpr int kFirstPort = 20000;
  constexpr int kHostCount = 250;
  static int next_port = kFirstPort;
  const int process = ::getpid();
  return {"127.100." + std::to_string(process / kHostCount % kHostCount) + "." +
              std::to_string(1 + process % kHostCount),
          static_cast<std::uint16_t>(next_port++)};
}

/// Time after the end of a connection by which its requests must be cancelled.
constexpr milliseconds kMaxCancellationTime{500};

/// A server whose responses repeat the path of the request. The path /wait is
/// answered when the request is cancelled, /large with a large body.
class ServerFixture {
 public:
  explicit ServerFixture(std::size_t max_connections = 100) {
    HttpLimits limits;
    limits.max_connections = max_connections;
    this->server = std::make_unique<HttpServer>(
        this->context, limits,
        [this](HttpRequest request,
               std::shared_ptr<Cancellation> cancellation) {
          return this->Handle(std::move(request), std::move(cancellation));
        });
    this->address = MakeAddress();
    BOOST_REQUIRE(!this->server->Listen(this->address));
  }

  ~ServerFixture() {
    this->context.stop();
    if (this->thread.joinable()) {
      this->thread.join();
    }
  }

  ServerFixture(const ServerFixture&) = delete;
  ServerFixture& operator=(const ServerFixture&) = delete;

  void Run() {
    this->thread = std::thread([this] { this->context.run(); });
  }

  /// Starts a shutdown; may be called before Run().
  void ShutDown(Duration timeout) {
    asio::post(this->context, [this, timeout] {
      asio::co_spawn(this->context,
                     this->server->ShutDown(BootTime::now() + timeout),
                     asio::detached);
    });
  }

  void AnnounceClose() {
    asio::post(this->context, [this] { this->server->AnnounceClose(); });
  }

  const Address& ServerAddress() const { return this->address; }
  /// Number of requests that were not cancelled before they were handled.
  int StartedRequests() const { return this->started_requests; }
  int CancelledRequests() const { return this->cancelled_requests; }

 private:
  Awaitable<HttpResponse> Handle(HttpRequest request,
                                 std::shared_ptr<Cancellation> cancellation) {
    this->started_requests += cancellation->IsCancelled() ? 0 : 1;
    HttpResponse response(http::status::ok, 11);
    response.body() = std::string(request.target());
    if (request.target() == "/wait") {
      const std::shared_ptr<Timer> timer =
          std::make_shared<Timer>(this->context, std::chrono::seconds(20));
      co_await WaitUnlessCancelled(*timer, cancellation);
      this->cancelled_requests += cancellation->IsCancelled() ? 1 : 0;
    } else if (request.target() == "/large") {
      response.body() = std::string(kLargeBodySize, 'x');
    }
    response.prepare_payload();
    co_return response;
  }

  asio::io_context context{1};
  Address address;
  std::unique_ptr<HttpServer> server;
  std::atomic<int> started_requests = 0;
  std::atomic<int> cancelled_requests = 0;
  std::thread thread;
};

/// A caller's connection.
class Connection {
 public:
  explicit Connection(const Address& address) {
    this->socket.connect(ToEndpoint(address));
  }

  void Write(const std::string& bytes) {
    asio::write(this->socket, asio::buffer(bytes));
  }

  void SendRequest(const std::string& path) {
    this->Write("GET " + path + " HTTP/1.1\r\nHost: a\r\n\r\n");
  }

  void Close() { this->socket.close(); }

  /// Reads a response; nothing if there is no complete one.
  std::optional<HttpResponse> ReadResponse() {
    ErrorCode error;
    http::response_parser<http::string_body> parser;
    parser.body_limit(2 * kLargeBodySize);
    http::read(this->socket, this->buffer, parser, error);
    return error ? std::nullopt : std::optional(parser.release());
  }

  /// Waits for the end of the connection; returns whether it ended without a
  /// reset and without further bytes.
  bool EndsCleanly() {
    ErrorCode error;
    char byte = 0;
    asio::read(this->socket, asio::buffer(&byte, 1), error);
    return error == asio::error::eof;
  }

 private:
  asio::io_context context{1};
  Tcp::socket socket{this->context};
  boost::beast::flat_buffer buffer;
};

/// Whether the number of cancelled requests reaches `count` in time.
bool AreCancelledInTime(const ServerFixture& server, int count) {
  const TimePoint end = BootTime::now() + kMaxCancellationTime;
  while (server.CancelledRequests() < count && BootTime::now() < end) {
    std::this_thread::sleep_for(milliseconds(5));
  }
  return server.CancelledRequests() == count;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(http_server)

BOOST_AUTO_TEST_CASE(connection_ends_after_the_next_response_when_announced) {
  ServerFixture server;
  server.Run();
  Connection connection(server.ServerAddress());
  connection.SendRequest("/first");
  std::optional<HttpResponse> response = connection.ReadResponse();
  BOOST_REQUIRE(response);
  BOOST_TEST(response->keep_alive());
  server.AnnounceClose();
  std::this_thread::sleep_for(milliseconds(50));
  connection.SendRequest("/second");
  response = connection.ReadResponse();
  BOOST_REQUIRE(response);
  BOOST_TEST(response->body() == "/second");
  BOOST_TEST(!response->keep_alive());
  BOOST_TEST(connection.EndsCleanly());
}

BOOST_AUTO_TEST_CASE(requests_in_the_accept_queue_are_answered) {
  ServerFixture server;
  std::vector<std::unique_ptr<Connection>> connections;
  for (int count = 0; count < 20; ++count) {
    connections.push_back(std::make_unique<Connection>(server.ServerAddress()));
    connections.back()->SendRequest("/" + std::to_string(count));
  }
  server.ShutDown(std::chrono::seconds(5));
  server.Run();
  for (int count = 0; count < 20; ++count) {
    const std::optional<HttpResponse> response =
        connections[count]->ReadResponse();
    BOOST_REQUIRE(response);
    BOOST_TEST(response->body() == "/" + std::to_string(count));
    BOOST_TEST(connections[count]->EndsCleanly());
  }
}

BOOST_AUTO_TEST_CASE(request_that_arrives_in_parts_is_answered) {
  ServerFixture server;
  server.Run();
  Connection connection(server.ServerAddress());
  connection.Write("GET /slow HTTP/1.1\r\nHo");
  std::this_thread::sleep_for(milliseconds(50));
  server.ShutDown(std::chrono::seconds(5));
  std::this_thread::sleep_for(milliseconds(500));
  connection.Write("st: a\r\n\r\n");
  const std::optional<HttpResponse> response = connection.ReadResponse();
  BOOST_REQUIRE(response);
  BOOST_TEST(response->body() == "/slow");
}

BOOST_AUTO_TEST_CASE(idle_connection_ends_cleanly) {
  ServerFixture server;
  server.Run();
  Connection connection(server.ServerAddress());
  connection.SendRequest("/first");
  BOOST_REQUIRE(connection.ReadResponse());
  server.ShutDown(std::chrono::seconds(5));
  BOOST_TEST(connection.EndsCleanly());
}

// Closing a connection with unread bytes resets it.
BOOST_AUTO_TEST_CASE(response_is_complete_despite_unread_bytes_behind_it) {
  ServerFixture server;
  server.Run();
  Connection connection(server.ServerAddress());
  connection.Write(
      "GET /large HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n" +
      std::string(kPipelinedSize, 'z'));
  std::this_thread::sleep_for(milliseconds(100));
  const std::optional<HttpResponse> response = connection.ReadResponse();
  BOOST_REQUIRE(response);
  BOOST_TEST(response->body().size() == kLargeBodySize);
  BOOST_TEST(connection.EndsCleanly());
}

BOOST_AUTO_TEST_CASE(request_in_progress_gets_a_response_at_the_deadline) {
  ServerFixture server;
  server.Run();
  Connection connection(server.ServerAddress());
  connection.SendRequest("/wait");
  std::this_thread::sleep_for(milliseconds(50));
  const TimePoint started = BootTime::now();
  server.ShutDown(milliseconds(400));
  const std::optional<HttpResponse> response = connection.ReadResponse();
  BOOST_REQUIRE(response);
  BOOST_TEST(response->body() == "/wait");
  // Without the cancellation, the handler takes 20 s.
  BOOST_TEST((BootTime::now() - started < std::chrono::seconds(5)));
  BOOST_TEST(connection.EndsCleanly());
}

// Such a connection was closed without a response.
BOOST_AUTO_TEST_CASE(connection_over_the_limit_replaces_the_longest_idle_one) {
  ServerFixture server(2);
  server.Run();
  Connection older(server.ServerAddress());
  older.SendRequest("/older");
  BOOST_REQUIRE(older.ReadResponse());
  Connection newer(server.ServerAddress());
  newer.SendRequest("/newer");
  BOOST_REQUIRE(newer.ReadResponse());
  Connection third(server.ServerAddress());
  third.SendRequest("/third");
  const std::optional<HttpResponse> response = third.ReadResponse();
  BOOST_REQUIRE(response);
  BOOST_TEST(response->body() == "/third");
  BOOST_TEST(older.EndsCleanly());
  newer.SendRequest("/again");
  BOOST_TEST(newer.ReadResponse().has_value());
}

// Such a request was handled as if its caller waited.
BOOST_AUTO_TEST_CASE(
    request_whose_caller_left_before_it_was_read_is_not_started) {
  ServerFixture server;
  for (int count = 0; count < 20; ++count) {
    Connection connection(server.ServerAddress());
    connection.SendRequest("/left");
  }
  Connection staying(server.ServerAddress());
  staying.SendRequest("/stayed");
  server.Run();
  BOOST_TEST(staying.ReadResponse().has_value());
  BOOST_TEST(server.StartedRequests() == 1);
}

BOOST_AUTO_TEST_CASE(request_behind_which_its_caller_left_is_not_started) {
  ServerFixture server;
  {
    Connection connection(server.ServerAddress());
    connection.Write(
        "GET /first HTTP/1.1\r\nHost: a\r\n\r\n"
        "GET /second HTTP/1.1\r\nHost: a\r\n\r\n");
  }
  server.Run();
  std::this_thread::sleep_for(milliseconds(200));
  BOOST_TEST(server.StartedRequests() == 0);
}

BOOST_AUTO_TEST_CASE(caller_that_leaves_is_noticed) {
  ServerFixture server;
  server.Run();
  Connection connection(server.ServerAddress());
  connection.SendRequest("/wait");
  std::this_thread::sleep_for(milliseconds(100));
  connection.Close();
  BOOST_TEST(AreCancelledInTime(server, 1));
}

// The bytes of the next request ended the watch for the caller's end.
BOOST_AUTO_TEST_CASE(caller_that_leaves_behind_its_next_request_is_noticed) {
  ServerFixture server;
  server.Run();
  Connection together(server.ServerAddress());
  together.Write(
      "GET /wait HTTP/1.1\r\nHost: a\r\n\r\n"
      "GET /next HTTP/1.1\r\nHost: a\r\n\r\n");
  Connection later(server.ServerAddress());
  later.SendRequest("/wait");
  std::this_thread::sleep_for(milliseconds(100));
  later.SendRequest("/next");
  std::this_thread::sleep_for(milliseconds(100));
  BOOST_TEST(server.CancelledRequests() == 0);
  together.Close();
  later.Close();
  BOOST_TEST(AreCancelledInTime(server, 2));
  std::this_thread::sleep_for(milliseconds(100));
  BOOST_TEST(server.StartedRequests() == 2);
}

// Guards against a request whose body is taken for the next request, or whose
// length is hidden in another field.
BOOST_AUTO_TEST_CASE(request_whose_body_is_ambiguous_is_refused) {
  const std::string second = "GET /second HTTP/1.1\r\nHost: a\r\n\r\n";
  const std::string chunks = "0\r\n\r\n" + second;
  for (const std::string& rest : std::vector<std::string>{
           "A: b\r\n Content-Length: 4\r\n\r\n" + second,
           "A: b\r\n\tContent-Length: 4\r\n\r\n" + second,
           "Transfer-Encoding: chunked\r\n\r\n0\r\nA: b\r\n C: d\r\n\r\n",
           "Transfer-Encoding: chunked, chunked\r\n\r\n" + chunks,
           "Transfer-Encoding: gzip\r\n\r\n" + chunks,
           "Transfer-Encoding: gzip, chunked\r\n\r\n" + chunks,
           "Transfer-Encoding: chunked, gzip\r\n\r\n" + chunks,
           "Transfer-Encoding: identity\r\n\r\n" + chunks,
           "Transfer-Encoding: \r\n\r\n" + chunks,
           "Transfer-Encoding: chunked\r\nContent-Length: 5\r\n\r\n" + chunks,
           "Content-Length : 4\r\n\r\n" + second,
           "Content Length: 4\r\n\r\n" + second,
           "Content-Length\x01: 4\r\n\r\n" + second}) {
    for (const bool in_single_bytes : {false, true}) {
      ServerFixture server;
      server.Run();
      Connection connection(server.ServerAddress());
      const std::string request = "POST /first HTTP/1.1\r\nHost: a\r\n" + rest;
      if (in_single_bytes) {
        for (const char byte : request) {
          connection.Write(std::string(1, byte));
        }
      } else {
        connection.Write(request);
      }
      const std::optional<HttpResponse> response = connection.ReadResponse();
      BOOST_REQUIRE(response);
      BOOST_TEST(response->result_int() == 400, rest);
      BOOST_TEST(!response->keep_alive());
      BOOST_TEST(server.StartedRequests() == 0);
    }
  }
}

BOOST_AUTO_TEST_CASE(requests_sent_together_are_answered_in_order) {
  ServerFixture server;
  server.Run();
  Connection connection(server.ServerAddress());
  std::string requests;
  for (int count = 0; count < 50; ++count) {
    requests +=
        "GET /" + std::to_string(count) + " HTTP/1.1\r\nHost: a\r\n\r\n";
  }
  connection.Write(requests);
  for (int count = 0; count < 50; ++count) {
    const std::optional<HttpResponse> response = connection.ReadResponse();
    BOOST_REQUIRE(response);
    BOOST_TEST(response->body() == "/" + std::to_string(count));
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace daisywinch::test
