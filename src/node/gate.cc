#include "node/gate.h"

#include <algorithm>
#include <utility>

#include "transport/call_client.h"
#include "transport/http.h"

namespace daisywinch {

namespace {

/// Value of the outcome header by which a target says that it shed a request
/// before starting it.
constexpr std::string_view kNotRunValue = "not-run";

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

protocol::CallReply MakeAnsweredReply(HttpResponse response) {
  if (response.result_int() == 503 &&
      response[kOutcomeHeader] == kNotRunValue) {
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

protocol::CallReply MakeReply(TargetExchange exchange) {
  switch (exchange.end) {
    case TargetExchange::End::kAnswered:
      return MakeAnsweredReply(std::move(exchange.response));
    case TargetExchange::End::kNotSent:
      return MakeRefusedReply(RefusalReason::kTargetUnreachable);
    case TargetExchange::End::kLost:
      return MakeRefusedReply(RefusalReason::kAnswerLost);
    case TargetExchange::End::kDeadline:
    case TargetExchange::End::kCancelled:
      return MakeRefusedReply(RefusalReason::kDeadlinePassed);
    case TargetExchange::End::kAnswerTooLarge:
      return MakeRefusedReply(RefusalReason::kAnswerTooLarge);
  }
  return MakeRefusedReply(RefusalReason::kAnswerLost);
}

}  // namespace

Gate::Gate(asio::io_context& context,
           const Clock& clock,
           const Settings& settings,
           const SnapshotHolder& snapshots,
           HandleTable& handles)
    : clock(clock),
      service(settings.service),
      snapshots(snapshots),
      handles(handles),
      target(context, settings.target_address, settings.body_limit) {}

Awaitable<protocol::CallReply> Gate::Handle(
    protocol::CallRequest request,
    std::shared_ptr<Cancellation> cancellation) {
  const TimePoint deadline =
      this->clock.Now() +
      std::chrono::microseconds(request.remaining_microseconds());
  const std::shared_ptr<const Snapshot> snapshot = this->snapshots.Load();
  const Service* own_service =
      snapshot ? snapshot->CurrentConfiguration().FindService(this->service)
               : nullptr;
  this->limit = own_service == nullptr ? 0 : own_service->slots;
  const std::uint32_t retries_left = request.retries_left();
  protocol::CallReply reply;
  if (own_service == nullptr) {
    reply = MakeRefusedReply(RefusalReason::kNotReady);
  } else if (this->draining) {
    reply = MakeRefusedReply(RefusalReason::kDraining);
  } else if (this->in_flight >= this->limit) {
    reply = MakeRefusedReply(RefusalReason::kShedByGate);
  } else {
    ++this->calls_in_progress;
    reply = co_await this->Run(std::move(request), deadline, cancellation);
    --this->calls_in_progress;
  }
  if (reply.target_microseconds() == 0) {
    reply.set_retries_left(retries_left);
  }
  this->AddLoad(reply);
  co_return reply;
}

Awaitable<protocol::CallReply> Gate::Run(
    protocol::CallRequest request,
    TimePoint deadline,
    std::shared_ptr<Cancellation> cancellation) {
  const TimePoint started = this->clock.Now();
  if (started >= deadline) {
    co_return MakeRefusedReply(RefusalReason::kDeadlineTooShort);
  }
  CallContext context;
  context.customer = request.customer();
  context.request_class = static_cast<RequestClass>(
      std::min<std::uint32_t>(request.request_class(), kRequestClassCount - 1));
  context.deadline = deadline;
  context.root_id = request.root_id();
  const std::string handle =
      this->handles.Open(context, request.retries_left());
  ++this->in_flight;
  TargetExchange exchange = co_await this->target.Send(
      MakeTargetRequest(request, handle, deadline - started), deadline,
      cancellation);
  --this->in_flight;
  const std::uint32_t retries_left = this->handles.Close(handle);
  protocol::CallReply reply = MakeReply(std::move(exchange));
  reply.set_retries_left(retries_left);
  reply.set_target_microseconds(
      std::chrono::duration_cast<std::chrono::microseconds>(this->clock.Now() -
                                                            started)
          .count());
  co_return reply;
}

boost::json::object Gate::Status() const {
  return {{"in_flight", this->in_flight},
          {"limit", this->limit},
          {"connections", this->target.ConnectionCount()},
          {"draining", this->draining.load()}};
}

void Gate::AddLoad(protocol::CallReply& reply) const {
  protocol::GateLoad* load = reply.mutable_load();
  load->set_in_flight(this->in_flight);
  load->set_limit(this->limit);
  load->set_admitted_class(static_cast<std::uint32_t>(
      this->in_flight < this->limit ? RequestClass::kBackground
                                    : RequestClass::kImportant));
  load->set_draining(this->draining);
}

}  // namespace daisywinch
