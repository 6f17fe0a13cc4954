#include "node/ingress.h"

#include <algorithm>
#include <utility>

#include <boost/asio/post.hpp>

#include "node/caller_messages.h"
#include "state/key_digest.h"
#include "transport/call_client.h"

namespace daisywinch {

namespace {

constexpr double kRetryBudgetCapacity = 100;
constexpr double kInitialRetryRatio = 0.1;
constexpr int kServerError = 500;
constexpr std::size_t kMaxIdempotencyKeyBytes = 256;
constexpr int kRootIdBytes = 4;
/// Maximum number of other targets that a request is sent to after a target did
/// not receive it; these attempts do not count as retries.
constexpr int kMaxRedirects = 3;

/// Whether the target responded with a server error (5xx). Such a request has
/// cost the target work.
bool IsServerError(const protocol::CallReply& reply) {
  return reply.outcome() == protocol::OUTCOME_ANSWERED &&
         reply.status() >= kServerError;
}

/// Whether no target has received the request or spent work on it, so that
/// sending it to another one is not a retry.
bool WasNotReceived(const protocol::CallReply& reply) {
  const RefusalReason reason = static_cast<RefusalReason>(reply.reason());
  return reply.outcome() == protocol::OUTCOME_NOT_RUN &&
         (reason == RefusalReason::kTargetUnreachable ||
          reason == RefusalReason::kDraining ||
          reason == RefusalReason::kNotReady);
}

}  // namespace

Ingress::Ingress(asio::io_context& context,
                 const Clock& clock,
                 const Settings& settings,
                 std::uint64_t seed,
                 const SnapshotHolder& snapshots,
                 HandleTable& handles,
                 RateLimiter& rate_limiter,
                 CallSender& sender)
    : context(context),
      clock(clock),
      data_centre(settings.data_centre),
      snapshots(snapshots),
      handles(handles),
      sender(sender),
      balancer(settings.data_centre, seed),
      retry_budget(kInitialRetryRatio, kRetryBudgetCapacity),
      rate_limiter(rate_limiter),
      root_id_prefix(settings.vm + "-" + RandomHex(kRootIdBytes) + "-") {}

Awaitable<HttpResponse> Ingress::Handle(
    HttpRequest request,
    std::shared_ptr<Cancellation> cancellation) {
  const TimePoint started = this->clock.Now();
  RefusalReason reason = RefusalReason::kNone;
  std::optional<Call> call;
  bool may_be_duplicate = MayBeDuplicate(request, nullptr);
  const std::shared_ptr<const Snapshot> snapshot = this->snapshots.Load();
  if (cancellation->IsCancelled()) {
    reason = RefusalReason::kCancelledUnsent;
  } else if (snapshot) {
    const Route* route =
        snapshot->Routes().Find(request.method_string(), request.target());
    may_be_duplicate = MayBeDuplicate(request, route);
    call = co_await this->Admit(snapshot, route, request, reason);
  } else {
    reason = RefusalReason::kNotReady;
  }
  if (!call) {
    const Refusal& refusal = Describe(reason);
    co_return MakeProblem(
        refusal, may_be_duplicate ? Execution::kUnknown : refusal.execution);
  }
  // Not a conditional expression, because GCC 12 miscompiles one with co_await
  // in its branches: it destroys the results twice.
  protocol::CallReply reply;
  if (call->parent_handle.empty()) {
    reply = co_await this->SendWithRetries(*call, cancellation);
  } else {
    reply = co_await this->SendNestedCall(*call, cancellation);
  }
  const Duration total = this->clock.Now() - started;
  const Duration added =
      total - std::chrono::microseconds(reply.target_microseconds());
  const std::uint32_t reason_number =
      reply.outcome() == protocol::OUTCOME_ANSWERED ? 0 : reply.reason();
  this->metrics.Record(call->context.customer, call->route->request_class,
                       reason_number, total, added);
  if (reason_number != 0) {
    this->refusal_history.Add(
        {this->clock.Now(), call->context.customer, call->route->name,
         static_cast<RefusalReason>(reason_number), call->context.root_id});
  }
  co_return MakeResponse(std::move(reply), may_be_duplicate);
}

Awaitable<protocol::CallReply> Ingress::SendNestedCall(
    Call& call,
    std::shared_ptr<Cancellation> cancellation) {
  const std::uint64_t nested_call =
      this->handles.AddNestedCall(call.parent_handle, [this, cancellation] {
        asio::post(this->context, [cancellation] {
          cancellation->Cancel(CancellationCause::kParentEnded);
        });
      });
  if (nested_call == 0) {
    // The parent request has ended since its handle was looked up.
    co_return MakeRefusedReply(RefusalReason::kHandleEnded);
  }
  call.retries_left = this->handles.TakeRetries(call.parent_handle);
  protocol::CallReply reply =
      co_await this->SendWithRetries(call, cancellation);
  if (reply.outcome() != protocol::OUTCOME_ANSWERED || IsServerError(reply)) {
    this->handles.ReportNestedFailure(call.parent_handle);
  }
  this->handles.RemoveNestedCall(call.parent_handle, nested_call);
  this->handles.ReturnRetries(call.parent_handle, call.retries_left);
  co_return reply;
}

Awaitable<std::optional<Ingress::Call>> Ingress::Admit(
    std::shared_ptr<const Snapshot> snapshot,
    const Route* route,
    HttpRequest& request,
    RefusalReason& reason) {
  Call call;
  call.snapshot = std::move(snapshot);
  call.route = route;
  bool admitted = this->ResolveContext(request, call, reason);
  const bool is_rate_limited =
      call.parent_handle.empty() && !call.context.customer.empty();
  if (admitted && is_rate_limited) {
    admitted = co_await this->rate_limiter.TryAcquire(call.context.customer);
    reason = admitted ? reason : RefusalReason::kOverRate;
  }
  if (!admitted) {
    this->refusal_history.Add({this->clock.Now(), call.context.customer,
                               call.route == nullptr ? "" : call.route->name,
                               reason, call.context.root_id});
    this->metrics.Record(call.context.customer, call.context.request_class,
                         static_cast<std::uint32_t>(reason), Duration::zero(),
                         Duration::zero());
    co_return std::nullopt;
  }
  call.idempotency_key = std::string(request[kIdempotencyKeyHeader]);
  protocol::CallRequest& message = call.message;
  message.set_route(call.route->name);
  message.set_customer(call.context.customer);
  message.set_request_class(
      static_cast<std::uint32_t>(call.context.request_class));
  message.set_repeatable(call.route->repeatable);
  message.set_root_id(call.context.root_id);
  message.set_idempotency_key(call.idempotency_key);
  message.set_first_attempt(IsFirstAttempt(request));
  MoveToCallRequest(request, message);
  co_return call;
}

bool Ingress::ResolveContext(const HttpRequest& request,
                             Call& call,
                             RefusalReason& reason) {
  call.parent_handle = std::string(request[kHandleHeader]);
  if (call.parent_handle.empty()) {
    reason = this->Authenticate(request, call);
  } else {
    const std::optional<CallContext> parent =
        this->handles.Find(call.parent_handle, reason);
    call.context = parent.value_or(CallContext());
  }
  if (reason == RefusalReason::kNone) {
    reason = CheckRouteAccess(call);
  }
  const std::string_view idempotency_key = request[kIdempotencyKeyHeader];
  if (reason == RefusalReason::kNone &&
      idempotency_key.size() > kMaxIdempotencyKeyBytes) {
    reason = RefusalReason::kHeaderTooLarge;
  }
  if (reason != RefusalReason::kNone) {
    return false;
  }
  const TimePoint request_deadline =
      this->clock.Now() + TimeoutOf(request, *call.route);
  if (!call.parent_handle.empty()) {
    call.context.deadline = std::min(call.context.deadline, request_deadline);
    const bool is_too_late =
        this->stop_schedule && !this->stop_schedule->MayTakeCall(
                                   this->clock.Now(), call.context.deadline);
    reason = is_too_late ? RefusalReason::kDraining : RefusalReason::kNone;
    return !is_too_late;
  }
  call.context.deadline = request_deadline;
  call.context.request_class = call.route->request_class;
  call.context.root_id =
      this->root_id_prefix + std::to_string(this->next_root_id++);
  call.retries_left = call.snapshot->CurrentConfiguration().tree_retries;
  reason = this->draining ? RefusalReason::kDraining : RefusalReason::kNone;
  return reason == RefusalReason::kNone;
}

RefusalReason Ingress::Authenticate(const HttpRequest& request,
                                    Call& call) const {
  const std::string_view key = ApiKeyOf(request);
  const std::string* customer =
      key.empty() ? nullptr : call.snapshot->Keys().FindCustomer(key);
  if (customer != nullptr) {
    call.context.customer = *customer;
    return RefusalReason::kNone;
  }
  const bool is_open = call.route != nullptr && call.route->open;
  return is_open ? RefusalReason::kNone : RefusalReason::kUnknownKey;
}

RefusalReason Ingress::CheckRouteAccess(const Call& call) {
  if (call.route == nullptr) {
    return RefusalReason::kUnknownRoute;
  }
  if (call.route->retired) {
    return RefusalReason::kRouteRetired;
  }
  const bool is_allowed =
      call.route->open || call.route->AllowsCustomer(call.context.customer);
  return is_allowed ? RefusalReason::kNone : RefusalReason::kRouteNotAllowed;
}

Awaitable<protocol::CallReply> Ingress::SendWithRetries(
    Call& call,
    std::shared_ptr<Cancellation> cancellation) {
  this->retry_budget.SetRatio(
      call.snapshot->CurrentConfiguration().retry_ratio);
  this->retry_budget.Deposit();
  // A request that must run at most once is sent to the gate that owns its key,
  // which recognizes duplicates.
  const std::string hash_key =
      call.route->repeatable || call.idempotency_key.empty()
          ? std::string()
          : call.context.customer + "\n" + call.idempotency_key;
  std::set<std::string> tried_vms;
  int redirects = 0;
  protocol::CallReply reply = MakeRefusedReply(RefusalReason::kNoTarget);
  while (true) {
    if (cancellation->IsCancelled()) {
      co_return reply;
    }
    const Vm* target = this->balancer.Choose(
        *call.snapshot, call.route->service, call.context.customer,
        call.context.request_class, hash_key, tried_vms, this->clock.Now());
    if (target == nullptr) {
      co_return reply;
    }
    if (hash_key.empty() &&
        !this->balancer.ShouldSend(target->name, call.context.customer,
                                   call.context.request_class,
                                   this->clock.Now())) {
      reply = MakeRefusedReply(RefusalReason::kShedByIngress);
      reply.set_retries_left(call.retries_left);
      co_return reply;
    }
    tried_vms.insert(target->name);
    reply = co_await this->SendOnce(call, *target, cancellation);
    call.retries_left = reply.retries_left();
    if (this->clock.Now() >= call.context.deadline) {
      co_return reply;
    }
    if (WasNotReceived(reply) && redirects < kMaxRedirects) {
      ++redirects;
      continue;
    }
    if (!this->MayRetry(call, reply)) {
      co_return reply;
    }
    --call.retries_left;
  }
}

Awaitable<protocol::CallReply> Ingress::SendOnce(
    Call& call,
    const Vm& target,
    std::shared_ptr<Cancellation> cancellation) {
  protocol::CallRequest message = call.message;
  message.set_retries_left(call.retries_left);
  this->balancer.CallStarted(target.name);
  protocol::CallReply reply = co_await this->sender.Send(
      target, std::move(message), call.context.deadline, cancellation);
  this->balancer.CallEnded(target.name);
  if (!cancellation->IsCancelled()) {
    this->RecordReply(call, target.name, reply);
  }
  const bool replied_by_gate = reply.has_load();
  if (!replied_by_gate && reply.outcome() == protocol::OUTCOME_NOT_RUN) {
    reply.set_retries_left(call.retries_left);
  }
  co_return reply;
}

bool Ingress::MayRetry(const Call& call, const protocol::CallReply& reply) {
  const RefusalReason reason = static_cast<RefusalReason>(reply.reason());
  const bool overloaded = reason == RefusalReason::kShedByGate ||
                          reason == RefusalReason::kShedByIngress ||
                          reason == RefusalReason::kDeadlineTooShort;
  const bool not_run =
      reply.outcome() == protocol::OUTCOME_NOT_RUN && !overloaded;
  const bool failed =
      reply.outcome() == protocol::OUTCOME_UNKNOWN || IsServerError(reply);
  const bool is_retryable =
      not_run || (failed && call.route->repeatable && !reply.failed_below());
  return is_retryable && call.retries_left > 0 &&
         this->retry_budget.TryWithdraw();
}

void Ingress::RecordReply(const Call& call,
                          const std::string& vm,
                          const protocol::CallReply& reply) {
  const TimePoint now = this->clock.Now();
  if (!reply.has_load()) {
    this->balancer.RecordFailure(vm, now);
    return;
  }
  const protocol::GateLoad& load = reply.load();
  GateReport report;
  report.in_flight = static_cast<int>(load.in_flight());
  report.queued = static_cast<int>(load.queued());
  report.limit = static_cast<int>(load.limit());
  report.level = load.level();
  this->balancer.RecordReport(vm, call.context.customer, report, now);
  const RefusalReason reason = static_cast<RefusalReason>(reply.reason());
  if (reason == RefusalReason::kTargetUnreachable ||
      reason == RefusalReason::kResponseLost) {
    this->balancer.RecordFailure(vm, now);
  }
}

}  // namespace daisywinch
