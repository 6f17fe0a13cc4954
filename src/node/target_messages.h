#ifndef DAISYWINCH_NODE_TARGET_MESSAGES_H
#define DAISYWINCH_NODE_TARGET_MESSAGES_H

#include <string>

#include "protocol/generated/peer_messages.pb.h"
#include "state/clock.h"
#include "transport/http.h"
#include "transport/target_client.h"

namespace daisywinch {

// Converts calls to HTTP requests to the target, and its responses to replies.

/// The request to the target for a call. Its headers contain the handle, which
/// the target copies into nested calls, and the time left in milliseconds.
HttpRequest MakeTargetRequest(const protocol::CallRequest& call,
                              const std::string& handle,
                              Duration remaining);

/// Whether the target shed the request before starting it: status 503 and the
/// outcome header "not-run".
bool IsShed(const HttpResponse& response);

/// The reply to the ingress for an exchange with the target. If the target did
/// not respond, the reply is a refusal with the reason.
protocol::CallReply MakeReply(TargetExchange exchange);

}  // namespace daisywinch

#endif  // DAISYWINCH_NODE_TARGET_MESSAGES_H
