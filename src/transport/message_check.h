#ifndef DAISYWINCH_TRANSPORT_MESSAGE_CHECK_H
#define DAISYWINCH_TRANSPORT_MESSAGE_CHECK_H

#include "protocol/generated/peer_messages.pb.h"
#include "transport/asio.h"
#include "transport/http.h"

namespace daisywinch {

// Decides whether what was received is a message that may be passed on. The
// HTTP library's parser accepts any status of three digits and any transfer
// coding. It takes the body of a response with an unknown coding as it comes,
// and that of such a request for the next request.

/// Whether the status is that of a final response (RFC 9110, 15). One without a
/// class is invalid, and an interim one ends no exchange.
bool IsFinalStatus(unsigned status);

/// Checks the header that a parser has read; returns no error if it is that of
/// a final response whose body the parser can delimit and decode.
ErrorCode CheckResponseHeader(
    const http::response_parser<http::string_body>& parser);

/// Checks the header of a request; returns no error if its body can be
/// delimited and decoded.
ErrorCode CheckRequestHeader(const http::request_header<>& header);

/// Whether the error means that the received bytes are no valid response,
/// rather than that the response is incomplete or too large.
bool IsInvalidMessage(const ErrorCode& error);

/// Whether a peer's reply with the response of a target can be passed on as an
/// HTTP response.
bool IsValidResponse(const protocol::CallReply& reply);

}  // namespace daisywinch

#endif  // DAISYWINCH_TRANSPORT_MESSAGE_CHECK_H
