#include "platform/attempt_messages.h"

#include <algorithm>
#include <array>
#include <charconv>
#include <cmath>
#include <cstdio>
#include <set>
#include <string_view>
#include <utility>

#include <boost/beast/core/string.hpp>

namespace daisywinch::platform {

namespace {

constexpr char kAttemptId[] = "X-Daisywinch-Attempt-Id";
constexpr char kTimeoutBudget[] = "X-Daisywinch-Timeout-Budget-Ms";
constexpr char kExpectInstance[] = "X-Daisywinch-Expect-Instance";
constexpr char kInstanceId[] = "X-Daisywinch-Instance-Id";
constexpr char kTenantId[] = "X-Daisywinch-Tenant-Id";
constexpr char kCallerService[] = "X-Daisywinch-Caller-Service";
constexpr char kSignature[] = "X-Daisywinch-Response-Signature";
constexpr char kNotExecuted[] = "X-Daisywinch-Not-Executed";
// Despite its name, this field contains the remaining time for which the target
// is cold, not the duration of a whole cold start.
constexpr char kColdLeft[] = "X-Daisywinch-Cold-Start-Ms";
constexpr char kMaxRate[] = "Server-Limit";
constexpr char kLeaving[] = "Server-Leaving";
constexpr std::string_view kIsLeaving = "1";
constexpr char kReason[] = "X-Daisywinch-Reason";
constexpr std::string_view kBearerPrefix = "Bearer ";
/// A status is a success if it is at least kFirstSuccess and below
/// kFirstRedirect (RFC 9110, 15.3).
constexpr int kFirstSuccess = 200;
constexpr int kFirstRedirect = 300;

std::optional<std::int64_t> ParseNumber(std::string_view text) {
  std::int64_t number = 0;
  const std::from_chars_result result =
      std::from_chars(text.data(), text.data() + text.size(), number);
  if (text.empty() || result.ec != std::errc() || number < 0) {
    return std::nullopt;
  }
  return number;
}

/// Values of a field, without repetitions.
std::set<std::string_view> ValuesOf(const HttpResponse& response,
                                    std::string_view name) {
  std::set<std::string_view> values;
  const auto [first, last] = response.equal_range(name);
  for (auto field = first; field != last; ++field) {
    values.insert(std::string_view(field->value()));
  }
  return values;
}

/// A finite decimal number of at least 0.
std::optional<double> ParseRate(std::string_view text) {
  double number = 0;
  const char* end = text.data() + text.size();
  const std::from_chars_result result =
      std::from_chars(text.data(), end, number, std::chars_format::fixed);
  const bool is_valid = !text.empty() && result.ec == std::errc() &&
                        result.ptr == end && std::isfinite(number) &&
                        number >= 0;
  return is_valid ? std::optional<double>(number) : std::nullopt;
}

/// Whether callers take the status as a statement that the request has not run
/// and never will.
bool PromisesNotRun(http::status status) {
  return status == http::status::service_unavailable ||
         status == http::status::too_many_requests ||
         status == http::status::request_timeout;
}

std::string ToMilliseconds(Duration duration) {
  const std::int64_t count =
      std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
  return std::to_string(std::max<std::int64_t>(1, count));
}

}  // namespace

AttemptHeaders ReadAttemptHeaders(const HttpRequest& request) {
  AttemptHeaders headers;
  headers.attempt_id = std::string(request[kAttemptId]);
  const std::optional<std::int64_t> timeout =
      ParseNumber(request[kTimeoutBudget]);
  if (timeout) {
    headers.timeout = std::chrono::milliseconds(*timeout);
  }
  const std::string_view value = request[http::field::authorization];
  if (value.starts_with(kBearerPrefix)) {
    headers.key = std::string(value.substr(kBearerPrefix.size()));
  }
  return headers;
}

void MoveToCallRequest(HttpRequest& request, protocol::CallRequest& message) {
  message.set_method(std::string(request.method_string()));
  message.set_path(std::string(request.target()));
  RemoveHopByHopFields(request);
  request.erase(http::field::authorization);
  for (const char* name : {kAttemptId, kTimeoutBudget, kExpectInstance,
                           kTenantId, kCallerService}) {
    request.erase(name);
  }
  for (const http::fields::value_type& field : request) {
    protocol::Header* header = message.add_headers();
    header->set_name(std::string(field.name_string()));
    header->set_value(std::string(field.value()));
  }
  message.set_body(std::move(request.body()));
}

HttpRequest MakeTargetRequest(protocol::CallRequest& call, Duration remaining) {
  HttpRequest request;
  request.version(11);
  request.method_string(call.method());
  request.target(call.path());
  for (const protocol::Header& header : call.headers()) {
    request.insert(header.name(), header.value());
  }
  request.set(kAttemptId, call.attempt_id());
  request.set(kTimeoutBudget, ToMilliseconds(remaining));
  request.set(kCallerService, call.caller_service());
  if (!call.target_id().empty()) {
    request.set(kExpectInstance, call.target_id());
  }
  if (!call.customer().empty()) {
    request.set(kTenantId, call.customer());
  }
  request.keep_alive(true);
  request.body() = std::move(*call.mutable_body());
  request.prepare_payload();
  return request;
}

ResponseClass ClassifyResponse(const http::response_header<>& response,
                               const std::string& attempt_id) {
  if (response[kAttemptId] != attempt_id) {
    return ResponseClass::kInvalid;
  }
  if (response.result() == http::status::misdirected_request) {
    return ResponseClass::kOtherTarget;
  }
  if (response.find(kNotExecuted) != response.end()) {
    return ResponseClass::kNotRun;
  }
  const int status = static_cast<int>(response.result_int());
  const bool is_success = status >= kFirstSuccess && status < kFirstRedirect;
  if (PromisesNotRun(response.result()) && !IsSigned(response)) {
    return ResponseClass::kInvalid;
  }
  if (is_success &&
      (!IsSigned(response) ||
       response.find(http::field::content_encoding) != response.end())) {
    return ResponseClass::kInvalid;
  }
  return ResponseClass::kAnswered;
}

std::optional<TargetNotice> ReadTargetNotice(const HttpResponse& response) {
  const std::set<std::string_view> rates = ValuesOf(response, kMaxRate);
  const std::set<std::string_view> leaving = ValuesOf(response, kLeaving);
  if (rates.size() > 1 || leaving.size() > 1) {
    return std::nullopt;
  }
  TargetNotice notice;
  if (!rates.empty()) {
    notice.max_rate = ParseRate(*rates.begin());
    if (!notice.max_rate) {
      return std::nullopt;
    }
  }
  if (!leaving.empty()) {
    if (*leaving.begin() != "0" && *leaving.begin() != kIsLeaving) {
      return std::nullopt;
    }
    notice.is_leaving = *leaving.begin() == kIsLeaving;
  }
  return notice;
}

bool StatesLeaving(const protocol::CallReply& reply) {
  return std::any_of(reply.headers().begin(), reply.headers().end(),
                     [](const protocol::Header& header) {
                       return boost::beast::iequals(header.name(), kLeaving) &&
                              header.value() == kIsLeaving;
                     });
}

bool IsSigned(const http::response_header<>& response) {
  return response.find(kSignature) != response.end();
}

void MoveToReply(HttpResponse& response, protocol::CallReply& reply) {
  reply.set_status(response.result_int());
  RemoveHopByHopFields(response);
  for (const http::fields::value_type& field : response) {
    protocol::Header* header = reply.add_headers();
    header->set_name(std::string(field.name_string()));
    header->set_value(std::string(field.value()));
  }
  reply.set_body(std::move(response.body()));
}

HttpResponse MakeCallerResponse(protocol::CallReply& reply) {
  HttpResponse response(static_cast<http::status>(reply.status()), 11);
  for (const protocol::Header& header : reply.headers()) {
    response.insert(header.name(), header.value());
  }
  response.body() = std::move(*reply.mutable_body());
  response.prepare_payload();
  return response;
}

HttpResponse MakeRefusal(unsigned status,
                         const std::string& attempt_id,
                         std::uint32_t reason,
                         std::optional<Duration> retry_after) {
  HttpResponse response(static_cast<http::status>(status), 11);
  if (!attempt_id.empty()) {
    response.set(kAttemptId, attempt_id);
  }
  response.set(kReason, std::to_string(reason));
  if (retry_after) {
    std::array<char, 32> text = {};
    std::snprintf(text.data(), text.size(), "%.3f",
                  std::chrono::duration<double>(*retry_after).count());
    response.set(http::field::retry_after, text.data());
  }
  response.prepare_payload();
  return response;
}

HttpRequest MakeHealthRequest(const std::string& health_path) {
  HttpRequest request(http::verb::get, health_path, 11);
  request.set(http::field::host, "health");
  request.keep_alive(true);
  return request;
}

std::optional<HealthResponse> ReadHealthResponse(const HttpResponse& response) {
  if (response.find(kAttemptId) != response.end()) {
    return std::nullopt;
  }
  HealthResponse health;
  health.is_healthy = response.result() == http::status::ok;
  health.target_id = std::string(response[kInstanceId]);
  health.cold_left =
      std::chrono::milliseconds(ParseNumber(response[kColdLeft]).value_or(0));
  return health;
}

}  // namespace daisywinch::platform
