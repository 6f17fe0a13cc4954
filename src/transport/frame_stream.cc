#include "transport/frame_stream.h"

#include <utility>

#include <boost/asio/buffer.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/write.hpp>

namespace daisywinch {

FrameStream::FrameStream(asio::io_context& context,
                         asio::ssl::context& tls,
                         std::size_t size_limit)
    : socket(context, tls), decoder(size_limit) {}

FrameStream::FrameStream(Tcp::socket socket,
                         asio::ssl::context& tls,
                         std::size_t size_limit)
    : socket(std::move(socket), tls), decoder(size_limit) {}

Awaitable<bool> FrameStream::Connect(Address address, Duration timeout) {
  const std::shared_ptr<Timer> guard =
      std::make_shared<Timer>(this->socket.get_executor(), timeout);
  asio::co_spawn(this->socket.get_executor(),
                 this->CloseAfter(this->shared_from_this(), guard),
                 asio::detached);
  ErrorCode error;
  co_await this->socket.lowest_layer().async_connect(ToEndpoint(address),
                                                     Await(error));
  guard->cancel();
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
  const std::shared_ptr<Timer> guard =
      std::make_shared<Timer>(this->socket.get_executor(), timeout);
  asio::co_spawn(this->socket.get_executor(),
                 this->CloseAfter(this->shared_from_this(), guard),
                 asio::detached);
  ErrorCode error;
  this->socket.lowest_layer().set_option(Tcp::no_delay(true), error);
  co_await this->socket.async_handshake(type, Await(error));
  guard->cancel();
  if (error) {
    this->Close();
    co_return false;
  }
  co_return !this->closed;
}

Awaitable<> FrameStream::CloseAfter(std::shared_ptr<FrameStream> self,
                                    std::shared_ptr<Timer> guard) {
  ErrorCode error;
  co_await guard->async_wait(Await(error));
  if (!error) {
    self->Close();
  }
}

Awaitable<std::optional<protocol::CallFrame>> FrameStream::Read() {
  while (!this->closed) {
    std::optional<protocol::CallFrame> frame = this->decoder.Next();
    if (frame) {
      co_return frame;
    }
    if (!this->decoder.LastReason().empty()) {
      break;
    }
    ErrorCode error;
    const std::size_t count = co_await this->socket.async_read_some(
        asio::buffer(this->read_buffer), Await(error));
    if (error) {
      break;
    }
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

Awaitable<> FrameStream::WriteQueue(std::shared_ptr<FrameStream> self) {
  while (!this->queue.empty() && !this->closed) {
    std::string bytes;
    const std::deque<QueuedFrame> frames = std::exchange(this->queue, {});
    for (const QueuedFrame& frame : frames) {
      if (!frame.should_send || frame.should_send()) {
        bytes += frame.bytes;
      }
    }
    ErrorCode error;
    co_await asio::async_write(this->socket, asio::buffer(bytes), Await(error));
    Finish(frames);
    if (error) {
      this->Close();
    }
  }
  self->writing = false;
}

void FrameStream::Finish(const std::deque<QueuedFrame>& frames) {
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
  Finish(std::exchange(this->queue, {}));
  ErrorCode ignored;
  this->socket.lowest_layer().close(ignored);
}

}  // namespace daisywinch
