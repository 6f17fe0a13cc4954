#ifndef DAISYWINCH_PROTOCOL_FRAME_CODEC_H
#define DAISYWINCH_PROTOCOL_FRAME_CODEC_H

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

#include "protocol/generated/peer_messages.pb.h"

namespace daisywinch {

/// A frame is its length in four bytes, most significant first, and the
/// encoded message.
constexpr std::size_t kFrameHeaderSize = 4;

/// Encodes a message as a frame.
std::string EncodeFrame(const protocol::CallFrame& frame);

/// Cuts a byte stream into frames.
class FrameDecoder {
 public:
  /// `size_limit` is the largest message in bytes that is accepted.
  explicit FrameDecoder(std::size_t size_limit);

  void Append(std::string_view bytes);

  /// The next whole frame. Nothing means that more bytes are needed, or, when
  /// LastError() is not empty, that the stream is broken for good.
  std::optional<protocol::CallFrame> Next();

  const std::string& LastError() const { return this->last_error; }

 private:
  std::size_t size_limit;
  std::string buffer;
  std::size_t consumed = 0;
  std::string last_error;
};

}  // namespace daisywinch

#endif  // DAISYWINCH_PROTOCOL_FRAME_CODEC_H
