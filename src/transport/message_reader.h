#ifndef DAISYWINCH_TRANSPORT_MESSAGE_READER_H
#define DAISYWINCH_TRANSPORT_MESSAGE_READER_H

#include <cstddef>
#include <string_view>

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/read_size.hpp>
#include <boost/beast/core/tcp_stream.hpp>

#include "transport/asio.h"
#include "transport/http.h"

namespace daisywinch {

/// Whether a field in a part of a header or trailer continues on the next line
/// (obs-fold; RFC 9112, 5.2).
inline bool HasFoldedLine(std::string_view fields) {
  return fields.find("\r\n ") != std::string_view::npos ||
         fields.find("\r\n\t") != std::string_view::npos;
}

/// Parses the next part of a message from the buffer.
///
/// Fails with http::error::bad_obs_fold if a field continues on the next line.
/// The parser would join the lines, and so hide a field whose name begins with
/// a blank, such as " Content-Length: 2".
template <bool is_request>
void ParseSome(boost::beast::flat_buffer& buffer,
               http::basic_parser<is_request>& parser,
               ErrorCode& error) {
  const bool was_in_header = !parser.is_header_done();
  const asio::const_buffer bytes = buffer.data();
  const std::size_t count = parser.put(bytes, error);
  // A trailer is parsed as a whole, together with the last chunk.
  const bool has_fields =
      was_in_header || (parser.chunked() && parser.is_done());
  if (has_fields &&
      HasFoldedLine({static_cast<const char*>(bytes.data()), count})) {
    error = http::error::bad_obs_fold;
  }
  buffer.consume(count);
}

/// Reads until the next part of a message is parsed, as http::async_read_some()
/// does, but refuses folded fields. The parser must not be eager.
template <bool is_request>
Awaitable<> ReadSome(boost::beast::tcp_stream& stream,
                     boost::beast::flat_buffer& buffer,
                     http::basic_parser<is_request>& parser,
                     ErrorCode& error) {
  constexpr std::size_t kMaxReadSize = 64 * 1024;
  error = http::error::need_more;
  while (error == http::error::need_more) {
    if (buffer.size() > 0) {
      ParseSome(buffer, parser, error);
      if (error != http::error::need_more) {
        co_return;
      }
    }
    const std::size_t size = boost::beast::read_size(buffer, kMaxReadSize);
    if (size == 0) {
      error = http::error::buffer_overflow;
      co_return;
    }
    const std::size_t count =
        co_await stream.async_read_some(buffer.prepare(size), Await(error));
    buffer.commit(count);
    if (error == asio::error::eof && parser.got_some()) {
      parser.put_eof(error);
    } else if (error == asio::error::eof) {
      error = http::error::end_of_stream;
    } else if (!error) {
      error = http::error::need_more;
    }
  }
}

/// Reads the header of a message.
template <bool is_request>
Awaitable<> ReadHeader(boost::beast::tcp_stream& stream,
                       boost::beast::flat_buffer& buffer,
                       http::basic_parser<is_request>& parser,
                       ErrorCode& error) {
  parser.eager(false);
  while (!error && !parser.is_header_done()) {
    co_await ReadSome(stream, buffer, parser, error);
  }
}

}  // namespace daisywinch

#endif  // DAISYWINCH_TRANSPORT_MESSAGE_READER_H
