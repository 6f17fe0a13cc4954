#include "support/loopback_proxy.h"

#include <array>
#include <stdexcept>
#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>

#include "transport/listen.h"

namespace daisywinch::test {

namespace {

constexpr std::chrono::milliseconds kStallPollInterval{10};

/// Closes a socket with a TCP reset.
void Reset(Tcp::socket& socket) {
  ErrorCode ignored;
  socket.set_option(asio::socket_base::linger(true, 0), ignored);
  socket.close(ignored);
}

}  // namespace

struct LoopbackProxy::Connection {
  explicit Connection(asio::io_context& context)
      : client(context), server(context) {}

  void ResetBoth() {
    Reset(this->client);
    Reset(this->server);
  }

  Tcp::socket client;
  Tcp::socket server;
};

LoopbackProxy::LoopbackProxy(const Address& listen_address,
                             const Address& server_address)
    : server_address(server_address),
      acceptor(this->context),
      work(asio::make_work_guard(this->context)) {
  if (ListenOn(this->acceptor, listen_address)) {
    throw std::runtime_error(listen_address.ToString() +
                             " is not available to listen on");
  }
  asio::co_spawn(this->context, this->AcceptConnections(), asio::detached);
  this->thread = std::thread([this] { this->context.run(); });
}

LoopbackProxy::~LoopbackProxy() {
  this->context.stop();
  this->thread.join();
}

void LoopbackProxy::SetFault(const LinkFault& new_fault) {
  const std::lock_guard lock(this->mutex);
  this->fault = new_fault;
}

LinkFault LoopbackProxy::CurrentFault() const {
  const std::lock_guard lock(this->mutex);
  return this->fault;
}

void LoopbackProxy::ResetConnections() {
  asio::post(this->context, [this] {
    for (const std::weak_ptr<Connection>& weak_connection :
         std::exchange(this->connections, {})) {
      if (const std::shared_ptr<Connection> connection =
              weak_connection.lock()) {
        connection->ResetBoth();
      }
    }
  });
}

Awaitable<> LoopbackProxy::Wait(Duration time) {
  Timer timer(this->context, time);
  ErrorCode ignored;
  co_await timer.async_wait(Await(ignored));
}

Awaitable<> LoopbackProxy::AcceptConnections() {
  while (true) {
    const std::shared_ptr<Connection> connection =
        std::make_shared<Connection>(this->context);
    ErrorCode error;
    co_await this->acceptor.async_accept(connection->client, Await(error));
    if (error || this->CurrentFault().resets_new_connections) {
      Reset(connection->client);
      continue;
    }
    co_await connection->server.async_connect(ToEndpoint(this->server_address),
                                              Await(error));
    if (error) {
      Reset(connection->client);
      continue;
    }
    connection->client.set_option(Tcp::no_delay(true), error);
    connection->server.set_option(Tcp::no_delay(true), error);
    std::erase_if(this->connections,
                  [](const std::weak_ptr<Connection>& weak_connection) {
                    return weak_connection.expired();
                  });
    this->connections.push_back(connection);
    asio::co_spawn(this->context, this->Forward(connection, true),
                   asio::detached);
    asio::co_spawn(this->context, this->Forward(connection, false),
                   asio::detached);
  }
}

Awaitable<> LoopbackProxy::Forward(std::shared_ptr<Connection> connection,
                                   bool is_to_server) {
  Tcp::socket& source = is_to_server ? connection->client : connection->server;
  Tcp::socket& sink = is_to_server ? connection->server : connection->client;
  std::array<char, 16 * 1024> buffer = {};
  while (true) {
    ErrorCode error;
    const std::size_t count =
        co_await source.async_read_some(asio::buffer(buffer), Await(error));
    const Duration delay = this->CurrentFault().delay;
    if (delay > Duration::zero()) {
      co_await this->Wait(delay);
    }
    while (is_to_server ? this->CurrentFault().stalls_to_server
                        : this->CurrentFault().stalls_to_client) {
      co_await this->Wait(kStallPollInterval);
    }
    if (error == asio::error::eof) {
      sink.shutdown(Tcp::socket::shutdown_send, error);
      co_return;
    }
    if (error) {
      connection->ResetBoth();
      co_return;
    }
    co_await asio::async_write(sink, asio::buffer(buffer.data(), count),
                               Await(error));
    if (error) {
      connection->ResetBoth();
      co_return;
    }
  }
}

}  // namespace daisywinch::test
