#include "node/caller_messages.h"

#include <algorithm>
#include <charconv>
#include <string>
#include <utility>

namespace daisywinch {

namespace {

constexpr std::string_view kBearerPrefix = "Bearer ";
constexpr std::string_view kFirstAttemptValue = "1";

/// Removes the query parameters that contain the API key.
std::string RemoveKeyFromQuery(std::string_view target, std::string_view key) {
  const std::size_t question_mark = target.find('?');
  if (key.empty() || question_mark == std::string_view::npos) {
    return std::string(target);
  }
  std::string cleaned(target.substr(0, question_mark));
  char separator = '?';
  std::string_view query = target.substr(question_mark + 1);
  while (!query.empty()) {
    const std::size_t ampersand = query.find('&');
    const std::string_view parameter = query.substr(0, ampersand);
    query = ampersand == std::string_view::npos ? std::string_view()
                                                : query.substr(ampersand + 1);
    if (parameter.find(key) == std::string_view::npos) {
      cleaned += separator;
      cleaned += parameter;
      separator = '&';
    }
  }
  return cleaned;
}

}  // namespace

std::string_view ApiKeyOf(const HttpRequest& request) {
  const std::string_view value = request[http::field::authorization];
  return value.starts_with(kBearerPrefix) ? value.substr(kBearerPrefix.size())
                                          : std::string_view();
}

bool IsFirstAttempt(const HttpRequest& request) {
  return request[kAttemptHeader] == kFirstAttemptValue;
}

bool MayBeDuplicate(const HttpRequest& request, const Route* route) {
  const bool is_repeatable = route != nullptr && route->repeatable;
  return !is_repeatable &&
         !std::string_view(request[kIdempotencyKeyHeader]).empty() &&
         !IsFirstAttempt(request);
}

Duration TimeoutOf(const HttpRequest& request, const Route& route) {
  const std::string_view text = request[kTimeoutHeader];
  std::int64_t milliseconds = 0;
  const std::from_chars_result result =
      std::from_chars(text.data(), text.data() + text.size(), milliseconds);
  if (text.empty() || result.ec != std::errc() || milliseconds < 0) {
    return route.timeout;
  }
  return std::min<Duration>(route.timeout,
                            std::chrono::milliseconds(milliseconds));
}

void MoveToCallRequest(HttpRequest& request, protocol::CallRequest& message) {
  const std::string key(ApiKeyOf(request));
  message.set_method(std::string(request.method_string()));
  message.set_path(RemoveKeyFromQuery(request.target(), key));
  RemoveHopByHopFields(request);
  request.erase(http::field::authorization);
  request.erase(kHandleHeader);
  request.erase(kTimeoutHeader);
  request.erase(kIdempotencyKeyHeader);
  request.erase(kAttemptHeader);
  for (const http::fields::value_type& field : request) {
    const std::string_view value = field.value();
    if (!key.empty() && value.find(key) != std::string_view::npos) {
      continue;
    }
    protocol::Header* header = message.add_headers();
    header->set_name(std::string(field.name_string()));
    header->set_value(std::string(value));
  }
  message.set_body(std::move(request.body()));
}

HttpResponse MakeResponse(protocol::CallReply reply, bool may_be_duplicate) {
  if (reply.outcome() != protocol::OUTCOME_ANSWERED) {
    const Refusal& refusal = Describe(reply.reason());
    const bool replied_by_gate = reply.has_load();
    return MakeProblem(refusal, may_be_duplicate && !replied_by_gate
                                    ? Execution::kUnknown
                                    : refusal.execution);
  }
  HttpResponse response(static_cast<http::status>(reply.status()), 11);
  for (const protocol::Header& header : reply.headers()) {
    response.insert(header.name(), header.value());
  }
  response.body() = std::move(*reply.mutable_body());
  response.prepare_payload();
  return response;
}

}  // namespace daisywinch
