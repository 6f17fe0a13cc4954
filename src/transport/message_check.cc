#include "transport/message_check.h"

namespace daisywinch {

namespace {

constexpr unsigned kFirstFinalStatus = 200;
constexpr unsigned kLastStatus = 599;

}  // namespace

bool IsFinalStatus(unsigned status) {
  return status >= kFirstFinalStatus && status <= kLastStatus;
}

ErrorCode CheckResponseHeader(
    const http::response_parser<http::string_body>& parser) {
  return IsFinalStatus(parser.get().result_int())
             ? ErrorCode()
             : ErrorCode(http::error::bad_status);
}

}  // namespace daisywinch
