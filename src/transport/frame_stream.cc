#include "transport/frame_stream.h"

#include <utility>

#include <boost/asio/buffer.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>

#include "state/duration.h"

namespace daisywinch {

namespace {

/// Silence after which received bytes may have been held back.
constexpr std::chrono::milliseconds kMaxTrustedSilence{500};

/// The current time in microseconds, rounded up, so that it is never before a
/// time that was measured earlier.
std::uint64_t CurrentMicroseconds() {
  return ToMicroseconds(BootTime::now().time_since_epoch()) + 1;
}

}  // namespace

FrameStream::FrameStream(asio::io_context& context,
                         asio::ssl::context* tls,
                         std::size_t size_limit,
                         MemoryBudget* memory)
    : FrameStream(Tcp::socket(context), tls, size_limit, memory) {}

FrameStream::FrameStream(Tcp::socket socket,
                         asio::ssl::context* tls,
                         std::size_t size_limit,
                         MemoryBudget* memory)
    : socket(std::move(socket)),
      last_received(BootTime::now()),
      last_resumed(this->last_received),
      decoder(size_limit),
      memory(memory, "peer", [this] {
        asio::post(
            this->socket.get_executor(), [weak = this->weak_from_this()] {
              if (const std::shared_ptr<FrameStream> self = weak.lock()) {
                self->Close();
              }
            });
      }) {
  if (tls != nullptr) {
    this->tls_stream = std::make_unique<TlsStream>(this->socket, *tls);
  }
}

Awaitable<bool> FrameStream::Connect(Address address, Duration timeout) {
  const std::shared_ptr<Timer> timeout_timer =
      std::make_shared<Timer>(this->socket.get_executor(), timeout);
  asio::co_spawn(this->socket.get_executor(),
                 this->CloseOnTimeout(this->shared_from_this(), timeout_timer),
                 asio::detached);
  ErrorCode error;
  co_await this->socket.async_connect(ToEndpoint(address), Await(error));
  timeout_timer->cancel();
  if (error) {
    this->Close();
    co_return false;
  }
  co_return co_await this->Handshake(asio::ssl::stream_base::client, timeout);
}

Awaitable<bool> FrameStream::Accept(Duration timeout) {
  co_return co_await this->Handshake(asio::ssl::stream_base::server, timeout);
}

Awaitable<bool> FrameStream::Handshake(
    asio::ssl::stream_base::handshake_type type,
    Duration timeout) {
  const std::shared_ptr<Timer> timeout_timer =
      std::make_shared<Timer>(this->socket.get_executor(), timeout);
  asio::co_spawn(this->socket.get_executor(),
                 this->CloseOnTimeout(this->shared_from_this(), timeout_timer),
                 asio::detached);
  ErrorCode error;
  this->socket.set_option(Tcp::no_delay(true), error);
  if (this->tls_stream) {
    co_await this->tls_stream->async_handshake(type, Await(error));
  }
  timeout_timer->cancel();
  if (error) {
    this->Close();
    co_return false;
  }
  co_return !this->closed;
}

Awaitable<> FrameStream::CloseOnTimeout(std::shared_ptr<FrameStream> self,
                                        std::shared_ptr<Timer> timeout_timer) {
  ErrorCode error;
  co_await timeout_timer->async_wait(Await(error));
  if (!error) {
    self->Close();
  }
}

Awaitable<std::optional<protocol::CallFrame>> FrameStream::Read() {
  while (!this->closed) {
    std::optional<protocol::CallFrame> frame = this->decoder.Next();
    this->memory.Resize(this->decoder.HeldBytes());
    if (frame) {
      co_return frame;
    }
    if (!this->decoder.LastError().empty()) {
      break;
    }
    ErrorCode error;
    std::size_t count = 0;
    if (this->tls_stream) {
      count = co_await this->tls_stream->async_read_some(
          asio::buffer(this->read_buffer), Await(error));
    } else {
      count = co_await this->socket.async_read_some(
          asio::buffer(this->read_buffer), Await(error));
    }
    if (error) {
      break;
    }
    const TimePoint now = BootTime::now();
    if (now - this->last_received >= kMaxTrustedSilence) {
      this->last_resumed = now;
    }
    this->last_received = now;
    this->decoder.Append({this->read_buffer.data(), count});
  }
  this->Close();
  co_return std::nullopt;
}

void FrameStream::Send(const protocol::CallFrame& frame,
                       std::function<bool()> should_send,
                       std::function<void()> on_finished) {
  if (this->closed) {
    if (on_finished) {
      on_finished();
    }
    return;
  }
  this->queue.push_back(
      {EncodeFrame(frame), std::move(should_send), std::move(on_finished)});
  if (!this->writing) {
    this->writing = true;
    asio::co_spawn(this->socket.get_executor(),
                   this->WriteQueue(this->shared_from_this()), asio::detached);
  }
}

void FrameStream::SendLast(const protocol::CallFrame& frame) {
  this->Send(frame, nullptr, [self = this->shared_from_this()] {
    ErrorCode ignored;
    self->socket.shutdown(Tcp::socket::shutdown_send, ignored);
  });
}

void FrameStream::SendPing() {
  protocol::CallFrame frame;
  frame.mutable_ping()->set_nonce(CurrentMicroseconds());
  this->Send(frame);
}

void FrameStream::SendPong(const protocol::Ping& ping) {
  protocol::CallFrame frame;
  frame.mutable_pong()->set_nonce(ping.nonce());
  frame.mutable_pong()->set_sent_at(CurrentMicroseconds());
  this->Send(frame);
}

std::string FrameStream::PeerIp() const {
  ErrorCode error;
  const Tcp::endpoint endpoint = this->socket.remote_endpoint(error);
  return error ? "" : endpoint.address().to_string();
}

Awaitable<> FrameStream::WriteQueue(std::shared_ptr<FrameStream> self) {
  while (!this->queue.empty() && !this->closed) {
    std::string bytes;
    std::deque<QueuedFrame> frames = std::exchange(this->queue, {});
    for (QueuedFrame& frame : frames) {
      const std::string frame_bytes = std::move(frame.bytes);
      if (!frame.should_send || frame.should_send()) {
        bytes += frame_bytes;
      }
    }
    ErrorCode error;
    if (this->tls_stream) {
      co_await asio::async_write(*this->tls_stream, asio::buffer(bytes),
                                 Await(error));
    } else {
      co_await asio::async_write(this->socket, asio::buffer(bytes),
                                 Await(error));
    }
    NotifyFinished(frames);
    if (error) {
      this->Close();
    }
  }
  self->writing = false;
}

void FrameStream::NotifyFinished(const std::deque<QueuedFrame>& frames) {
  for (const QueuedFrame& frame : frames) {
    if (frame.on_finished) {
      frame.on_finished();
    }
  }
}

void FrameStream::Close() {
  if (this->closed) {
    return;
  }
  this->closed = true;
  NotifyFinished(std::exchange(this->queue, {}));
  ErrorCode ignored;
  this->socket.close(ignored);
}

}  // namespace daisywinch
