#include "node/mesh_gate.h"

#include <algorithm>
#include <set>
#include <utility>
#include <vector>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "platform/attempt_messages.h"
#include "state/duration.h"
#include "state/event_log.h"
#include "state/key_digest.h"
#include "transport/call_client.h"

namespace daisywinch {

namespace {

constexpr std::uint32_t kServerError = 500;
/// Maximum size in bytes of a response body of the target, the largest body
/// that the platform allows.
constexpr std::uint64_t kBodyLimit = 64ULL * 1024 * 1024;
constexpr std::chrono::milliseconds kHealthInterval{250};
constexpr std::chrono::milliseconds kHealthTimeout{1000};
/// Time for which calls wait for the first response of the target.
constexpr std::chrono::milliseconds kFirstResponseTimeout{1000};
/// Time in which the connections of a process that ended are closed.
constexpr std::chrono::milliseconds kConnectionCloseTime{50};
/// Maximum number of requests named in the log line about a crash.
constexpr std::size_t kMaxLoggedRequests = 8;
/// Minimum interval between log lines about the rate that the target states.
constexpr std::chrono::seconds kMaxRateLogInterval{1};

CallTree TreeOf(const protocol::CallRequest& request, TimePoint now) {
  return {request.priority(), now + std::chrono::microseconds(
                                        request.tree_objective_microseconds())};
}

}  // namespace

MeshGate::MeshGate(asio::io_context& context,
                   const Clock& clock,
                   const MeshSettings& settings,
                   const MeshViewHolder& views,
                   RouteCostEstimator& cost_estimator,
                   FatalRequests& fatal_requests,
                   RunningTrees& running_trees,
                   MemoryBudget& memory)
    : context(context),
      clock(clock),
      target_address(settings.target_address),
      views(views),
      cost_estimator(cost_estimator),
      fatal_requests(fatal_requests),
      running_trees(running_trees),
      target(context, settings.target_address, kBodyLimit, &memory),
      health_timer(context),
      log_limiter(clock.Now()) {}

void MeshGate::Start() {
  asio::co_spawn(this->context, this->RunHealthChecks(), asio::detached);
}

Awaitable<protocol::CallReply> MeshGate::Handle(
    protocol::CallRequest request,
    std::shared_ptr<Cancellation> cancellation) {
  ++this->calls_in_progress;
  const TimePoint started = this->clock.Now();
  const std::string attempt_id = request.attempt_id();
  CallState state = CallState::kQueued;
  protocol::CallReply reply;
  {
    const CancellationScope scope(cancellation, [&, this] {
      this->RecordCancellation(attempt_id, cancellation->Cause(), state,
                               this->clock.Now() - started);
    });
    reply = co_await this->AdmitAndRun(std::move(request), cancellation, state);
  }
  --this->calls_in_progress;
  if (reply.outcome() != protocol::OUTCOME_ANSWERED) {
    this->LogFailedCall(attempt_id, reply, this->clock.Now() - started);
  }
  this->AddLoad(reply);
  co_return reply;
}

void MeshGate::RefreshView() {
  std::shared_ptr<const MeshView> newest = this->views.Load();
  if (newest == nullptr || newest == this->view) {
    return;
  }
  const bool was_evacuated =
      this->local_target != nullptr &&
      this->view->IsEvacuated(this->local_target->data_centre);
  this->view = std::move(newest);
  this->local_target = this->view->FindAt(this->target_address);
  if (this->local_target != nullptr) {
    this->ApplyRecord(was_evacuated);
  }
  if (this->IsTargetOutOfService()) {
    this->RefuseQueuedCalls(RefusalReason::kDraining);
  }
}

void MeshGate::ApplyRecord(bool was_evacuated) {
  const TimePoint now = this->clock.Now();
  if (!this->target_known_at) {
    this->target_known_at = now;
    this->health_timer.cancel();
  }
  this->admission.SetSlots(this->local_target->slots);
  this->cold_state.UpdateRecord(*this->local_target, now);
  this->notices.UpdateRecord(*this->local_target);
  if (this->crash_detector.UpdateRecord(*this->local_target, now)) {
    asio::co_spawn(this->context, this->ReportCrash(), asio::detached);
  }
  if (was_evacuated &&
      !this->view->IsEvacuated(this->local_target->data_centre)) {
    // The target may have been restarted while its data centre was evacuated.
    this->cold_state.RecordPossibleRestart(now);
  }
  const MeshService* service = this->view->Configuration() == nullptr
                                   ? nullptr
                                   : this->view->Configuration()->FindService(
                                         this->local_target->service);
  if (service != nullptr) {
    this->admission.SetColdRate(service->cold_rate);
    this->health_path = service->health_path;
  }
}

void MeshGate::UpdateAdmission(TimePoint now) {
  this->admission.SetState(this->cold_state.IsCold(now),
                           this->notices.MaxRate());
  this->admission.SetHeld(this->IsAwaitingFirstResponse(now));
}

bool MeshGate::IsAwaitingFirstResponse(TimePoint now) const {
  return !this->has_target_responded && !this->health_path.empty() &&
         this->target_known_at &&
         now - *this->target_known_at < kFirstResponseTimeout;
}

bool MeshGate::IsTargetOutOfService() const {
  return this->local_target == nullptr || this->local_target->leaving ||
         this->notices.IsLeaving() ||
         this->view->IsEvacuated(this->local_target->data_centre);
}

RefusalReason MeshGate::ReasonToRefuse() const {
  if (this->local_target == nullptr) {
    return RefusalReason::kNotReady;
  }
  return this->draining || this->IsTargetOutOfService()
             ? RefusalReason::kDraining
             : RefusalReason::kNone;
}

double MeshGate::UsableSlots() {
  this->UpdateAdmission(this->clock.Now());
  return this->ReasonToRefuse() == RefusalReason::kNone && !this->stop_schedule
             ? this->admission.UsableSlots()
             : 0;
}

Awaitable<protocol::CallReply> MeshGate::AdmitAndRun(
    protocol::CallRequest request,
    std::shared_ptr<Cancellation> cancellation,
    CallState& state) {
  this->RefreshView();
  if (request.has_leaving()) {
    this->RecordLeavingReport(request.leaving());
  }
  const TimePoint deadline =
      this->clock.Now() +
      std::chrono::microseconds(request.remaining_microseconds());
  RefusalReason reason = this->ReasonToRefuse();
  if (this->stop_schedule && !this->stop_schedule->MayStartRequest(deadline)) {
    reason = RefusalReason::kDraining;
  }
  if (this->fatal_requests.IsFatal(request.digest(), this->clock.Now())) {
    reason = RefusalReason::kFatalRequest;
  }
  if (reason == RefusalReason::kNone) {
    reason = co_await this->WaitForSlot(request, deadline, cancellation);
  }
  if (reason != RefusalReason::kNone) {
    co_return MakeRefusedReply(reason);
  }
  state = CallState::kRunning;
  co_return co_await this->Run(std::move(request), deadline,
                               std::move(cancellation));
}

Awaitable<RefusalReason> MeshGate::WaitForSlot(
    const protocol::CallRequest& request,
    TimePoint deadline,
    std::shared_ptr<Cancellation> cancellation) {
  const TimePoint now = this->clock.Now();
  if (cancellation->IsCancelled()) {
    co_return RefusalReason::kCancelledUnsent;
  }
  if (now >= deadline) {
    co_return RefusalReason::kDeadlineTooShort;
  }
  this->UpdateAdmission(now);
  if (this->admission.TryStart(now)) {
    co_return RefusalReason::kNone;
  }
  GateCall waiting;
  waiting.id = this->next_waiter_id++;
  waiting.is_root = request.is_root();
  waiting.tree = TreeOf(request, now);
  waiting.objective =
      std::chrono::microseconds(request.objective_microseconds());
  waiting.deadline = deadline;
  const std::shared_ptr<Waiter> waiter =
      std::make_shared<Waiter>(this->context);
  this->waiters[waiting.id] = waiter;
  const std::optional<std::uint64_t> shed =
      this->admission.Enqueue(waiting, now);
  if (shed) {
    this->EndWait(*shed, RefusalReason::kShedByGate);
  }
  const CancellationScope scope(cancellation, [this, id = waiting.id] {
    this->admission.Remove(id);
    this->EndWait(id, RefusalReason::kCancelledUnsent);
  });
  waiter->wake_up.expires_at(this->admission.StartDeadline(waiting, now));
  this->StartQueuedCalls();
  ErrorCode ignored;
  if (!waiter->result) {
    co_await waiter->wake_up.async_wait(Await(ignored));
  }
  this->waiters.erase(waiting.id);
  if (!waiter->result) {
    this->admission.Remove(waiting.id);
    co_return RefusalReason::kShedByGate;
  }
  if (*waiter->result == RefusalReason::kNone && cancellation->IsCancelled()) {
    // The slot became free before the cancellation.
    this->admission.RecordEnd(std::nullopt);
    this->StartQueuedCalls();
    co_return RefusalReason::kCancelledUnsent;
  }
  co_return *waiter->result;
}

void MeshGate::StartQueuedCalls() {
  const TimePoint now = this->clock.Now();
  this->UpdateAdmission(now);
  if (this->IsTargetOutOfService()) {
    this->RefuseQueuedCalls(RefusalReason::kDraining);
  }
  const GateAdmission::Released released = this->admission.ReleaseQueued(now);
  for (const std::uint64_t id : released.started) {
    this->EndWait(id, RefusalReason::kNone);
  }
  for (const std::uint64_t id : released.expired) {
    this->EndWait(id, RefusalReason::kShedByGate);
  }
  if (!this->is_pacing && this->admission.NextPacedStart(now)) {
    this->is_pacing = true;
    asio::co_spawn(this->context, this->PaceStarts(), asio::detached);
  }
}

void MeshGate::RefuseQueuedCalls(RefusalReason reason) {
  for (const auto& [id, waiter] : this->waiters) {
    if (!waiter->result) {
      this->admission.Remove(id);
      waiter->result = reason;
      waiter->wake_up.cancel();
    }
  }
}

Awaitable<> MeshGate::PaceStarts() {
  const TimePoint now = this->clock.Now();
  Timer timer(this->context, this->admission.NextPacedStart(now).value_or(now));
  ErrorCode ignored;
  co_await timer.async_wait(Await(ignored));
  this->is_pacing = false;
  this->StartQueuedCalls();
}

void MeshGate::EndWait(std::uint64_t id, RefusalReason result) {
  const auto found = this->waiters.find(id);
  if (found != this->waiters.end() && !found->second->result) {
    found->second->result = result;
    found->second->wake_up.cancel();
  }
}

Awaitable<protocol::CallReply> MeshGate::Run(
    protocol::CallRequest request,
    TimePoint deadline,
    std::shared_ptr<Cancellation> cancellation) {
  const TimePoint started = this->clock.Now();
  const std::string route = this->route_classes.Count(
      request.route(),
      this->local_target == nullptr ? "" : this->local_target->service,
      started);
  this->cost_estimator.RunStarted(route, started);
  const CallTree tree = TreeOf(request, started);
  this->running_trees.RunStarted(deadline, tree);
  const auto accepts = [attempt_id = request.attempt_id()](
                           const http::response_header<>& header) {
    return platform::ClassifyResponse(header, attempt_id) !=
           platform::ResponseClass::kInvalid;
  };
  TargetExchange exchange = co_await this->target.Send(
      platform::MakeTargetRequest(request, deadline - started), deadline,
      cancellation, accepts);
  this->running_trees.RunEnded(deadline, tree);
  const TimePoint ended = this->clock.Now();
  const bool was_known = this->cold_state.ColdUntil().has_value();
  protocol::CallReply reply = this->MakeReply(request, started, exchange);
  if (was_known && !this->cold_state.ColdUntil()) {
    // Checks at once, as the target gets few calls until its state is known.
    this->health_timer.cancel();
  }
  const bool is_answered = reply.outcome() == protocol::OUTCOME_ANSWERED;
  const bool has_failed = !is_answered || reply.status() >= kServerError;
  this->cost_estimator.RunEnded(route, ended - started, has_failed,
                                this->cold_state.IsCold(started), ended);
  this->admission.RecordEnd(
      is_answered ? std::optional<Duration>(ended - started) : std::nullopt);
  this->StartQueuedCalls();
  this->LogColdStateChange();
  reply.set_target_microseconds(ToMicroseconds(ended - started));
  co_return reply;
}

protocol::CallReply MeshGate::MakeReply(const protocol::CallRequest& request,
                                        TimePoint sent_at,
                                        TargetExchange& exchange) {
  const TimePoint now = this->clock.Now();
  if (exchange.connection_refused) {
    this->RecordProcessEnd();
  }
  if (exchange.connection_dropped) {
    this->cold_state.RecordPossibleRestart(now);
  }
  this->RecordPossibleRestart(exchange, sent_at);
  if (!exchange.fault.empty()) {
    this->LogInvalidResponse(request.attempt_id(), exchange);
  }
  protocol::CallReply reply;
  switch (exchange.end) {
    case TargetExchange::End::kNotSent:
      this->cold_state.RecordPossibleRestart(now);
      return MakeRefusedReply(RefusalReason::kTargetUnreachable);
    case TargetExchange::End::kWithdrawn:
      return MakeRefusedReply(RefusalReason::kCancelledUnsent);
    case TargetExchange::End::kDeadlinePassed:
      reply = MakeRefusedReply(RefusalReason::kDeadlinePassed);
      break;
    case TargetExchange::End::kCancelled:
      reply = MakeRefusedReply(RefusalReason::kCancelled);
      break;
    case TargetExchange::End::kResponseLost:
      this->cold_state.RecordLostResponse(now);
      this->crash_detector.RecordLostResponse(request.digest(), sent_at, now);
      reply = MakeRefusedReply(RefusalReason::kResponseLost);
      break;
    case TargetExchange::End::kResponseInvalid:
      reply = MakeRefusedReply(RefusalReason::kResponseLost);
      break;
    case TargetExchange::End::kResponseTooLarge:
      this->cold_state.RequestCheck();
      reply = MakeRefusedReply(RefusalReason::kResponseLost);
      break;
    case TargetExchange::End::kAnswered:
      switch (
          platform::ClassifyResponse(exchange.response, request.attempt_id())) {
        case platform::ResponseClass::kAnswered:
          this->RecordNotice(exchange.response,
                             platform::IsSigned(exchange.response), sent_at,
                             "response");
          this->fatal_requests.RecordAnswered(request.digest(), now);
          reply.set_outcome(protocol::OUTCOME_ANSWERED);
          platform::MoveToReply(exchange.response, reply);
          break;
        case platform::ResponseClass::kNotRun:
          this->RecordNotice(exchange.response,
                             platform::IsSigned(exchange.response), sent_at,
                             "response");
          reply = MakeRefusedReply(RefusalReason::kShedByTarget);
          break;
        case platform::ResponseClass::kOtherTarget:
          this->cold_state.RecordPossibleRestart(now);
          reply = MakeRefusedReply(RefusalReason::kNoTarget);
          break;
        case platform::ResponseClass::kInvalid:
          this->target.DiscardConnection(exchange);
          reply = MakeRefusedReply(RefusalReason::kResponseLost);
          break;
      }
      break;
  }
  reply.set_reached_target(true);
  return reply;
}

void MeshGate::RecordNotice(const HttpResponse& response,
                            bool is_genuine,
                            TimePoint sent_at,
                            std::string_view source) {
  this->has_target_responded = true;
  const std::optional<TargetNotice> notice =
      platform::ReadTargetNotice(response);
  if (!notice) {
    return;
  }
  const TimePoint now = this->clock.Now();
  this->notices.Record(*notice, is_genuine, sent_at, now);
  this->LogNoticeChange(source, now);
}

void MeshGate::RecordLeavingReport(const protocol::TargetRun& run) {
  if (run.target_id() != this->LocalTargetId()) {
    return;
  }
  const TimePoint now = this->clock.Now();
  this->notices.RecordReport(run.born(), now);
  this->LogNoticeChange("node", now);
  this->StartQueuedCalls();
}

void MeshGate::RecordPossibleRestart(const TargetExchange& exchange,
                                     TimePoint sent_at) {
  if (exchange.connection_dropped) {
    // The target closed the connection before the request was sent.
    this->notices.RecordPossibleRestart(sent_at);
  }
  if (exchange.end == TargetExchange::End::kNotSent ||
      exchange.end == TargetExchange::End::kResponseLost) {
    this->notices.RecordPossibleRestart(this->clock.Now());
  }
}

Awaitable<> MeshGate::RunHealthChecks() {
  while (true) {
    this->health_timer.expires_after(kHealthInterval);
    ErrorCode ignored;
    co_await this->health_timer.async_wait(Await(ignored));
    this->RefreshView();
    const bool is_in_use = this->local_target != nullptr && !this->draining;
    const bool needs_check = this->cold_state.NeedsCheck() ||
                             this->notices.NeedsCheck(this->clock.Now());
    if (is_in_use && needs_check && !this->health_path.empty()) {
      co_await this->CheckHealthOnce();
      this->LogColdStateChange();
      this->StartQueuedCalls();
    }
  }
}

Awaitable<> MeshGate::CheckHealthOnce() {
  const TimePoint sent_at = this->clock.Now();
  this->admission.RecordHealthCheck(sent_at);
  TargetExchange exchange = co_await this->target.Send(
      platform::MakeHealthRequest(this->health_path), sent_at + kHealthTimeout,
      std::make_shared<Cancellation>());
  if (exchange.connection_refused) {
    this->RecordProcessEnd();
  }
  this->RecordPossibleRestart(exchange, sent_at);
  if (!exchange.fault.empty()) {
    this->LogInvalidResponse("", exchange);
  }
  if (exchange.end != TargetExchange::End::kAnswered) {
    co_return;
  }
  const std::optional<platform::HealthResponse> answer =
      platform::ReadHealthResponse(exchange.response);
  if (!answer) {
    this->target.DiscardConnection(exchange);
    co_return;
  }
  const std::string local_id = this->LocalTargetId();
  if (answer->target_id == local_id) {
    this->cold_state.RecordHealth(answer->cold_left, this->clock.Now());
  }
  // A target that isn't healthy may not name itself.
  if (answer->target_id.empty() || answer->target_id == local_id) {
    const bool is_genuine = answer->is_healthy && answer->target_id == local_id;
    this->RecordNotice(exchange.response, is_genuine, sent_at, "health");
  }
}

void MeshGate::LogInvalidResponse(const std::string& request,
                                  const TargetExchange& exchange) {
  const std::optional<std::uint64_t> left_out =
      this->log_limiter.TryAcquire(true, this->clock.Now());
  if (left_out) {
    LogEvent(EventId::kTargetResponseInvalid,
             {{"request", request},
              {"target", this->LocalTargetId()},
              {"fault", exchange.fault},
              {"left_out", *left_out}});
  }
}

void MeshGate::RecordProcessEnd() {
  if (this->crash_detector.RecordProcessEnd(this->clock.Now())) {
    asio::co_spawn(this->context, this->ReportCrash(), asio::detached);
  }
}

Awaitable<> MeshGate::ReportCrash() {
  Timer timer(this->context, kConnectionCloseTime);
  ErrorCode ignored;
  co_await timer.async_wait(Await(ignored));
  const std::set<RequestDigest> running =
      this->crash_detector.TakeCrash(this->clock.Now());
  const bool was_leaving = this->ReasonToRefuse() == RefusalReason::kDraining;
  if (running.empty() || was_leaving) {
    co_return;
  }
  TargetCrash crash;
  crash.id = RandomNumber();
  crash.running = running;
  this->fatal_requests.RecordCrash(std::move(crash), this->clock.Now());
  std::string digests;
  std::size_t count = 0;
  for (const RequestDigest digest : running) {
    if (++count <= kMaxLoggedRequests) {
      digests += (digests.empty() ? "" : " ") + ToText(digest);
    }
  }
  LogEvent(EventId::kTargetCrashed,
           {{"target", this->LocalTargetId()},
            {"running", static_cast<std::uint64_t>(running.size())},
            {"requests", digests}});
}

void MeshGate::LogColdStateChange() {
  const bool is_cold = this->cold_state.IsCold(this->clock.Now());
  if (is_cold != this->logged_cold) {
    this->logged_cold = is_cold;
    LogEvent(is_cold ? EventId::kTargetCold : EventId::kTargetWarm,
             {{"address", this->target_address.ToString()},
              {"limit", static_cast<std::uint64_t>(this->admission.Limit())}});
  }
}

std::string MeshGate::LocalTargetId() const {
  return this->local_target == nullptr ? "" : this->local_target->id;
}

void MeshGate::LogNoticeChange(std::string_view source, TimePoint now) {
  const std::optional<double> max_rate = this->notices.MaxRate();
  if (max_rate != this->logged_max_rate &&
      now - this->max_rate_logged_at >= kMaxRateLogInterval) {
    this->logged_max_rate = max_rate;
    this->max_rate_logged_at = now;
    LogEvent(
        EventId::kTargetMaxRateChanged,
        {{"target", this->LocalTargetId()},
         {"rate", max_rate ? std::to_string(*max_rate) : "none"},
         {"in_flight", static_cast<std::uint64_t>(this->admission.InFlight())},
         {"queued", static_cast<std::uint64_t>(this->admission.Queued())}});
  }
  if (this->notices.IsLeaving() != this->logged_leaving) {
    this->logged_leaving = this->notices.IsLeaving();
    LogEvent(EventId::kTargetStatesLeaving,
             {{"target", this->LocalTargetId()},
              {"leaving", this->logged_leaving ? "true" : "false"},
              {"source", source},
              {"record", this->local_target == nullptr ? "none"
                         : this->local_target->leaving ? "leaving"
                                                       : "ready"}});
  }
}

void MeshGate::RecordCancellation(const std::string& attempt_id,
                                  CancellationCause cause,
                                  CallState state,
                                  Duration waited) {
  const std::string_view state_name =
      state == CallState::kQueued ? "queued" : "running";
  ++this->cancelled_calls[{ToString(cause), state_name}];
  const std::optional<std::uint64_t> left_out =
      this->log_limiter.TryAcquire(true, this->clock.Now());
  if (!left_out) {
    return;
  }
  LogEvent(EventId::kCallCancelled, {{"request", attempt_id},
                                     {"target", this->LocalTargetId()},
                                     {"cause", ToString(cause)},
                                     {"state", state_name},
                                     {"microseconds", ToMicroseconds(waited)},
                                     {"left_out", *left_out}});
}

void MeshGate::LogFailedCall(const std::string& attempt_id,
                             const protocol::CallReply& reply,
                             Duration waited) {
  const TimePoint now = this->clock.Now();
  const std::optional<std::uint64_t> left_out =
      this->log_limiter.TryAcquire(true, now);
  if (!left_out) {
    return;
  }
  const RefusalReason reason = static_cast<RefusalReason>(reply.reason());
  LogEvent(
      EventId::kCallEnded,
      {{"request", attempt_id},
       {"target", this->LocalTargetId()},
       {"outcome",
        reply.outcome() == protocol::OUTCOME_NOT_RUN ? "not-run" : "unknown"},
       {"reason", reply.reason()},
       {"title", Describe(reason).title},
       {"reached_target", reply.reached_target() ? "true" : "false"},
       {"microseconds", ToMicroseconds(waited)},
       {"in_flight", static_cast<std::uint64_t>(this->admission.InFlight())},
       {"queued", static_cast<std::uint64_t>(this->admission.Queued())},
       {"limit", static_cast<std::uint64_t>(this->admission.Limit())},
       {"cold", this->cold_state.IsCold(now) ? "true" : "false"},
       {"left_out", *left_out}});
}

boost::json::object MeshGate::Status() const {
  return {{"in_flight", this->admission.InFlight()},
          {"queued", this->admission.Queued()},
          {"limit", this->admission.Limit()},
          {"usable_slots", this->admission.UsableSlots()},
          {"cold", this->cold_state.IsCold(this->clock.Now())},
          {"stated_rate", this->notices.MaxRate()
                              ? boost::json::value(*this->notices.MaxRate())
                              : boost::json::value()},
          {"target_leaving", this->notices.IsLeaving()},
          {"connections", this->target.ConnectionCount()},
          {"invalid_responses", this->target.InvalidResponses()},
          {"draining", this->draining.load()}};
}

std::string MeshGate::ToPrometheusText() const {
  std::string text =
      "# HELP daisywinch_target_leaving Whether the target states that it "
      "leaves.\n# TYPE daisywinch_target_leaving gauge\n"
      "daisywinch_target_leaving ";
  text += this->notices.IsLeaving() ? "1\n" : "0\n";
  text +=
      "# HELP daisywinch_cancelled_calls_total Calls that were cancelled, by "
      "cause and state.\n"
      "# TYPE daisywinch_cancelled_calls_total counter\n";
  for (const auto& [labels, count] : this->cancelled_calls) {
    text += "daisywinch_cancelled_calls_total{cause=\"" +
            std::string(labels.first) + "\",state=\"" +
            std::string(labels.second) + "\"} " + std::to_string(count) + "\n";
  }
  text +=
      "# HELP daisywinch_invalid_responses_total Responses of the target that "
      "aren't valid HTTP.\n"
      "# TYPE daisywinch_invalid_responses_total counter\n"
      "daisywinch_invalid_responses_total " +
      std::to_string(this->target.InvalidResponses()) + "\n";
  if (this->notices.MaxRate()) {
    text +=
        "# HELP daisywinch_target_max_rate Requests per second that the target "
        "states to accept.\n# TYPE daisywinch_target_max_rate gauge\n"
        "daisywinch_target_max_rate " +
        std::to_string(*this->notices.MaxRate()) + "\n";
  }
  return text;
}

void MeshGate::AddLoad(protocol::CallReply& reply) {
  const TimePoint now = this->clock.Now();
  protocol::GateLoad* load = reply.mutable_load();
  load->set_in_flight(this->admission.InFlight());
  load->set_queued(this->admission.Queued());
  load->set_limit(this->admission.Limit());
  load->set_cold(this->cold_state.IsCold(now));
  load->set_work_microseconds(
      ToMicroseconds(this->admission.MeanServiceTime()));
  this->UpdateAdmission(now);
  if (const std::optional<double> rate = this->admission.RateLimit()) {
    load->set_max_rate(static_cast<float>(*rate));
    load->set_pacing_delay_microseconds(
        ToMicroseconds(this->admission.PacingDelay(now)));
  }
  if (this->local_target != nullptr && this->notices.IsLeaving()) {
    load->mutable_leaving()->set_target_id(this->local_target->id);
    load->mutable_leaving()->set_born(this->local_target->born);
  } else if (this->local_target != nullptr && this->notices.HasRunEnded()) {
    load->mutable_ended()->set_target_id(this->local_target->id);
    load->mutable_ended()->set_born(this->local_target->born);
  }
}

}  // namespace daisywinch
