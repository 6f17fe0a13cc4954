#ifndef DAISYWINCH_PLATFORM_ATTEMPT_MESSAGES_H
#define DAISYWINCH_PLATFORM_ATTEMPT_MESSAGES_H

#include <optional>
#include <string>

#include "protocol/generated/peer_messages.pb.h"
#include "state/clock.h"
#include "transport/http.h"

namespace daisywinch::platform {

/// What the headers of a caller's request say.
struct AttemptHeaders {
  /// Names this one try of the caller; empty if it sent no name.
  std::string attempt_id;
  /// How long the caller will wait, if it says.
  std::optional<Duration> timeout;
  /// Empty if no key came with the request.
  std::string key;
};

AttemptHeaders ReadAttemptHeaders(const HttpRequest& request);

/// Moves a request into a message for a gate, without the key and without the
/// headers that the system sets itself.
void MoveToMessage(HttpRequest& request, protocol::CallRequest& message);

/// The request that a target gets, with the time that is left.
HttpRequest MakeTargetRequest(const protocol::CallRequest& call,
                              Duration remaining);

/// How a target took a request, by the answer it gave.
enum class ResponseClass {
  /// The answer is the target's and whole.
  kAnswered,
  /// The target says that it did not run the request.
  kNotRun,
  /// Another target has the address; the request was not run.
  kOtherTarget,
  /// The bytes are no answer to this request.
  kInvalid,
};

ResponseClass ClassifyResponse(const HttpResponse& response,
                               const std::string& attempt_id);

/// Moves a target's answer into a reply, without the headers of the one
/// connection.
void MoveToReply(HttpResponse& response, protocol::CallReply& reply);

/// The answer for a caller, from a target's.
HttpResponse MakeCallerResponse(protocol::CallReply& reply);

/// An answer of the system's own. `retry_after` goes with refusals that are
/// true promises that the request has not run.
HttpResponse MakeRefusal(unsigned status,
                         const std::string& attempt_id,
                         std::uint32_t reason,
                         std::optional<Duration> retry_after);

/// What a target's answer to a health check says.
struct HealthResponse {
  bool is_healthy = false;
  std::string target_id;
  /// How long the target stays cold; zero when warm.
  Duration cold_left = Duration::zero();
};

HttpRequest MakeHealthRequest(const std::string& health_path);
HealthResponse ReadHealthResponse(const HttpResponse& response);

}  // namespace daisywinch::platform

#endif  // DAISYWINCH_PLATFORM_ATTEMPT_MESSAGES_H
