#ifndef DAISYWINCH_TRANSPORT_FRAME_STREAM_H
#define DAISYWINCH_TRANSPORT_FRAME_STREAM_H

#include <array>
#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>

#include <boost/asio/ssl/stream.hpp>

#include "protocol/frame_codec.h"
#include "state/memory_budget.h"
#include "transport/asio.h"

namespace daisywinch {

/// A connection between two nodes that carries frames in both directions,
/// encrypted with TLS if the fleet has a secret.
///
/// Frames that are queued during a write are sent together by the next write.
/// Runs on the thread of its context.
class FrameStream : public std::enable_shared_from_this<FrameStream> {
 public:
  using TlsStream = asio::ssl::stream<Tcp::socket&>;

  /// `tls` is null for an unencrypted connection. `size_limit` is the maximum
  /// size of a received message in bytes. `memory` counts the bytes of a
  /// message that is being received; null means no limit. If it is exceeded,
  /// the connection with the largest one is closed.
  FrameStream(asio::io_context& context,
              asio::ssl::context* tls,
              std::size_t size_limit,
              MemoryBudget* memory = nullptr);
  FrameStream(Tcp::socket socket,
              asio::ssl::context* tls,
              std::size_t size_limit,
              MemoryBudget* memory = nullptr);

  /// Connects and performs the TLS handshake as the client. Returns false on
  /// failure. The timeout applies to each of the two steps.
  Awaitable<bool> Connect(Address address, Duration timeout);
  /// Performs the TLS handshake as the server. Returns false on failure.
  Awaitable<bool> Accept(Duration timeout);

  /// Reads the next frame. Returns nothing, and closes the connection, when the
  /// connection ends or the peer sends an invalid frame.
  Awaitable<std::optional<protocol::CallFrame>> Read();

  /// Queues a frame. Calls `should_send` just before the first byte is handed
  /// to the operating system and drops the frame if it returns false; does not
  /// call it if the connection ends first. Calls `on_finished` once the frame
  /// was written or dropped.
  void Send(const protocol::CallFrame& frame,
            std::function<bool()> should_send = nullptr,
            std::function<void()> on_finished = nullptr);

  /// Queues a frame as the last one; reading goes on.
  void SendLast(const protocol::CallFrame& frame);

  /// Asks the peer to respond with a pong.
  void SendPing();
  /// Responds to a ping.
  void SendPong(const protocol::Ping& ping);

  /// IP address of the peer; empty if it isn't connected.
  std::string PeerIp() const;

  void Close();
  bool IsClosed() const { return this->closed; }

  /// Time at which bytes were last received; at first, the time of creation.
  TimePoint LastReceived() const { return this->last_received; }
  /// Time at which bytes last arrived after a silence so long that they may
  /// have been held back on the way or by this process; at first, the time of
  /// creation.
  TimePoint LastResumed() const { return this->last_resumed; }

 private:
  struct QueuedFrame {
    std::string bytes;
    std::function<bool()> should_send;
    std::function<void()> on_finished;
  };

  static void NotifyFinished(const std::deque<QueuedFrame>& frames);
  Awaitable<> WriteQueue(std::shared_ptr<FrameStream> self);
  Awaitable<bool> Handshake(asio::ssl::stream_base::handshake_type type,
                            Duration timeout);
  /// Closes the connection unless the timer is cancelled before it expires.
  Awaitable<> CloseOnTimeout(std::shared_ptr<FrameStream> self,
                             std::shared_ptr<Timer> timeout_timer);

  Tcp::socket socket;
  std::unique_ptr<TlsStream> tls_stream;
  TimePoint last_received;
  TimePoint last_resumed;
  FrameDecoder decoder;
  /// Counts the bytes in the decoder.
  MemoryBudget::Holder memory;
  std::deque<QueuedFrame> queue;
  std::array<char, 16 * 1024> read_buffer = {};
  bool writing = false;
  bool closed = false;
};

}  // namespace daisywinch

#endif  // DAISYWINCH_TRANSPORT_FRAME_STREAM_H
