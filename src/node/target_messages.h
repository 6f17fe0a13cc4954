#ifndef DAISYWINCH_NODE_TARGET_MESSAGES_H
#define DAISYWINCH_NODE_TARGET_MESSAGES_H

#include <string>

#include "protocol/generated/peer_messages.pb.h"
#include "state/clock.h"
#include "transport/http.h"
#include "transport/target_client.h"

namespace daisywinch {

// Turns calls into requests to the target, and its answers into replies.

/// The request to the target, with the handle and the time left.
HttpRequest MakeTargetRequest(const protocol::CallRequest& call,
                              const std::string& handle,
                              Duration remaining);

/// Whether a target says that it shed a request before starting it.
bool IsShed(const HttpResponse& response);

/// The reply for an exchange with the target, however it ended.
protocol::CallReply MakeReply(TargetExchange exchange);

}  // namespace daisywinch

#endif  // DAISYWINCH_NODE_TARGET_MESSAGES_H
