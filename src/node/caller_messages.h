#ifndef DAISYWINCH_NODE_CALLER_MESSAGES_H
#define DAISYWINCH_NODE_CALLER_MESSAGES_H

#include <string_view>

#include "protocol/generated/peer_messages.pb.h"
#include "state/clock.h"
#include "state/configuration.h"
#include "transport/http.h"

namespace daisywinch {

// Converts callers' requests to call messages for gates, and gates' replies to
// HTTP responses.

/// The customer's API key: the bearer token of the Authorization header. Empty
/// if there is none.
std::string_view ApiKeyOf(const HttpRequest& request);

/// Whether the caller states that this is the first request with its
/// idempotency key.
bool IsFirstAttempt(const HttpRequest& request);

/// Whether the request may be the duplicate of a request that must run at most
/// once: it has an idempotency key, is not marked as the first attempt, and its
/// route is not repeatable.
///
/// A refusal of a duplicate does not tell whether an earlier request ran,
/// unless it comes from the gate that has the record of the key. An unknown
/// route (`route` is null) is treated as not repeatable.
bool MayBeDuplicate(const HttpRequest& request, const Route* route);

/// The timeout that the caller requests in a header (in milliseconds), limited
/// to the route's; the route's timeout if the header is missing or invalid.
Duration TimeoutOf(const HttpRequest& request, const Route& route);

/// Moves the request to the call message for the gate, without the API key,
/// hop-by-hop headers and headers that the node evaluates. Other headers and
/// query parameters that contain the key are removed too, so that the target
/// never receives it.
void MoveToCallRequest(HttpRequest& request, protocol::CallRequest& message);

/// The response to the caller for a gate's reply.
///
/// If the request may be a duplicate and the reply does not come from a gate,
/// the response to a refusal says that it is unknown whether the request ran.
HttpResponse MakeResponse(protocol::CallReply reply, bool may_be_duplicate);

}  // namespace daisywinch

#endif  // DAISYWINCH_NODE_CALLER_MESSAGES_H
