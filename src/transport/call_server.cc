#include "transport/call_server.h"

#include <algorithm>
#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "state/duration.h"
#include "state/event_log.h"
#include "transport/call_client.h"
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
constexpr std::chrono::milliseconds kMonitorInterval{150};
/// Time without received bytes, while calls are in progress, after which the
/// peer is pinged and after which its connection is closed. Longer than the
/// times after which a CallClient does the same, so that its pings make those
/// of the server needless.
constexpr std::chrono::milliseconds kSilenceBeforePing{600};
constexpr std::chrono::milliseconds kSilenceBeforeClose{1200};
/// Maximum wait for the peer's confirmation of a call. Nodes of earlier
/// versions send none.
constexpr std::chrono::milliseconds kConfirmationTimeout{400};

}  // namespace

CallServer::CallServer(asio::io_context& context,
                       asio::ssl::context* tls,
                       std::size_t size_limit,
                       Handler handler,
                       MemoryBudget* memory)
    : context(context),
      tls(tls),
      size_limit(size_limit),
      handler(std::move(handler)),
      memory(memory),
      acceptor(context),
      monitor_timer(context) {}

ErrorCode CallServer::Listen(const Address& address) {
  ErrorCode error = ListenOn(this->acceptor, address);
  if (!error) {
    this->acceptor.non_blocking(true, error);
  }
  if (!error) {
    asio::co_spawn(this->context, this->Accept(), asio::detached);
    asio::co_spawn(this->context, this->MonitorPeers(), asio::detached);
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
        std::move(socket), this->tls, this->size_limit, this->memory);
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
  this->StartHeldCalls(connection);
  this->connections.erase(position);
}

void CallServer::HandleFrame(const std::shared_ptr<Connection>& connection,
                             protocol::CallFrame frame) {
  if (frame.has_request()) {
    this->HandleRequest(connection, std::move(*frame.mutable_request()));
  } else if (frame.has_ping()) {
    connection->stream->SendPong(frame.ping());
  } else if (frame.has_pong()) {
    this->Confirm(connection, frame.pong().nonce());
  } else if (frame.has_cancel()) {
    const auto call = connection->calls.find(frame.cancel().call_id());
    if (call != connection->calls.end()) {
      call->second->Cancel(CancellationCause::kCancelledByPeer);
    }
  }
}

void CallServer::HandleRequest(const std::shared_ptr<Connection>& connection,
                               protocol::CallRequest request) {
  // Registered before it starts, as a connection without calls may be ended at
  // any time.
  const std::shared_ptr<Cancellation> cancellation =
      std::make_shared<Cancellation>();
  connection->calls[request.call_id()] = cancellation;
  ++this->calls_in_progress;
  if (request.heard_at() != 0) {
    this->Confirm(connection, request.heard_at());
  }
  if (!IsUnconfirmed(*connection)) {
    this->StartCall(connection, std::move(request), cancellation);
    return;
  }
  if (connection->held_calls.empty()) {
    connection->stream->SendPing();
  }
  connection->held_calls.push_back(
      {std::move(request), cancellation, BootTime::now()});
}

bool CallServer::IsUnconfirmed(const Connection& connection) {
  return connection.stream->LastResumed() > connection.confirmed_at;
}

void CallServer::Confirm(const std::shared_ptr<Connection>& connection,
                         std::uint64_t sent_at) {
  connection->confirmed_at = std::max(
      connection->confirmed_at, TimePoint(std::chrono::microseconds(sent_at)));
  if (connection->held_calls.empty()) {
    return;
  }
  if (IsUnconfirmed(*connection)) {
    connection->stream->SendPing();
  } else {
    this->StartHeldCalls(connection);
  }
}

void CallServer::StartHeldCalls(const std::shared_ptr<Connection>& connection) {
  const TimePoint now = BootTime::now();
  for (HeldCall& call : std::exchange(connection->held_calls, {})) {
    const std::uint64_t remaining = call.request.remaining_microseconds();
    call.request.set_remaining_microseconds(
        remaining - std::min(remaining, ToMicroseconds(now - call.arrived_at)));
    this->StartCall(connection, std::move(call.request), call.cancellation);
  }
}

void CallServer::StartCall(const std::shared_ptr<Connection>& connection,
                           protocol::CallRequest request,
                           std::shared_ptr<Cancellation> cancellation) {
  asio::co_spawn(
      this->context,
      this->HandleCall(connection, std::move(request), std::move(cancellation)),
      asio::detached);
}

Awaitable<> CallServer::MonitorPeers() {
  while (this->acceptor.is_open() || !this->connections.empty()) {
    ErrorCode ignored;
    this->monitor_timer.expires_after(kMonitorInterval);
    co_await this->monitor_timer.async_wait(Await(ignored));
    const TimePoint now = BootTime::now();
    for (const std::shared_ptr<Connection>& connection : this->connections) {
      if (!connection->held_calls.empty() &&
          now - connection->held_calls.front().arrived_at >=
              kConfirmationTimeout) {
        connection->confirmed_at = connection->stream->LastResumed();
        this->StartHeldCalls(connection);
      }
      const TimePoint last_received = connection->stream->LastReceived();
      if (connection->calls.empty() ||
          last_received != connection->silent_since) {
        connection->silent_since = last_received;
        connection->silence = Duration::zero();
        continue;
      }
      connection->silence += kMonitorInterval;
      if (connection->silence >= kSilenceBeforeClose) {
        LogEvent(
            EventId::kPeerSilent,
            {{"ip", connection->stream->PeerIp()},
             {"calls", static_cast<std::uint64_t>(connection->calls.size())}});
        connection->stream->Close();
      } else if (connection->silence >= kSilenceBeforePing) {
        connection->stream->SendPing();
      }
    }
  }
}

Awaitable<> CallServer::HandleCall(std::shared_ptr<Connection> connection,
                                   protocol::CallRequest request,
                                   std::shared_ptr<Cancellation> cancellation) {
  const std::uint64_t call_id = request.call_id();
  const std::shared_ptr<MemoryBudget::Holder> holder =
      std::make_shared<MemoryBudget::Holder>(this->memory, "call", nullptr);
  holder->Resize(request.body().size());
  protocol::CallFrame frame;
  if (cancellation->IsCancelled()) {
    *frame.mutable_reply() = MakeRefusedReply(RefusalReason::kCancelledUnsent);
  } else {
    *frame.mutable_reply() =
        co_await this->handler(std::move(request), cancellation);
  }
  frame.mutable_reply()->set_call_id(call_id);
  connection->calls.erase(call_id);
  holder->Resize(frame.reply().body().size());
  connection->stream->Send(frame, nullptr,
                           [this, holder] { --this->calls_in_progress; });
  this->EndIfIdle(*connection);
}

}  // namespace daisywinch
