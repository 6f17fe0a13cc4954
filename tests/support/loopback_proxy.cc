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

constexpr std::chrono::milliseconds kHoldInterval{10};

/// Closes a socket so that the other side sees a reset.
void Reset(Tcp::socket& socket) {
  ErrorCode ignored;
  socket.set_option(asio::socket_base::linger(true, 0), ignored);
  socket.close(ignored);
}

}  // namespace

struct LoopbackProxy::Pair {
  explicit Pair(asio::io_context& context) : client(context), server(context) {}

  void ResetBoth() {
    Reset(this->client);
    Reset(this->server);
  }

  Tcp::socket client;
  Tcp::socket server;
};

LoopbackProxy::LoopbackProxy(const Address& from, const Address& to)
    : to(to),
      acceptor(this->context),
      work(asio::make_work_guard(this->context)) {
  if (ListenOn(this->acceptor, from)) {
    throw std::runtime_error(from.ToString() + " cannot be used");
  }
  asio::co_spawn(this->context, this->Accept(), asio::detached);
  this->thread = std::thread([this] { this->context.run(); });
}

LoopbackProxy::~LoopbackProxy() {
  this->context.stop();
  this->thread.join();
}

void LoopbackProxy::SetFault(const LinkFault& next) {
  const std::lock_guard lock(this->mutex);
  this->fault = next;
}

LinkFault LoopbackProxy::CurrentFault() const {
  const std::lock_guard lock(this->mutex);
  return this->fault;
}

void LoopbackProxy::ResetConnections() {
  asio::post(this->context, [this] {
    for (const std::weak_ptr<Pair>& weak : std::exchange(this->pairs, {})) {
      if (const std::shared_ptr<Pair> pair = weak.lock()) {
        pair->ResetBoth();
      }
    }
  });
}

Awaitable<> LoopbackProxy::Sleep(Duration time) {
  Timer timer(this->context, time);
  ErrorCode ignored;
  co_await timer.async_wait(Await(ignored));
}

Awaitable<> LoopbackProxy::Accept() {
  while (true) {
    const std::shared_ptr<Pair> pair = std::make_shared<Pair>(this->context);
    ErrorCode error;
    co_await this->acceptor.async_accept(pair->client, Await(error));
    if (error || this->CurrentFault().resets) {
      Reset(pair->client);
      continue;
    }
    co_await pair->server.async_connect(ToEndpoint(this->to), Await(error));
    if (error) {
      Reset(pair->client);
      continue;
    }
    pair->client.set_option(Tcp::no_delay(true), error);
    pair->server.set_option(Tcp::no_delay(true), error);
    std::erase_if(this->pairs, [](const std::weak_ptr<Pair>& weak) {
      return weak.expired();
    });
    this->pairs.push_back(pair);
    asio::co_spawn(this->context, this->Carry(pair, true), asio::detached);
    asio::co_spawn(this->context, this->Carry(pair, false), asio::detached);
  }
}

Awaitable<> LoopbackProxy::Carry(std::shared_ptr<Pair> pair, bool forward) {
  Tcp::socket& source = forward ? pair->client : pair->server;
  Tcp::socket& sink = forward ? pair->server : pair->client;
  std::array<char, 16 * 1024> buffer = {};
  while (true) {
    ErrorCode error;
    const std::size_t count =
        co_await source.async_read_some(asio::buffer(buffer), Await(error));
    if (error == asio::error::eof) {
      sink.shutdown(Tcp::socket::shutdown_send, error);
      co_return;
    }
    if (error) {
      pair->ResetBoth();
      co_return;
    }
    const Duration delay = this->CurrentFault().delay;
    if (delay > Duration::zero()) {
      co_await this->Sleep(delay);
    }
    while (forward ? this->CurrentFault().silent_forward
                   : this->CurrentFault().silent_backward) {
      co_await this->Sleep(kHoldInterval);
    }
    co_await asio::async_write(sink, asio::buffer(buffer.data(), count),
                               Await(error));
    if (error) {
      pair->ResetBoth();
      co_return;
    }
  }
}

}  // namespace daisywinch::test
