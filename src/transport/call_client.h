#ifndef DAISYWINCH_TRANSPORT_CALL_CLIENT_H
#define DAISYWINCH_TRANSPORT_CALL_CLIENT_H

#include <cstdint>
#include <memory>
#include <string>
#include <unordered_map>
#include <vector>

#include "state/clock.h"
#include "state/refusal.h"
#include "transport/cancellation.h"
#include "transport/frame_stream.h"

namespace daisywinch {

/// Makes a reply in place of one that never came.
protocol::CallReply MakeRefusedReply(RefusalReason reason);

/// Sends calls to the gate of one other node over one connection.
///
/// Connects on the first call and again after a failure. A reply that matches
/// no waiting call is dropped and counted.
class CallClient : public std::enable_shared_from_this<CallClient> {
 public:
  CallClient(asio::io_context& context,
             asio::ssl::context* tls,
             const Clock& clock,
             const Address& address,
             std::size_t size_limit);

  /// Sends the request and waits for its reply until the deadline.
  ///
  /// The outcome is "not run" only if no byte of the request was handed to
  /// the operating system, or the gate said so.
  Awaitable<protocol::CallReply> Call(
      protocol::CallRequest request,
      TimePoint deadline,
      std::shared_ptr<Cancellation> cancellation);

  void Close();

  std::uint64_t UnmatchedReplies() const { return this->unmatched_replies; }

 private:
  /// A call whose reply has not come.
  struct PendingCall {
    explicit PendingCall(asio::io_context& context)
        : completion_timer(context) {}

    Timer completion_timer;
    TimePoint started;
    bool sent = false;
    /// Given up before it was sent; it must not be sent any more.
    bool withdrawn = false;
    bool done = false;
    protocol::CallReply reply;
  };

  /// Connects unless connected; false if that fails before the deadline.
  Awaitable<bool> EnsureConnected(TimePoint deadline);
  /// Whether the other side has shown lately that it is there; asks it if not.
  Awaitable<bool> CheckLiveness(std::shared_ptr<FrameStream> connection,
                                TimePoint deadline);
  /// Closes the connection when calls wait on it and nothing comes any more.
  Awaitable<> MonitorLiveness(std::shared_ptr<CallClient> self,
                              std::shared_ptr<FrameStream> connection);
  static void SendPing(FrameStream& connection);
  static void WakeAll(std::vector<std::shared_ptr<Timer>>& timers);
  Awaitable<> Connect(std::shared_ptr<CallClient> self);
  Awaitable<> ReadReplies(std::shared_ptr<CallClient> self,
                          std::shared_ptr<FrameStream> connection);
  void HandleReply(protocol::CallReply reply);
  void FailPendingCalls();

  asio::io_context& context;
  asio::ssl::context* tls;
  const Clock& clock;
  Address address;
  std::size_t size_limit;
  std::shared_ptr<FrameStream> stream;
  bool connecting = false;
  std::vector<std::shared_ptr<Timer>> connection_waiters;
  /// Calls that wait for a sign of the other side.
  std::vector<std::shared_ptr<Timer>> liveness_waiters;
  std::unordered_map<std::uint64_t, std::shared_ptr<PendingCall>> pending;
  std::uint64_t next_call_id = 1;
  std::uint64_t unmatched_replies = 0;
};

}  // namespace daisywinch

#endif  // DAISYWINCH_TRANSPORT_CALL_CLIENT_H
