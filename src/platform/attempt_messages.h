#ifndef DAISYWINCH_PLATFORM_ATTEMPT_MESSAGES_H
#define DAISYWINCH_PLATFORM_ATTEMPT_MESSAGES_H

#include <optional>
#include <string>

#include "protocol/generated/peer_messages.pb.h"
#include "state/clock.h"
#include "state/target_notices.h"
#include "transport/http.h"

namespace daisywinch::platform {

/// Contents of the platform's header fields in a caller's request.
struct AttemptHeaders {
  /// The id that the caller gave this attempt to send the request; empty if it
  /// sent none.
  std::string attempt_id;
  /// Time that the caller is willing to wait, if it sent one.
  std::optional<Duration> timeout;
  /// API key; empty if the request has none.
  std::string key;
};

AttemptHeaders ReadAttemptHeaders(const HttpRequest& request);

/// Moves a request into a message for a gate, without hop-by-hop fields, the
/// API key, and the header fields that MakeTargetRequest() sets.
void MoveToCallRequest(HttpRequest& request, protocol::CallRequest& message);

/// Makes the request for a target and moves the body of the call into it.
/// `remaining` is the time until the deadline; the timeout header is at least
/// 1 ms.
HttpRequest MakeTargetRequest(protocol::CallRequest& call, Duration remaining);

/// What a target's response says about the execution of the request.
enum class ResponseClass {
  /// A complete response from the target.
  kAnswered,
  /// The target states that it did not run the request.
  kNotRun,
  /// Another target now has the address; the request was not run.
  kOtherTarget,
  /// Not a valid response to this request: it has another attempt id or none,
  /// it is a success without a signature or with a content encoding, or its
  /// status says that the request has not run, but the target does not.
  kInvalid,
};

ResponseClass ClassifyResponse(const http::response_header<>& response,
                               const std::string& attempt_id);

/// Reads what a target states about itself in any of its responses. Returns
/// nothing if the fields can't be read: if the rate isn't a finite number of at
/// least 0, or if a field has several values.
std::optional<TargetNotice> ReadTargetNotice(const HttpResponse& response);

/// Whether the target's response in a reply states that the target leaves.
bool StatesLeaving(const protocol::CallReply& reply);

/// Whether the response bears the signature of the target.
bool IsSigned(const http::response_header<>& response);

/// Moves a target's response into a reply, without hop-by-hop fields.
void MoveToReply(HttpResponse& response, protocol::CallReply& reply);

/// Makes the response for a caller from a target's response; moves the body.
HttpResponse MakeCallerResponse(protocol::CallReply& reply);

/// Makes a refusal, which daisywinch sends in place of a target's response.
/// `retry_after` is only set if the request has certainly not been run.
HttpResponse MakeRefusal(unsigned status,
                         const std::string& attempt_id,
                         std::uint32_t reason,
                         std::optional<Duration> retry_after);

/// Contents of a target's response to a health check.
struct HealthResponse {
  bool is_healthy = false;
  std::string target_id;
  /// Remaining time for which the target is cold; zero if it is warm.
  Duration cold_left = Duration::zero();
};

HttpRequest MakeHealthRequest(const std::string& health_path);
/// Nothing if the response belongs to a request instead of a health check.
std::optional<HealthResponse> ReadHealthResponse(const HttpResponse& response);

}  // namespace daisywinch::platform

#endif  // DAISYWINCH_PLATFORM_ATTEMPT_MESSAGES_H
