#include <memory>
#include <optional>
#include <string>
#include <thread>

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

/// A server whose responses repeat the path of the request. The path /large is
/// answered with a large body.
class ServerFixture {
 public:
  explicit ServerFixture(std::size_t max_connections = 100) {
    HttpLimits limits;
    limits.max_connections = max_connections;
    this->server = std::make_unique<HttpServer>(
        this->context, limits,
        [this](HttpRequest request, std::shared_ptr<Cancellation>) {
          return this->Handle(std::move(request));
        });
    for (int port = 20000; port < 30000; ++port) {
      this->address = {"127.0.0.1", static_cast<std::uint16_t>(port)};
      if (!this->server->Listen(this->address)) {
        break;
      }
    }
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

  const Address& ServerAddress() const { return this->address; }

 private:
  Awaitable<HttpResponse> Handle(HttpRequest request) {
    HttpResponse response(http::status::ok, 11);
    response.body() = std::string(request.target());
    if (request.target() == "/large") {
      response.body() = std::string(kLargeBodySize, 'x');
    }
    response.prepare_payload();
    co_return response;
  }

  asio::io_context context{1};
  Address address;
  std::unique_ptr<HttpServer> server;
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

}  // namespace

BOOST_AUTO_TEST_SUITE(http_server)

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

BOOST_AUTO_TEST_SUITE_END()

}  // namespace daisywinch::test
