#ifndef DAISYWINCH_TRANSPORT_HTTP_H
#define DAISYWINCH_TRANSPORT_HTTP_H

#include <cstddef>

#include <boost/beast/http.hpp>

#include "state/refusal.h"

namespace daisywinch {

namespace http = boost::beast::http;

using HttpRequest = http::request<http::string_body>;
using HttpResponse = http::response<http::string_body>;

/// Maximum number of bytes of a connection that are read but not parsed yet.
constexpr std::size_t kMaxBufferedBytes = 256 * 1024;

/// Names of the header fields that daisywinch defines or interprets.
constexpr char kOutcomeHeader[] = "Daisywinch-Outcome";
constexpr char kReasonHeader[] = "Daisywinch-Reason";
/// Identifies a request to a target while it is in progress; the target copies
/// the field into the nested calls that it makes for the request.
constexpr char kHandleHeader[] = "Daisywinch-Handle";
constexpr char kTimeoutHeader[] = "Daisywinch-Timeout-Ms";
constexpr char kIdempotencyKeyHeader[] = "Idempotency-Key";
/// "1" means that the caller has not sent this idempotency key before.
constexpr char kAttemptHeader[] = "Daisywinch-Attempt";

/// Makes the response for a refusal: a problem document (RFC 9457).
HttpResponse MakeProblem(const Refusal& refusal);

/// As above, but with `execution` instead of the default of the refusal, for
/// callers that know more about whether the request may have run.
HttpResponse MakeProblem(const Refusal& refusal, Execution execution);

/// Removes the hop-by-hop fields (RFC 9110, 7.6.1), the fields that Connection
/// lists, and Content-Length, which is set anew for the next connection.
void RemoveHopByHopFields(http::fields& fields);

}  // namespace daisywinch

#endif  // DAISYWINCH_TRANSPORT_HTTP_H
