#include "transport/call_server.h"

#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "state/event_log.h"
#include "transport/listen.h"

namespace daisywinch {

namespace {

constexpr std::chrono::milliseconds kHandshakeTimeout{2000};
constexpr std::chrono::milliseconds kAcceptRetryDelay{50};
constexpr std::size_t kMaxConnections = 4096;

}  // namespace

CallServer::CallServer(asio::io_context& context,
                       asio::ssl::context* tls,
                       std::size_t size_limit,
                       Handler handler)
    : context(context),
      tls(tls),
      size_limit(size_limit),
      handler(std::move(handler)),
      acceptor(context) {}

ErrorCode CallServer::Listen(const Address& address) {
  const ErrorCode error = ListenOn(this->acceptor, address);
  if (!error) {
    asio::co_spawn(this->context, this->Accept(), asio::detached);
  }
  return error;
}

void CallServer::StopAccepting() {
  ErrorCode ignored;
  this->acceptor.close(ignored);
}

void CallServer::CloseConnections() {
  for (const std::shared_ptr<Connection>& connection : this->connections) {
    connection->stream->Close();
  }
}

Awaitable<> CallServer::Accept() {
  while (this->acceptor.is_open()) {
    ErrorCode error;
    Tcp::socket socket(this->context);
    co_await this->acceptor.async_accept(socket, Await(error));
    if (error) {
      Timer timer(this->context, kAcceptRetryDelay);
      co_await timer.async_wait(Await(error));
      continue;
    }
    if (this->connections.size() >= kMaxConnections) {
      continue;
    }
    const std::shared_ptr<Connection> connection =
        std::make_shared<Connection>();
    connection->stream = std::make_shared<FrameStream>(
        std::move(socket), this->tls, this->size_limit);
    asio::co_spawn(this->context, this->Serve(connection), asio::detached);
  }
}

Awaitable<> CallServer::Serve(std::shared_ptr<Connection> connection) {
  const auto position =
      this->connections.insert(this->connections.end(), connection);
  const bool is_authenticated =
      co_await connection->stream->Accept(kHandshakeTimeout);
  if (!is_authenticated) {
    ++this->rejected_connections;
    LogEvent(EventId::kPeerRejected, {{"port", "peer"}});
  }
  while (is_authenticated) {
    std::optional<protocol::CallFrame> frame =
        co_await connection->stream->Read();
    if (!frame) {
      break;
    }
    if (frame->has_request()) {
      asio::co_spawn(
          this->context,
          this->HandleCall(connection, std::move(*frame->mutable_request())),
          asio::detached);
    } else if (frame->has_ping()) {
      protocol::CallFrame pong;
      pong.mutable_pong()->set_nonce(frame->ping().nonce());
      connection->stream->Send(pong);
    } else if (frame->has_cancel()) {
      const auto call = connection->calls.find(frame->cancel().call_id());
      if (call != connection->calls.end()) {
        call->second->Cancel();
      }
    }
  }
  for (const auto& [call_id, cancellation] : connection->calls) {
    cancellation->Cancel();
  }
  this->connections.erase(position);
}

Awaitable<> CallServer::HandleCall(std::shared_ptr<Connection> connection,
                                   protocol::CallRequest request) {
  const std::uint64_t call_id = request.call_id();
  const std::shared_ptr<Cancellation> cancellation =
      std::make_shared<Cancellation>();
  connection->calls[call_id] = cancellation;
  ++this->calls_in_progress;
  protocol::CallFrame frame;
  *frame.mutable_reply() =
      co_await this->handler(std::move(request), cancellation);
  frame.mutable_reply()->set_call_id(call_id);
  connection->calls.erase(call_id);
  connection->stream->Send(frame, nullptr,
                           [this] { --this->calls_in_progress; });
}

}  // namespace daisywinch
