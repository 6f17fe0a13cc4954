#ifndef DAISYWINCH_PROTOCOL_FRAME_CODEC_H
#define DAISYWINCH_PROTOCOL_FRAME_CODEC_H

#include <cstddef>
#include <optional>
#include <string>
#include <string_view>

#include "protocol/generated/peer_messages.pb.h"

namespace daisywinch {

/// Size of the header of a frame in bytes. A frame consists of the length of
/// the encoded message as a 32-bit big-endian number, and the message.
constexpr std::size_t kFrameHeaderSize = 4;

/// Encodes a message as a frame.
std::string EncodeFrame(const protocol::CallFrame& frame);

/// Splits a byte stream into frames and decodes them.
class FrameDecoder {
 public:
  /// `size_limit` is the maximum accepted size of a message in bytes.
  explicit FrameDecoder(std::size_t size_limit);

  void Append(std::string_view bytes);

  /// The next complete frame. Returns nothing if more bytes are needed or, when
  /// LastError() is not empty, if the stream is invalid; the error is
  /// permanent.
  std::optional<protocol::CallFrame> Next();

  const std::string& LastError() const { return this->last_error; }
  /// Bytes of memory held for received bytes and the message that they begin.
  std::size_t HeldBytes() const { return this->buffer.capacity(); }

 private:
  std::size_t size_limit;
  std::string buffer;
  std::size_t consumed = 0;
  std::string last_error;
};

}  // namespace daisywinch

#endif  // DAISYWINCH_PROTOCOL_FRAME_CODEC_H
