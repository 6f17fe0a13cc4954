#ifndef DAISYWINCH_TRANSPORT_BODY_READER_H
#define DAISYWINCH_TRANSPORT_BODY_READER_H

#include <algorithm>
#include <cstddef>
#include <string>

#include <boost/beast/core/error.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>

#include "state/memory_budget.h"
#include "transport/asio.h"
#include "transport/http.h"
#include "transport/message_reader.h"

namespace daisywinch {

/// Makes room for the next bytes of a body, and counts the bytes that it holds
/// `copies` times. A body that outgrows its memory is copied to a larger block,
/// so both are counted before.
inline void ReserveBody(std::string& body,
                        std::size_t copies,
                        MemoryBudget::Holder& memory) {
  const std::size_t needed = body.size() + kMaxBufferedBytes;
  if (body.capacity() < kMaxBufferedBytes) {
    // Not worth a copy.
    memory.Resize(copies * body.capacity());
    return;
  }
  if (body.capacity() < needed) {
    const std::size_t capacity = std::max(needed, body.size() * 3 / 2);
    memory.Resize(body.capacity() + copies * capacity);
    if (memory.IsBrokenOff()) {
      return;
    }
    body.reserve(capacity);
  }
  memory.Resize(copies * body.capacity());
}

/// Reads the body of a message whose header has been read by the parser. Stops
/// with an error, with boost::beast::error::timeout at the deadline, or when
/// the message is broken off for lack of memory.
template <typename Parser>
Awaitable<> ReadBody(boost::beast::tcp_stream& stream,
                     boost::beast::flat_buffer& buffer,
                     Parser& parser,
                     TimePoint deadline,
                     std::size_t copies,
                     MemoryBudget::Holder& memory,
                     ErrorCode& error) {
  // Parses one chunk at a time: an eager parser goes on for as long as bytes
  // arrive.
  parser.eager(false);
  const bool has_length = parser.content_length().has_value();
  while (!error && !parser.is_done()) {
    std::string& body = parser.get().body();
    if (has_length) {
      // The parser reserves the whole body before it reads the first byte.
      const std::size_t length = *parser.content_length();
      memory.Resize(copies * std::max(body.capacity(), length));
    } else {
      ReserveBody(body, copies, memory);
    }
    if (memory.IsBrokenOff()) {
      co_return;
    }
    if (BootTime::now() >= deadline) {
      // The timer of the stream doesn't expire while bytes keep arriving.
      error = boost::beast::error::timeout;
      co_return;
    }
    co_await ReadSome(stream, buffer, parser, error);
  }
}

}  // namespace daisywinch

#endif  // DAISYWINCH_TRANSPORT_BODY_READER_H
