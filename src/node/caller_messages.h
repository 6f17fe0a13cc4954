#ifndef DAISYWINCH_NODE_CALLER_MESSAGES_H
#define DAISYWINCH_NODE_CALLER_MESSAGES_H

#include <string_view>

#include "protocol/generated/peer_messages.pb.h"
#include "state/clock.h"
#include "state/configuration.h"
#include "transport/http.h"

namespace daisywinch {

// Turns callers' requests into messages to gates, and gates' replies into
// answers.

/// The key that came with a request; empty if there is none.
std::string_view ApiKeyOf(const HttpRequest& request);

/// Whether the caller says that it never sent this idempotency key before.
bool IsFirstAttempt(const HttpRequest& request);

/// Whether the request may be a repeat of one that runs at most once.
///
/// A refusal of this request then says nothing about the earlier ones, unless
/// it comes from the gate that keeps their record. Where the route is not
/// known, it may be one that runs at most once.
bool MayBeDuplicate(const HttpRequest& request, const Route* route);

/// The caller's own timeout, bounded by the route's.
Duration TimeoutOf(const HttpRequest& request, const Route& route);

/// Moves to the message what the target may see of the request: everything
/// but the key and what concerns the caller's connection only.
void MoveToCallRequest(HttpRequest& request, protocol::CallRequest& message);

/// The answer for a reply.
HttpResponse MakeResponse(protocol::CallReply reply, bool may_be_duplicate);

}  // namespace daisywinch

#endif  // DAISYWINCH_NODE_CALLER_MESSAGES_H
