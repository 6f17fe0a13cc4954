#include "transport/message_check.h"

#include <algorithm>
#include <cctype>
#include <string_view>

#include <boost/beast/core/string.hpp>

namespace daisywinch {

namespace {

constexpr unsigned kFirstFinalStatus = 200;
constexpr unsigned kLastStatus = 599;
constexpr std::string_view kChunked = "chunked";
/// The characters besides letters and digits that a token may have.
constexpr std::string_view kTokenPunctuation = "!#$%&'*+-.^_`|~";

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

/// Whether the text is a token (RFC 9110, 5.6.2), as a field name must be.
bool IsToken(std::string_view text) {
  return !text.empty() && std::ranges::all_of(text, [](char character) {
    return std::isalnum(static_cast<unsigned char>(character)) != 0 ||
           kTokenPunctuation.find(character) != std::string_view::npos;
  });
}

/// Whether the text has no control bytes but tabs (RFC 9110, 5.5).
bool IsFieldValue(std::string_view text) {
  return std::ranges::none_of(text, [](char character) {
    return character != '\t' &&
           std::iscntrl(static_cast<unsigned char>(character)) != 0;
  });
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

ErrorCode CheckRequestHeader(const http::request_header<>& header) {
  return HasKnownTransferCoding(header)
             ? ErrorCode()
             : ErrorCode(http::error::bad_transfer_encoding);
}

bool IsInvalidMessage(const ErrorCode& error) {
  const ErrorCode any_http_error = http::error::bad_status;
  return error.category() == any_http_error.category() &&
         error != http::error::end_of_stream &&
         error != http::error::partial_message &&
         error != http::error::header_limit && error != http::error::body_limit;
}

bool IsValidResponse(const protocol::CallReply& reply) {
  return IsFinalStatus(reply.status()) &&
         std::ranges::all_of(
             reply.headers(), [](const protocol::Header& header) {
               return IsToken(header.name()) && IsFieldValue(header.value());
             });
}

}  // namespace daisywinch
