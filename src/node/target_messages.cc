#include "node/target_messages.h"

#include <string_view>
#include <utility>

#include "transport/call_client.h"

namespace daisywinch {

namespace {

/// Value of the outcome header with which a target states that it shed a
/// request before starting it.
constexpr std::string_view kNotRunValue = "not-run";

protocol::CallReply MakeAnsweredReply(HttpResponse response) {
  if (IsShed(response)) {
    return MakeRefusedReply(RefusalReason::kShedByTarget);
  }
  protocol::CallReply reply;
  reply.set_outcome(protocol::OUTCOME_ANSWERED);
  reply.set_status(response.result_int());
  RemoveHopByHopFields(response);
  for (const http::fields::value_type& field : response) {
    protocol::Header* header = reply.add_headers();
    header->set_name(std::string(field.name_string()));
    header->set_value(std::string(field.value()));
  }
  reply.set_body(std::move(response.body()));
  return reply;
}

}  // namespace

HttpRequest MakeTargetRequest(const protocol::CallRequest& call,
                              const std::string& handle,
                              Duration remaining) {
  HttpRequest request;
  request.version(11);
  request.method_string(call.method());
  request.target(call.path());
  for (const protocol::Header& header : call.headers()) {
    request.insert(header.name(), header.value());
  }
  request.set(kHandleHeader, handle);
  request.set(
      kTimeoutHeader,
      std::to_string(
          std::chrono::duration_cast<std::chrono::milliseconds>(remaining)
              .count()));
  if (!call.idempotency_key().empty()) {
    request.set(kIdempotencyKeyHeader, call.idempotency_key());
  }
  request.keep_alive(true);
  request.body() = call.body();
  request.prepare_payload();
  return request;
}

bool IsShed(const HttpResponse& response) {
  return response.result() == http::status::service_unavailable &&
         response[kOutcomeHeader] == kNotRunValue;
}

protocol::CallReply MakeReply(TargetExchange exchange) {
  switch (exchange.end) {
    case TargetExchange::End::kAnswered:
      return MakeAnsweredReply(std::move(exchange.response));
    case TargetExchange::End::kNotSent:
      return MakeRefusedReply(RefusalReason::kTargetUnreachable);
    case TargetExchange::End::kWithdrawn:
      return MakeRefusedReply(RefusalReason::kCancelledUnsent);
    case TargetExchange::End::kResponseLost:
    case TargetExchange::End::kResponseInvalid:
      return MakeRefusedReply(RefusalReason::kResponseLost);
    case TargetExchange::End::kDeadlinePassed:
      return MakeRefusedReply(RefusalReason::kDeadlinePassed);
    case TargetExchange::End::kCancelled:
      return MakeRefusedReply(RefusalReason::kCancelled);
    case TargetExchange::End::kResponseTooLarge:
      return MakeRefusedReply(RefusalReason::kResponseTooLarge);
  }
  return MakeRefusedReply(RefusalReason::kResponseLost);
}

}  // namespace daisywinch
