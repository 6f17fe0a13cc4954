#ifndef DAISYWINCH_TRANSPORT_HTTP_H
#define DAISYWINCH_TRANSPORT_HTTP_H

#include <boost/beast/http.hpp>

#include "state/refusal.h"

namespace daisywinch {

namespace http = boost::beast::http;

using HttpRequest = http::request<http::string_body>;
using HttpResponse = http::response<http::string_body>;

/// Names of the header fields that belong to daisywinch.
constexpr char kOutcomeHeader[] = "Daisywinch-Outcome";
constexpr char kReasonHeader[] = "Daisywinch-Reason";
constexpr char kHandleHeader[] = "Daisywinch-Handle";
constexpr char kTimeoutHeader[] = "Daisywinch-Timeout-Ms";
constexpr char kIdempotencyKeyHeader[] = "Idempotency-Key";
/// "1" says that the caller never sent this idempotency key before.
constexpr char kAttemptHeader[] = "Daisywinch-Attempt";

/// A problem document (RFC 9457) for a refusal.
HttpResponse MakeProblem(const Refusal& refusal);

/// The same where it is known better whether the request may have run.
HttpResponse MakeProblem(const Refusal& refusal, Execution execution);

/// Removes the fields that concern one connection only (RFC 9110, 7.6.1).
void RemoveHopByHopFields(http::fields& fields);

}  // namespace daisywinch

#endif  // DAISYWINCH_TRANSPORT_HTTP_H
