#include "transport/call_client.h"

#include <algorithm>
#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "state/event_log.h"
#include "transport/message_check.h"

namespace daisywinch {

namespace {

constexpr std::chrono::milliseconds kConnectTimeout{500};
/// Time after the last received bytes during which the peer counts as alive.
constexpr std::chrono::milliseconds kLivenessWindow{150};
/// Maximum wait for the response to a ping before a call is sent.
constexpr std::chrono::milliseconds kLivenessTimeout{250};
/// Time without received bytes, while calls are pending, after which the peer
/// is pinged and after which the connection is closed. A process on a shared
/// CPU may stall for 0.1 s several times in a row, which must not close it.
constexpr std::chrono::milliseconds kSilenceBeforePing{250};
constexpr std::chrono::milliseconds kSilenceBeforeClose{800};
constexpr std::chrono::milliseconds kLivenessCheckInterval{150};

/// The id by which the log names a request: that of the caller's attempt, or of
/// the root request.
const std::string& RequestIdOf(const protocol::CallRequest& request) {
  return request.attempt_id().empty() ? request.root_id()
                                      : request.attempt_id();
}

/// Takes the response out of a reply and reports it as lost. What the gate says
/// about itself stays.
void ReplaceResponse(protocol::CallReply& reply) {
  const protocol::CallReply refusal =
      MakeRefusedReply(RefusalReason::kResponseLost);
  reply.set_outcome(refusal.outcome());
  reply.set_reason(refusal.reason());
  reply.clear_status();
  reply.clear_headers();
  reply.clear_body();
}

}  // namespace

protocol::CallReply MakeRefusedReply(RefusalReason reason) {
  const Refusal& refusal = Describe(reason);
  protocol::CallReply reply;
  reply.set_outcome(refusal.execution == Execution::kNotRun
                        ? protocol::OUTCOME_NOT_RUN
                        : protocol::OUTCOME_UNKNOWN);
  reply.set_reason(static_cast<std::uint32_t>(reason));
  return reply;
}

CallClient::CallClient(asio::io_context& context,
                       asio::ssl::context* tls,
                       const Clock& clock,
                       const Address& address,
                       std::size_t size_limit,
                       MemoryBudget* memory)
    : context(context),
      tls(tls),
      clock(clock),
      address(address),
      size_limit(size_limit),
      memory(memory),
      log_limiter(clock.Now()) {}

Awaitable<protocol::CallReply> CallClient::Call(
    protocol::CallRequest request,
    TimePoint deadline,
    std::shared_ptr<Cancellation> cancellation) {
  const std::shared_ptr<CallClient> self = this->shared_from_this();
  const bool connected = co_await this->EnsureConnected(deadline, cancellation);
  if (cancellation->IsCancelled()) {
    co_return MakeRefusedReply(RefusalReason::kCancelledUnsent);
  }
  if (!connected) {
    co_return MakeRefusedReply(RefusalReason::kTargetUnreachable);
  }
  const std::shared_ptr<FrameStream> connection = this->stream;
  const bool is_alive =
      co_await this->CheckLiveness(connection, deadline, cancellation);
  if (cancellation->IsCancelled()) {
    co_return MakeRefusedReply(RefusalReason::kCancelledUnsent);
  }
  if (!is_alive) {
    co_return MakeRefusedReply(RefusalReason::kTargetUnreachable);
  }
  const std::uint64_t call_id = this->next_call_id++;
  request.set_call_id(call_id);
  request.set_heard_at(std::exchange(this->heard_at, 0));
  const Duration remaining = deadline - this->clock.Now();
  request.set_remaining_microseconds(std::max<std::int64_t>(
      0, std::chrono::duration_cast<std::chrono::microseconds>(remaining)
             .count()));
  const std::shared_ptr<PendingCall> call =
      std::make_shared<PendingCall>(this->context);
  this->pending[call_id] = call;
  call->connection = connection;
  call->started = this->clock.Now();
  {
    // Ends before the wait, so that the request isn't held meanwhile.
    protocol::CallFrame frame;
    *frame.mutable_request() = std::move(request);
    connection->Send(frame, [call] {
      call->sent = !call->withdrawn;
      return call->sent;
    });
    call->request_id = RequestIdOf(frame.request());
  }

  call->completion_timer.expires_at(deadline);
  if (!call->done) {
    co_await WaitUnlessCancelled(call->completion_timer, cancellation);
  }
  this->pending.erase(call_id);
  if (call->done) {
    co_return std::move(call->reply);
  }
  const bool was_cancelled = cancellation->IsCancelled();
  if (!call->sent) {
    call->withdrawn = true;
    co_return MakeRefusedReply(was_cancelled
                                   ? RefusalReason::kCancelledUnsent
                                   : RefusalReason::kDeadlineTooShort);
  }
  protocol::CallFrame cancel;
  cancel.mutable_cancel()->set_call_id(call_id);
  connection->Send(cancel);
  co_return MakeRefusedReply(was_cancelled ? RefusalReason::kCancelled
                                           : RefusalReason::kDeadlinePassed);
}

Awaitable<bool> CallClient::CheckLiveness(
    std::shared_ptr<FrameStream> connection,
    TimePoint deadline,
    std::shared_ptr<Cancellation> cancellation) {
  const TimePoint started = this->clock.Now();
  if (started - connection->LastReceived() <= kLivenessWindow) {
    co_return !connection->IsClosed();
  }
  if (this->liveness_waiters.empty()) {
    connection->SendPing();
  }
  const std::shared_ptr<Timer> waiter = std::make_shared<Timer>(
      this->context, std::min<TimePoint>(deadline, started + kLivenessTimeout));
  this->liveness_waiters.push_back(waiter);
  co_await WaitUnlessCancelled(*waiter, cancellation);
  const bool is_alive = connection->LastReceived() >= started;
  if (!is_alive) {
    std::erase(this->liveness_waiters, waiter);
    if (this->pending.empty() && !cancellation->IsCancelled()) {
      connection->Close();
    }
  }
  co_return is_alive && !connection->IsClosed();
}

Awaitable<> CallClient::MonitorLiveness(
    std::shared_ptr<CallClient> self,
    std::shared_ptr<FrameStream> connection) {
  while (!connection->IsClosed()) {
    Timer timer(this->context, kLivenessCheckInterval);
    ErrorCode ignored;
    co_await timer.async_wait(Await(ignored));
    const TimePoint now = this->clock.Now();
    TimePoint oldest_start = now;
    for (const auto& [call_id, call] : self->pending) {
      if (call->connection == connection) {
        oldest_start = std::min(oldest_start, call->started);
      }
    }
    const Duration silence =
        now - std::max(oldest_start, connection->LastReceived());
    if (silence >= kSilenceBeforeClose) {
      connection->Close();
    } else if (silence >= kSilenceBeforePing) {
      connection->SendPing();
    }
  }
}

void CallClient::WakeAll(std::vector<std::shared_ptr<Timer>>& timers) {
  for (const std::shared_ptr<Timer>& timer : std::exchange(timers, {})) {
    timer->cancel();
  }
}

void CallClient::Close() {
  if (this->stream) {
    this->stream->Close();
  }
}

Awaitable<bool> CallClient::EnsureConnected(
    TimePoint deadline,
    std::shared_ptr<Cancellation> cancellation) {
  if (this->stream && !this->stream->IsClosed()) {
    co_return true;
  }
  if (!this->connecting) {
    this->connecting = true;
    asio::co_spawn(this->context, this->Connect(this->shared_from_this()),
                   asio::detached);
  }
  const std::shared_ptr<Timer> waiter =
      std::make_shared<Timer>(this->context, deadline);
  this->connection_waiters.push_back(waiter);
  co_await WaitUnlessCancelled(*waiter, std::move(cancellation));
  co_return this->stream && !this->stream->IsClosed();
}

Awaitable<> CallClient::Connect(std::shared_ptr<CallClient> self) {
  const std::shared_ptr<FrameStream> connection = std::make_shared<FrameStream>(
      this->context, this->tls, this->size_limit, this->memory);
  const bool connected =
      co_await connection->Connect(this->address, kConnectTimeout);
  if (connected) {
    this->stream = connection;
    this->heard_at = 0;
    asio::co_spawn(this->context, this->ReadReplies(self, connection),
                   asio::detached);
    asio::co_spawn(this->context, this->MonitorLiveness(self, connection),
                   asio::detached);
  }
  this->connecting = false;
  WakeAll(this->connection_waiters);
}

Awaitable<> CallClient::ReadReplies(std::shared_ptr<CallClient> self,
                                    std::shared_ptr<FrameStream> connection) {
  RefusalReason reason = RefusalReason::kResponseLost;
  while (true) {
    std::optional<protocol::CallFrame> frame = co_await connection->Read();
    if (!frame) {
      break;
    }
    WakeAll(self->liveness_waiters);
    if (frame->has_reply()) {
      self->HandleReply(std::move(*frame->mutable_reply()));
    } else if (frame->has_ping()) {
      connection->SendPong(frame->ping());
    } else if (frame->has_pong() && self->stream == connection) {
      self->heard_at = frame->pong().sent_at();
    } else if (frame->has_end_of_replies()) {
      connection->Close();
      reason = RefusalReason::kDraining;
    }
  }
  if (self->stream == connection) {
    self->stream.reset();
  }
  self->FailPendingCalls(connection, reason);
}

void CallClient::HandleReply(protocol::CallReply reply) {
  const auto found = this->pending.find(reply.call_id());
  if (found == this->pending.end()) {
    ++this->unmatched_replies;
    return;
  }
  const std::shared_ptr<PendingCall> call = found->second;
  if (reply.outcome() == protocol::OUTCOME_ANSWERED &&
      !IsValidResponse(reply)) {
    this->LogInvalidReply(call->request_id, reply);
    ReplaceResponse(reply);
  }
  call->reply = std::move(reply);
  call->done = true;
  call->completion_timer.cancel();
}

void CallClient::LogInvalidReply(const std::string& request_id,
                                 const protocol::CallReply& reply) {
  const std::optional<std::uint64_t> left_out =
      this->log_limiter.TryAcquire(true, this->clock.Now());
  if (left_out) {
    LogEvent(EventId::kPeerReplyInvalid, {{"peer", this->address.ToString()},
                                          {"request", request_id},
                                          {"status", reply.status()},
                                          {"left_out", *left_out}});
  }
}

void CallClient::FailPendingCalls(
    const std::shared_ptr<FrameStream>& connection,
    RefusalReason reason) {
  for (auto& [call_id, call] : this->pending) {
    if (call->done || call->connection != connection) {
      continue;
    }
    call->reply = MakeRefusedReply(
        call->sent ? reason : RefusalReason::kTargetUnreachable);
    call->done = true;
    call->completion_timer.cancel();
  }
}

}  // namespace daisywinch
