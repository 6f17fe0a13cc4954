#include "transport/message_check.h"

#include <string_view>

#include <boost/beast/core/string.hpp>

namespace daisywinch {

namespace {

constexpr unsigned kFirstFinalStatus = 200;
constexpr unsigned kLastStatus = 599;
constexpr std::string_view kChunked = "chunked";

/// Whether a message has no transfer coding but a single "chunked". No request
/// asks for another one (RFC 9112, 7.4).
bool HasKnownTransferCoding(const http::fields& header) {
  int coding_count = 0;
  bool is_chunked = true;
  const auto [begin, end] = header.equal_range(http::field::transfer_encoding);
  for (auto field = begin; field != end; ++field) {
    for (const boost::beast::string_view coding :
         http::token_list(field->value())) {
      ++coding_count;
      is_chunked = is_chunked && boost::beast::iequals(coding, kChunked);
    }
  }
  return begin == end || (coding_count == 1 && is_chunked);
}

}  // namespace

bool IsFinalStatus(unsigned status) {
  return status >= kFirstFinalStatus && status <= kLastStatus;
}

ErrorCode CheckResponseHeader(
    const http::response_parser<http::string_body>& parser) {
  const http::response_header<>& header = parser.get().base();
  if (!IsFinalStatus(header.result_int())) {
    return http::error::bad_status;
  }
  // The fields of a response without a body describe another message.
  if (!parser.is_done() && !HasKnownTransferCoding(header)) {
    return http::error::bad_transfer_encoding;
  }
  return {};
}

}  // namespace daisywinch
