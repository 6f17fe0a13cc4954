#ifndef DAISYWINCH_TRANSPORT_CALL_CLIENT_H
#define DAISYWINCH_TRANSPORT_CALL_CLIENT_H

#include <cstdint>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "state/clock.h"
#include "state/log_rate_limiter.h"
#include "state/refusal.h"
#include "transport/cancellation.h"
#include "transport/frame_stream.h"

namespace daisywinch {

/// Makes a reply for a call to which the gate sent none. The refusal reason
/// determines its outcome.
protocol::CallReply MakeRefusedReply(RefusalReason reason);

/// Sends calls to the gate of one other node over one connection.
///
/// Connects on the first call and again after a failure. A reply that matches
/// no pending call is dropped and counted. A reply with a response that can't
/// be passed on to a caller counts as a lost response. Not thread-safe: all
/// methods run on the thread of the context.
class CallClient : public std::enable_shared_from_this<CallClient> {
 public:
  CallClient(asio::io_context& context,
             asio::ssl::context* tls,
             const Clock& clock,
             const Address& address,
             std::size_t size_limit,
             MemoryBudget* memory = nullptr);

  /// Sends the request and waits for its reply until the deadline.
  ///
  /// Sets the call id and the remaining time of the request. The outcome of
  /// the reply is OUTCOME_NOT_RUN only if no byte of the request was handed to
  /// the operating system, or if the gate reported it, also by the end of its
  /// replies.
  Awaitable<protocol::CallReply> Call(
      protocol::CallRequest request,
      TimePoint deadline,
      std::shared_ptr<Cancellation> cancellation);

  void Close();

  std::uint64_t UnmatchedReplies() const { return this->unmatched_replies; }

 private:
  /// A call that waits for its reply.
  struct PendingCall {
    explicit PendingCall(asio::io_context& context)
        : completion_timer(context) {}

    Timer completion_timer;
    /// The connection on which the call is sent.
    std::shared_ptr<FrameStream> connection;
    std::string request_id;
    TimePoint started;
    bool sent = false;
    /// The call ended before its frame was written; the frame must not be
    /// sent.
    bool withdrawn = false;
    bool done = false;
    protocol::CallReply reply;
  };

  /// Connects unless a connection is open. Returns false if the attempt fails,
  /// or if the deadline passes or the call is cancelled first.
  Awaitable<bool> EnsureConnected(TimePoint deadline,
                                  std::shared_ptr<Cancellation> cancellation);
  /// Whether the peer is alive: it sent bytes within the liveness window or
  /// responds to a ping. False if the call is cancelled first.
  Awaitable<bool> CheckLiveness(std::shared_ptr<FrameStream> connection,
                                TimePoint deadline,
                                std::shared_ptr<Cancellation> cancellation);
  /// Checks the connection while calls are pending: pings the peer when nothing
  /// has been received for a while, and closes the connection if the peer
  /// remains silent.
  Awaitable<> MonitorLiveness(std::shared_ptr<CallClient> self,
                              std::shared_ptr<FrameStream> connection);
  static void WakeAll(std::vector<std::shared_ptr<Timer>>& timers);
  Awaitable<> Connect(std::shared_ptr<CallClient> self);
  Awaitable<> ReadReplies(std::shared_ptr<CallClient> self,
                          std::shared_ptr<FrameStream> connection);
  void HandleReply(protocol::CallReply reply);
  void LogInvalidReply(const std::string& request_id,
                       const protocol::CallReply& reply);
  /// Ends the calls on a connection that has ended: those that were sent with
  /// `reason`, and the others as not run.
  void FailPendingCalls(const std::shared_ptr<FrameStream>& connection,
                        RefusalReason reason);

  asio::io_context& context;
  asio::ssl::context* tls;
  const Clock& clock;
  Address address;
  std::size_t size_limit;
  MemoryBudget* memory;
  std::shared_ptr<FrameStream> stream;
  /// The newest time in a pong on this connection that no call has returned
  /// yet; 0 if there is none.
  std::uint64_t heard_at = 0;
  bool connecting = false;
  std::vector<std::shared_ptr<Timer>> connection_waiters;
  /// Calls that wait for the peer to respond to a ping.
  std::vector<std::shared_ptr<Timer>> liveness_waiters;
  std::unordered_map<std::uint64_t, std::shared_ptr<PendingCall>> pending;
  std::uint64_t next_call_id = 1;
  std::uint64_t unmatched_replies = 0;
  LogRateLimiter log_limiter;
};

}  // namespace daisywinch

#endif  // DAISYWINCH_TRANSPORT_CALL_CLIENT_H
