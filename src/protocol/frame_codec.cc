#include "protocol/frame_codec.h"

#include <cstdint>

#include <boost/endian/conversion.hpp>

namespace daisywinch {

namespace {

/// Capacity in bytes above which an empty buffer is released.
constexpr std::size_t kMaxKeptCapacity = std::size_t{256} * 1024;

}  // namespace

std::string EncodeFrame(const protocol::CallFrame& frame) {
  std::string bytes(kFrameHeaderSize, '\0');
  frame.AppendToString(&bytes);
  boost::endian::store_big_u32(
      reinterpret_cast<unsigned char*>(bytes.data()),
      static_cast<std::uint32_t>(bytes.size() - kFrameHeaderSize));
  return bytes;
}

FrameDecoder::FrameDecoder(std::size_t size_limit) : size_limit(size_limit) {}

void FrameDecoder::Append(std::string_view bytes) {
  if (2 * this->consumed >= this->buffer.size()) {
    this->buffer.erase(0, this->consumed);
    this->consumed = 0;
  }
  this->buffer.append(bytes);
}

std::optional<protocol::CallFrame> FrameDecoder::Next() {
  const std::size_t available = this->buffer.size() - this->consumed;
  if (!this->last_error.empty() || available < kFrameHeaderSize) {
    return std::nullopt;
  }
  const char* start = this->buffer.data() + this->consumed;
  const std::size_t size = boost::endian::load_big_u32(
      reinterpret_cast<const unsigned char*>(start));
  if (size > this->size_limit) {
    this->last_error = "frame of " + std::to_string(size) +
                       " bytes exceeds the limit of " +
                       std::to_string(this->size_limit);
    return std::nullopt;
  }
  if (available < kFrameHeaderSize + size) {
    this->buffer.reserve(this->consumed + kFrameHeaderSize + size);
    return std::nullopt;
  }
  protocol::CallFrame frame;
  if (!frame.ParseFromArray(start + kFrameHeaderSize, static_cast<int>(size)) ||
      frame.content_case() == protocol::CallFrame::CONTENT_NOT_SET) {
    this->last_error = "frame does not contain a known message";
    return std::nullopt;
  }
  this->consumed += kFrameHeaderSize + size;
  if (this->consumed == this->buffer.size() &&
      this->buffer.capacity() > kMaxKeptCapacity) {
    this->buffer = std::string();
    this->consumed = 0;
  }
  return frame;
}

}  // namespace daisywinch
