#ifndef DAISYWINCH_TRANSPORT_CALL_SERVER_H
#define DAISYWINCH_TRANSPORT_CALL_SERVER_H

#include <atomic>
#include <cstdint>
#include <functional>
#include <list>
#include <memory>
#include <unordered_map>
#include <vector>

#include "transport/cancellation.h"
#include "transport/frame_stream.h"

namespace daisywinch {

/// Accepts connections from the ingresses of other nodes and serves the calls
/// on them. Runs on the thread of its context.
class CallServer {
 public:
  /// Produces the reply to one call. The cancellation fires when the ingress
  /// cancels the call, when its connection ends, and when the ingress is silent
  /// for so long that it may have lost its power or its link.
  using Handler = std::function<Awaitable<protocol::CallReply>(
      protocol::CallRequest,
      std::shared_ptr<Cancellation>)>;

  /// `memory` counts the bytes of calls and replies; null means no limit.
  CallServer(asio::io_context& context,
             asio::ssl::context* tls,
             std::size_t size_limit,
             Handler handler,
             MemoryBudget* memory = nullptr);

  /// Starts to listen; returns the error if the address cannot be bound.
  ErrorCode Listen(const Address& address);

  /// Stops listening and returns when the peers have closed all connections, or
  /// at the deadline.
  ///
  /// The handler gets the calls that arrive until a connection has none in
  /// progress; the peer learns that later ones have not run. Calls that are
  /// still in progress shortly before the deadline are cancelled.
  Awaitable<> ShutDown(TimePoint deadline);

  /// Number of calls whose reply has not been written yet. Thread-safe.
  int CallsInProgress() const { return this->calls_in_progress; }

  /// Number of connections whose handshake failed, for instance because the
  /// peer does not have the fleet's secret.
  std::uint64_t RejectedConnections() const {
    return this->rejected_connections;
  }

 private:
  /// A call that isn't started until its ingress confirms that it waits for it,
  /// or has had enough time to cancel it.
  struct HeldCall {
    protocol::CallRequest request;
    std::shared_ptr<Cancellation> cancellation;
    TimePoint arrived_at;
  };

  /// A connection and the cancellations of its calls in progress, by call id.
  struct Connection {
    std::shared_ptr<FrameStream> stream;
    std::unordered_map<std::uint64_t, std::shared_ptr<Cancellation>> calls;
    std::vector<HeldCall> held_calls;
    /// The newest time at which this server sent bytes that the ingress has
    /// received, so that what it has sent since then was not held back.
    TimePoint confirmed_at;
    /// Time without received bytes while calls are in progress. Doesn't grow
    /// while this process stands still.
    Duration silence = Duration::zero();
    /// Time of the last received bytes when `silence` was last reset.
    TimePoint silent_since;
    bool is_authenticated = false;
    /// Calls that arrive from now on are not handled.
    bool has_ended = false;
  };

  Awaitable<> Accept();
  /// Accepts the connections in the accept queue. Returns false if that failed,
  /// such as for lack of file descriptors.
  bool AcceptQueued();
  /// Ends the replies on a connection without calls during a shutdown.
  void EndIfIdle(Connection& connection) const;
  void HandleFrame(const std::shared_ptr<Connection>& connection,
                   protocol::CallFrame frame);
  void HandleRequest(const std::shared_ptr<Connection>& connection,
                     protocol::CallRequest request);
  /// Whether the calls that arrive now may have been held back, so that nobody
  /// may wait for them any more.
  static bool IsUnconfirmed(const Connection& connection);
  /// Records that the ingress has received what was sent at the given time, in
  /// microseconds of this server's clock.
  void Confirm(const std::shared_ptr<Connection>& connection,
               std::uint64_t sent_at);
  void StartHeldCalls(const std::shared_ptr<Connection>& connection);
  void StartCall(const std::shared_ptr<Connection>& connection,
                 protocol::CallRequest request,
                 std::shared_ptr<Cancellation> cancellation);
  /// Checks the connections on which calls are in progress: pings silent peers,
  /// closes the connections of those that don't respond, and starts calls that
  /// have been held for too long.
  Awaitable<> MonitorPeers();
  Awaitable<> Serve(std::shared_ptr<Connection> connection);
  Awaitable<> HandleCall(std::shared_ptr<Connection> connection,
                         protocol::CallRequest request,
                         std::shared_ptr<Cancellation> cancellation);

  asio::io_context& context;
  asio::ssl::context* tls;
  std::size_t size_limit;
  Handler handler;
  MemoryBudget* memory;
  Tcp::acceptor acceptor;
  std::list<std::shared_ptr<Connection>> connections;
  /// Runs between two checks of the peers.
  Timer monitor_timer;
  std::atomic<int> calls_in_progress = 0;
  std::uint64_t rejected_connections = 0;
  bool is_shutting_down = false;
};

}  // namespace daisywinch

#endif  // DAISYWINCH_TRANSPORT_CALL_SERVER_H
