#include "transport/call_server.h"

#include <algorithm>
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
/// Maximum time for which a shutdown waits, after the last call, for the peers
/// to close their connections.
constexpr std::chrono::milliseconds kLingerTime{500};
/// Time before the deadline of a shutdown at which the calls in progress are
/// cancelled.
constexpr std::chrono::milliseconds kCancellationMargin{100};
constexpr std::chrono::milliseconds kShutdownCheckInterval{10};

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
  ErrorCode error = ListenOn(this->acceptor, address);
  if (!error) {
    this->acceptor.non_blocking(true, error);
  }
  if (!error) {
    asio::co_spawn(this->context, this->Accept(), asio::detached);
  }
  return error;
}

Awaitable<> CallServer::ShutDown(TimePoint deadline) {
  this->is_shutting_down = true;
  // Closing the socket would reset the connections that are left.
  this->AcceptQueued();
  ErrorCode ignored;
  this->acceptor.close(ignored);
  for (const std::shared_ptr<Connection>& connection : this->connections) {
    this->EndIfIdle(*connection);
  }
  TimePoint end = std::min<TimePoint>(deadline, BootTime::now() + kLingerTime);
  while (!this->connections.empty() && BootTime::now() < end) {
    const TimePoint now = BootTime::now();
    if (this->calls_in_progress > 0) {
      end = std::min<TimePoint>(deadline, now + kLingerTime);
    }
    for (const std::shared_ptr<Connection>& connection : this->connections) {
      for (const auto& [call_id, cancellation] : connection->calls) {
        if (now >= deadline - kCancellationMargin) {
          cancellation->Cancel(CancellationCause::kShutdown);
        }
      }
    }
    Timer timer(this->context, kShutdownCheckInterval);
    co_await timer.async_wait(Await(ignored));
  }
}

Awaitable<> CallServer::Accept() {
  while (this->acceptor.is_open()) {
    ErrorCode error;
    co_await this->acceptor.async_wait(Tcp::acceptor::wait_read, Await(error));
    if (!this->acceptor.is_open()) {
      co_return;
    }
    if (error || !this->AcceptQueued()) {
      Timer timer(this->context, kAcceptRetryDelay);
      co_await timer.async_wait(Await(error));
    }
  }
}

bool CallServer::AcceptQueued() {
  ErrorCode error;
  while (!error) {
    Tcp::socket socket(this->context);
    this->acceptor.accept(socket, error);
    if (error || this->connections.size() >= kMaxConnections) {
      continue;
    }
    const std::shared_ptr<Connection> connection =
        std::make_shared<Connection>();
    connection->stream = std::make_shared<FrameStream>(
        std::move(socket), this->tls, this->size_limit);
    asio::co_spawn(this->context, this->Serve(connection), asio::detached);
  }
  return error == asio::error::would_block ||
         error == asio::error::connection_aborted;
}

void CallServer::EndIfIdle(Connection& connection) const {
  if (!this->is_shutting_down || !connection.is_authenticated ||
      connection.has_ended || !connection.calls.empty()) {
    return;
  }
  connection.has_ended = true;
  protocol::CallFrame frame;
  frame.mutable_end_of_replies();
  connection.stream->SendLast(frame);
}

Awaitable<> CallServer::Serve(std::shared_ptr<Connection> connection) {
  const auto position =
      this->connections.insert(this->connections.end(), connection);
  connection->is_authenticated =
      co_await connection->stream->Accept(kHandshakeTimeout);
  if (!connection->is_authenticated) {
    ++this->rejected_connections;
    LogEvent(EventId::kPeerRejected, {{"port", "peer"}});
  }
  this->EndIfIdle(*connection);
  while (connection->is_authenticated) {
    std::optional<protocol::CallFrame> frame =
        co_await connection->stream->Read();
    if (!frame) {
      break;
    }
    if (!connection->has_ended) {
      this->HandleFrame(connection, std::move(*frame));
    }
  }
  for (const auto& [call_id, cancellation] : connection->calls) {
    cancellation->Cancel(CancellationCause::kPeerLost);
  }
  this->connections.erase(position);
}

void CallServer::HandleFrame(const std::shared_ptr<Connection>& connection,
                             protocol::CallFrame frame) {
  if (frame.has_request()) {
    // Registered before the coroutine starts, as a connection without calls may
    // be ended at any time.
    const std::shared_ptr<Cancellation> cancellation =
        std::make_shared<Cancellation>();
    connection->calls[frame.request().call_id()] = cancellation;
    ++this->calls_in_progress;
    asio::co_spawn(
        this->context,
        this->HandleCall(connection, std::move(*frame.mutable_request()),
                         cancellation),
        asio::detached);
  } else if (frame.has_ping()) {
    protocol::CallFrame pong;
    pong.mutable_pong()->set_nonce(frame.ping().nonce());
    connection->stream->Send(pong);
  } else if (frame.has_cancel()) {
    const auto call = connection->calls.find(frame.cancel().call_id());
    if (call != connection->calls.end()) {
      call->second->Cancel(CancellationCause::kCancelledByPeer);
    }
  }
}

Awaitable<> CallServer::HandleCall(std::shared_ptr<Connection> connection,
                                   protocol::CallRequest request,
                                   std::shared_ptr<Cancellation> cancellation) {
  const std::uint64_t call_id = request.call_id();
  protocol::CallFrame frame;
  *frame.mutable_reply() =
      co_await this->handler(std::move(request), cancellation);
  frame.mutable_reply()->set_call_id(call_id);
  connection->calls.erase(call_id);
  connection->stream->Send(frame, nullptr,
                           [this] { --this->calls_in_progress; });
  this->EndIfIdle(*connection);
}

}  // namespace daisywinch
