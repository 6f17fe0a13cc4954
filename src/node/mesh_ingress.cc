#include "node/mesh_ingress.h"

#include <algorithm>
#include <cmath>
#include <set>
#include <utility>

#include "state/call_attempts.h"
#include "state/duration.h"
#include "state/event_log.h"
#include "state/request_digest.h"
#include "transport/call_client.h"

namespace daisywinch {

namespace {

constexpr int kServerError = 500;
constexpr unsigned kServiceUnavailable = 503;
/// Timeout of a request whose caller sets none; the route's timeout may shorten
/// it.
constexpr std::chrono::seconds kDefaultTimeout{60};
/// Time reserved for returning the response to the caller.
constexpr std::chrono::milliseconds kResponseMargin{10};
/// Levels of a call tree that may each retry. Trees are seldom deeper.
constexpr int kTreeLevels = 4;
/// Maximum number of retries that accumulate while none are needed. A retry of
/// a route that makes nested calls repeats those too.
constexpr double kMaxSavedLeafRetries = 3;
constexpr double kMaxSavedInnerRetries = 1;
constexpr Duration kDefaultObjective = std::chrono::seconds(1);
/// Retry delay while this node has no configuration.
constexpr Duration kNotReadyRetryDelay = std::chrono::milliseconds(400);
/// Retry delay while this node shuts down: the time until the process that
/// replaces it is ready.
constexpr Duration kDrainingRetryDelay = std::chrono::milliseconds(1500);

/// Minimum change of an admitted fraction that is logged, and minimum interval
/// between logged changes.
constexpr double kMinLoggedChange = 0.1;
constexpr std::chrono::milliseconds kAdmissionLogInterval{400};
/// Minimum interval between log lines for one customer over its rate.
constexpr std::chrono::seconds kOverRateLogInterval{1};

/// Source name for the combined traffic of all other nodes.
constexpr char kOtherNodes[] = "others";
/// The combined counts continue for the lifetime of this process, so that their
/// incarnation never changes.
constexpr std::uint64_t kOtherNodesIncarnation = 1;
RequestClass ToRequestClass(std::uint32_t priority) {
  return static_cast<RequestClass>(
      std::min<std::uint32_t>(priority, kRequestClassCount - 1));
}

Duration ObjectiveOf(const MeshRoute& route) {
  return route.objective > Duration::zero() ? route.objective
                                            : kDefaultObjective;
}

GateResult ToGateResult(const protocol::CallReply& reply) {
  if (reply.outcome() == protocol::OUTCOME_ANSWERED) {
    return reply.status() >= kServerError ? GateResult::kFailed
                                          : GateResult::kServed;
  }
  const RefusalReason reason = static_cast<RefusalReason>(reply.reason());
  // A gate that is stopping is tried again after a pause, or if there is no
  // other.
  if (reason == RefusalReason::kTargetUnreachable ||
      reason == RefusalReason::kDraining ||
      (!reply.has_load() && reply.outcome() == protocol::OUTCOME_UNKNOWN)) {
    return GateResult::kUnreachable;
  }
  return reply.reached_target() && reason != RefusalReason::kDeadlinePassed &&
                 reason != RefusalReason::kCancelled
             ? GateResult::kFailed
             : GateResult::kRefused;
}

AttemptResult ToAttemptResult(const protocol::CallReply& reply) {
  AttemptResult result;
  result.has_failed = reply.outcome() != protocol::OUTCOME_ANSWERED ||
                      static_cast<int>(reply.status()) >= kServerError;
  result.has_not_run = reply.outcome() == protocol::OUTCOME_NOT_RUN;
  result.may_have_reached_target = reply.reached_target() || !reply.has_load();
  result.was_refused_unsent = result.has_not_run && !reply.reached_target();
  return result;
}

}  // namespace

MeshIngress::MeshIngress(asio::io_context& /*context*/,
                         const Clock& clock,
                         const MeshSettings& settings,
                         std::uint64_t seed,
                         const MeshViewHolder& views,
                         RouteCostEstimator& cost_estimator,
                         FatalRequests& fatal_requests,
                         const RunningTrees& running_trees,
                         CallSender& sender)
    : clock(clock),
      service(settings.service),
      ip(settings.ip),
      peer_port(settings.peer_port),
      bounds(settings.bounds),
      views(views),
      sender(sender),
      balancer(settings.data_centre, seed),
      rate_limiter(settings.bounds),
      cost_estimator(cost_estimator),
      fatal_requests(fatal_requests),
      running_trees(running_trees),
      return_schedule(seed),
      log_limiter(clock.Now()) {}

Awaitable<HttpResponse> MeshIngress::Handle(
    HttpRequest request,
    std::shared_ptr<Cancellation> cancellation) {
  Call call;
  call.started = this->clock.Now();
  const RefusalReason reason = cancellation->IsCancelled()
                                   ? this->RefuseUnread(request, call)
                                   : this->Admit(request, call);
  if (reason != RefusalReason::kNone) {
    this->RecordMetrics(call, static_cast<std::uint32_t>(reason),
                        Duration::zero());
    this->LogRequestEnd(call, MakeRefusedReply(reason));
    co_return this->MakeRefusal(call, reason, true);
  }
  protocol::CallReply reply;
  {
    const CancellationScope scope(cancellation, [this, &call, &cancellation] {
      this->LogCancellation(call, cancellation->Cause());
    });
    reply = co_await this->SendWithRetries(call, cancellation);
  }
  this->RecordOutcome(call, reply);
  const std::uint32_t reason_code =
      reply.outcome() == protocol::OUTCOME_ANSWERED ? 0 : reply.reason();
  this->RecordMetrics(call, reason_code,
                      std::chrono::microseconds(reply.target_microseconds()));
  this->LogRequestEnd(call, reply);
  co_return this->MakeResponse(call, std::move(reply));
}

RefusalReason MeshIngress::RefuseUnread(const HttpRequest& request,
                                        Call& call) {
  call.attempt_id = platform::ReadAttemptHeaders(request).attempt_id;
  this->LogCancellation(call, CancellationCause::kCallerLeft);
  return RefusalReason::kCancelledUnsent;
}

void MeshIngress::RecordOutcome(const Call& call,
                                const protocol::CallReply& reply) {
  const TimePoint now = this->clock.Now();
  const bool is_served = reply.outcome() == protocol::OUTCOME_ANSWERED &&
                         static_cast<int>(reply.status()) < kServerError;
  if (!call.is_root) {
    const RefusalReason reason = static_cast<RefusalReason>(reply.reason());
    // The slots that a target reports already allow for its rate limit.
    const bool is_refused = reply.outcome() == protocol::OUTCOME_NOT_RUN &&
                            !reply.load().cold() &&
                            !reply.load().has_max_rate() &&
                            (reason == RefusalReason::kShedByGate ||
                             reason == RefusalReason::kShedByTarget);
    this->root_admitter.RecordNestedCall(call.service, is_refused, now);
  } else if (is_served) {
    this->root_admitter.RecordServed(call.load_class, now);
    this->return_schedule.RecordServed(call.load_class, now - call.started);
  }
}

void MeshIngress::SetBounds(const MeshBounds& new_bounds) {
  this->bounds = new_bounds;
  this->rate_limiter.SetBounds(new_bounds);
  if (this->view != nullptr && this->view->Configuration() != nullptr) {
    this->rate_limiter.Configure(*this->view->Configuration(),
                                 this->clock.Now());
  }
}

void MeshIngress::RefreshView() {
  std::shared_ptr<const MeshView> newest = this->views.Load();
  if (newest == nullptr || newest == this->view) {
    return;
  }
  this->view = std::move(newest);
  const TimePoint now = this->clock.Now();
  if (this->view->Configuration() != nullptr) {
    this->rate_limiter.Configure(*this->view->Configuration(), now);
    this->RetainConfigured(*this->view->Configuration());
  }
  std::set<std::string> vms = this->view->VmAddresses();
  vms.insert(this->ip);
  std::set<std::string> others;
  if (vms.size() > 1) {
    others.insert(kOtherNodes);
  }
  this->rate_limiter.SetNodes(others, vms.size(), now);
}

void MeshIngress::RetainConfigured(const MeshConfiguration& configuration) {
  std::erase_if(this->retry_budgets, [&configuration](const auto& entry) {
    return configuration.FindService(entry.first.first) == nullptr;
  });
  std::set<std::string_view> customers;
  for (const MeshCustomer& customer : configuration.Customers()) {
    customers.insert(customer.name);
  }
  std::erase_if(this->over_rate_logged_at, [&customers](const auto& entry) {
    return !customers.contains(entry.first);
  });
}

RefusalReason MeshIngress::Admit(HttpRequest& request, Call& call) {
  this->RefreshView();
  const platform::AttemptHeaders headers =
      platform::ReadAttemptHeaders(request);
  call.attempt_id = headers.attempt_id;
  if (this->view == nullptr || this->view->Configuration() == nullptr) {
    return RefusalReason::kNotReady;
  }
  if (call.attempt_id.empty()) {
    return RefusalReason::kMalformedRequest;
  }
  call.configuration = this->view->Configuration();
  call.route = call.configuration->FindRoute(request[http::field::host],
                                             request.target());
  if (call.route == nullptr) {
    return RefusalReason::kUnknownRoute;
  }
  const MeshCustomer* customer =
      headers.key.empty() ? nullptr
                          : call.configuration->FindCustomer(headers.key);
  const bool needs_key =
      !call.configuration->Customers().empty() && !call.route->open;
  if (needs_key && customer == nullptr) {
    return RefusalReason::kUnknownKey;
  }
  call.priority = call.route->priority;
  // Targets send nested calls without an API key.
  call.is_root = customer != nullptr || !call.route->open;
  if (customer != nullptr) {
    call.customer = customer->name;
    call.priority =
        customer->has_priority ? customer->priority : call.route->priority;
  }
  call.load_class = {
      this->route_classes.Count(call.route->name,
                                call.route->traffic_split.front().service,
                                call.started),
      call.priority};
  call.message.set_digest(
      DigestOf({call.route->name, request.method_string(), request.target(),
                call.customer, this->service, request.body()}));
  if (this->fatal_requests.IsFatal(call.message.digest(), call.started)) {
    return RefusalReason::kFatalRequest;
  }
  Duration timeout = headers.timeout.value_or(kDefaultTimeout);
  if (call.route->timeout > Duration::zero()) {
    timeout = std::min(timeout, call.route->timeout);
  }
  call.deadline =
      call.started + std::max(Duration::zero(), timeout - kResponseMargin);
  if (this->IsTooLateToTake(call)) {
    return RefusalReason::kDraining;
  }
  if (!call.customer.empty() &&
      !this->rate_limiter.TryAcquire(call.customer, call.started)) {
    this->LogOverRate(call);
    return RefusalReason::kOverRate;
  }
  if (!call.is_root) {
    this->cost_estimator.RecordNestedCall(call.load_class.route, call.started);
  } else {
    const bool is_admitted = this->root_admitter.Admit(
        call.load_class, *call.configuration, call.started);
    this->LogAdmissionChanges(call.started);
    if (!is_admitted) {
      // A request that does not run doesn't count against the rate.
      this->rate_limiter.Refund(call.customer);
      return RefusalReason::kShedByIngress;
    }
  }
  call.tree = this->TreeOf(call, headers.timeout);
  call.service = this->weighted_service_chooser.Choose(*call.route);
  protocol::CallRequest& message = call.message;
  message.set_route(call.route->name);
  message.set_customer(call.customer);
  message.set_repeatable(call.route->repeatable);
  message.set_attempt_id(call.attempt_id);
  message.set_caller_service(this->service);
  message.set_priority(call.tree.priority);
  message.set_is_root(call.is_root);
  platform::MoveToCallRequest(request, message);
  return RefusalReason::kNone;
}

CallTree MeshIngress::TreeOf(const Call& call,
                             std::optional<Duration> timeout) const {
  std::optional<CallTree> tree;
  if (!call.is_root && timeout) {
    tree = this->running_trees.Find(call.started + *timeout);
  }
  // A nested call of an unknown tree has the highest priority, as refusing it
  // may waste any work.
  return tree.value_or(CallTree{call.is_root ? call.priority : 0,
                                call.started + ObjectiveOf(*call.route)});
}

bool MeshIngress::IsTooLateToTake(const Call& call) const {
  return this->stop_schedule &&
         (call.is_root ||
          !this->stop_schedule->MayTakeCall(call.started, call.deadline));
}

Awaitable<protocol::CallReply> MeshIngress::SendWithRetries(
    Call& call,
    std::shared_ptr<Cancellation> cancellation) {
  this->RetryBudgetFor(call).Deposit();
  std::set<std::string> tried_targets;
  CallAttempts attempts(call.route->repeatable, call.route->max_attempts);
  protocol::CallReply reply = MakeRefusedReply(RefusalReason::kNoTarget);
  std::optional<protocol::CallReply> lost_reply;
  while (true) {
    this->RefreshView();
    const std::shared_ptr<const MeshView> current_view = this->view;
    const MeshTarget* target = this->balancer.Choose(
        *current_view, call.service, tried_targets,
        call.started + ObjectiveOf(*call.route) - this->clock.Now(),
        this->clock.Now());
    if (target == nullptr) {
      co_return reply;
    }
    tried_targets.insert(target->id);
    call.tried_targets += (call.tried_targets.empty() ? "" : ",") + target->id;
    reply = co_await this->SendOnce(call, *target, cancellation);
    const bool has_answer = reply.outcome() == protocol::OUTCOME_ANSWERED;
    if (!has_answer && this->IsFatal(call, reply)) {
      // An earlier attempt may have run.
      co_return lost_reply.value_or(reply);
    }
    if (reply.outcome() == protocol::OUTCOME_UNKNOWN) {
      lost_reply = reply;
    }
    if (cancellation->IsCancelled() || this->clock.Now() >= call.deadline) {
      co_return reply;
    }
    if (!attempts.MayTryAgain(ToAttemptResult(reply),
                              this->RetryBudgetFor(call))) {
      co_return reply;
    }
  }
}

bool MeshIngress::IsFatal(const Call& call,
                          const protocol::CallReply& reply) const {
  return reply.reason() ==
             static_cast<std::uint32_t>(RefusalReason::kFatalRequest) ||
         this->fatal_requests.IsFatal(call.message.digest(), this->clock.Now());
}

Awaitable<protocol::CallReply> MeshIngress::SendOnce(
    Call& call,
    const MeshTarget& target,
    std::shared_ptr<Cancellation> cancellation) {
  protocol::CallRequest message = call.message;
  const std::string target_id = target.id;
  protocol::TargetRun run;
  run.set_target_id(target_id);
  run.set_born(target.born);
  message.set_target_id(target_id);
  if (this->balancer.Leaving().IsLeaving(target)) {
    *message.mutable_leaving() = run;
  }
  message.set_objective_microseconds(ToMicroseconds(
      call.started + ObjectiveOf(*call.route) - this->clock.Now()));
  message.set_tree_objective_microseconds(
      std::chrono::duration_cast<std::chrono::microseconds>(
          call.tree.objective_end - this->clock.Now())
          .count());
  Vm vm;
  vm.name = target.address.ip;
  vm.peer_address = {target.address.ip, this->peer_port};
  this->balancer.CallStarted(target_id);
  protocol::CallReply reply = co_await this->sender.Send(
      vm, std::move(message), call.deadline, cancellation);
  const TimePoint now = this->clock.Now();
  if (cancellation->IsCancelled()) {
    this->balancer.CallEnded(target_id, GateResult::kRefused, now);
  } else {
    this->balancer.CallEnded(target_id, ToGateResult(reply), now);
  }
  if (reply.has_load()) {
    TargetLoad load;
    load.in_flight = static_cast<int>(reply.load().in_flight());
    load.queued = static_cast<int>(reply.load().queued());
    load.limit = static_cast<int>(reply.load().limit());
    load.is_cold = reply.load().cold();
    if (reply.load().has_max_rate()) {
      load.max_rate = reply.load().max_rate();
      load.pacing_delay =
          std::chrono::microseconds(reply.load().pacing_delay_microseconds());
    }
    load.service_time =
        std::chrono::microseconds(reply.load().work_microseconds());
    this->balancer.RecordLoad(target_id, load, now);
  }
  this->RecordRunState(call, run, reply);
  co_return reply;
}

void MeshIngress::RecordRunState(const Call& call,
                                 const protocol::TargetRun& run,
                                 const protocol::CallReply& reply) {
  const protocol::TargetRun& ended = reply.load().ended();
  if (reply.load().has_ended() &&
      this->balancer.Leaving().RecordEnd(ended.target_id(), ended.born())) {
    this->LogRunState(call, ended, false, "gate");
  }
  if (reply.load().has_leaving()) {
    this->RecordLeaving(call, reply.load().leaving(), "gate");
  }
  // The gate may know nothing of the run, as its record is gone.
  if (platform::StatesLeaving(reply)) {
    this->RecordLeaving(call, run, "response");
  }
}

void MeshIngress::RecordLeaving(const Call& call,
                                const protocol::TargetRun& run,
                                std::string_view source) {
  if (this->balancer.Leaving().RecordLeaving(run.target_id(), run.born(),
                                             this->clock.Now())) {
    this->LogRunState(call, run, true, source);
  }
}

void MeshIngress::LogRunState(const Call& call,
                              const protocol::TargetRun& run,
                              bool is_leaving,
                              std::string_view source) {
  LogEvent(EventId::kLeavingRunKnown,
           {{"target", run.target_id()},
            {"born", std::to_string(run.born())},
            {"leaving", is_leaving ? "true" : "false"},
            {"source", source},
            {"request", call.attempt_id}});
}

RetryBudget& MeshIngress::RetryBudgetFor(const Call& call) {
  const FleetLoad& load = this->root_admitter.Load();
  const bool is_leaf = load.IsLeaf(call.load_class.route, call.service);
  double ratio =
      RetryRatioPerLevel(this->bounds.retry_ratio, kTreeLevels, is_leaf);
  RetryKind kind = RetryKind::kInner;
  if (is_leaf) {
    const LeafRetryRatios ratios = load.RetryRatios(call.service, ratio);
    ratio = call.is_root ? ratios.roots : ratios.nested;
    kind = call.is_root ? RetryKind::kLeafRoot : RetryKind::kNestedLeaf;
  }
  RetryBudget& budget =
      this->retry_budgets
          .try_emplace({call.service, kind}, ratio,
                       is_leaf ? kMaxSavedLeafRetries : kMaxSavedInnerRetries)
          .first->second;
  budget.SetRatio(ratio);
  return budget;
}

HttpResponse MeshIngress::MakeResponse(const Call& call,
                                       protocol::CallReply reply) {
  if (reply.outcome() == protocol::OUTCOME_ANSWERED) {
    return platform::MakeCallerResponse(reply);
  }
  return this->MakeRefusal(call, static_cast<RefusalReason>(reply.reason()),
                           reply.outcome() == protocol::OUTCOME_NOT_RUN);
}

HttpResponse MeshIngress::MakeRefusal(const Call& call,
                                      RefusalReason reason,
                                      bool has_not_run) {
  const Refusal& refusal = Describe(reason);
  const std::uint32_t reason_code = static_cast<std::uint32_t>(reason);
  unsigned status = refusal.status;
  std::optional<Duration> retry_after;
  if (has_not_run && status >= kServerError) {
    status = kServiceUnavailable;
  }
  if (has_not_run && (refusal.retryable || status == kServiceUnavailable)) {
    retry_after = this->RetryDelay(call, reason);
  }
  return platform::MakeRefusal(status, call.attempt_id, reason_code,
                               retry_after);
}

Duration MeshIngress::RetryDelay(const Call& call, RefusalReason reason) {
  if (reason == RefusalReason::kNotReady || call.route == nullptr) {
    return kNotReadyRetryDelay;
  }
  if (this->stop_schedule && call.is_root) {
    return kDrainingRetryDelay;
  }
  const Duration objective = ObjectiveOf(*call.route);
  if (reason == RefusalReason::kOverRate) {
    return this->return_schedule.DelayOverRate(objective);
  }
  return this->return_schedule.DelayFor(call.load_class, objective,
                                        this->clock.Now() - call.started);
}

void MeshIngress::ApplyUpdate(TrafficSum update) {
  const TimePoint now = this->clock.Now();
  this->rate_limiter.ApplyUsageUpdate(kOtherNodes, kOtherNodesIncarnation,
                                      update.customers, false, now);
  this->root_admitter.ApplyFleetLoad(std::move(update.load), now);
  this->fatal_requests.Merge(update.crashes, now);
  this->LogVerdicts(now);
}

bool MeshIngress::HasUrgentUpdate() const {
  const TimePoint now = this->clock.Now();
  return this->rate_limiter.HasUrgentUpdate(now) ||
         this->fatal_requests.HasUrgentReport() ||
         this->root_admitter.HasUrgentGrowth(now);
}

TrafficUpdate MeshIngress::MakeUpdate(NodeLoad load) {
  const TimePoint now = this->clock.Now();
  this->root_admitter.AddTraffic(load, now);
  load.service = this->service;
  load.costs = this->cost_estimator.Costs(now);
  this->root_admitter.ApplyLocalLoad(this->ip, load, now);
  this->LogVerdicts(now);
  return {this->rate_limiter.MakeUsageUpdate(now), std::move(load),
          this->fatal_requests.MakeReport(now), false};
}

void MeshIngress::LogVerdicts(TimePoint now) {
  std::set<RequestDigest> verdicts;
  for (const RequestDigest digest : this->fatal_requests.Verdicts(now)) {
    verdicts.insert(digest);
    if (!this->logged_verdicts.contains(digest)) {
      LogEvent(EventId::kRequestJudgedFatal,
               {{"digest", ToText(digest)},
                {"crashes", static_cast<std::uint64_t>(
                                this->fatal_requests.CrashCount(digest))}});
    }
  }
  this->logged_verdicts = std::move(verdicts);
}

void MeshIngress::LogAdmissionChanges(TimePoint now) {
  const TimePoint computed_at = this->root_admitter.ComputedAt();
  if (now - this->admission_logged_at < kAdmissionLogInterval ||
      this->admission_compared_at == computed_at) {
    return;
  }
  this->admission_compared_at = computed_at;
  const std::map<RootClass, double>& fractions =
      this->root_admitter.Fractions();
  std::erase_if(this->logged_fractions, [&fractions](const auto& entry) {
    return !fractions.contains(entry.first);
  });
  for (const auto& [root_class, fraction] : fractions) {
    double& logged_fraction =
        this->logged_fractions.try_emplace(root_class, 1).first->second;
    if (std::abs(fraction - logged_fraction) < kMinLoggedChange) {
      continue;
    }
    logged_fraction = fraction;
    this->admission_logged_at = now;
    LogEvent(EventId::kAdmissionChanged,
             {{"route", root_class.route},
              {"priority", root_class.priority},
              {"part", std::to_string(fraction)},
              {"demand", this->root_admitter.Load().LastDemandSummary()}});
  }
}

void MeshIngress::LogRequestEnd(const Call& call,
                                const protocol::CallReply& reply) {
  const TimePoint now = this->clock.Now();
  const bool is_answered = reply.outcome() == protocol::OUTCOME_ANSWERED;
  const bool has_failed =
      !is_answered || static_cast<int>(reply.status()) >= kServerError;
  const std::optional<std::uint64_t> left_out =
      this->log_limiter.TryAcquire(has_failed, now);
  if (!left_out) {
    return;
  }
  const double fraction = call.route == nullptr
                              ? 1
                              : this->root_admitter.FractionOf(call.load_class);
  LogEvent(
      EventId::kRequestEnded,
      {{"request", call.attempt_id},
       {"digest", ToText(call.message.digest())},
       {"route", call.route == nullptr ? "" : call.route->name},
       {"customer", call.customer},
       {"rank", call.priority},
       {"root", call.is_root ? "true" : "false"},
       {"service", call.service},
       {"targets", call.tried_targets},
       {"outcome", is_answered                                    ? "answered"
                   : reply.outcome() == protocol::OUTCOME_NOT_RUN ? "not-run"
                                                                  : "unknown"},
       {"status", reply.status()},
       {"reason", is_answered ? 0 : reply.reason()},
       {"microseconds", ToMicroseconds(now - call.started)},
       {"in_target", reply.target_microseconds()},
       {"configuration",
        call.configuration ? call.configuration->Version() : 0},
       {"admitted_part", std::to_string(fraction)},
       {"part_age", ToMicroseconds(now - this->root_admitter.ComputedAt())},
       {"left_out", *left_out}});
}

void MeshIngress::LogCancellation(const Call& call, CancellationCause cause) {
  const TimePoint now = this->clock.Now();
  const std::optional<std::uint64_t> left_out =
      this->log_limiter.TryAcquire(true, now);
  if (!left_out) {
    return;
  }
  LogEvent(EventId::kRequestCancelled,
           {{"request", call.attempt_id},
            {"cause", ToString(cause)},
            {"targets", call.tried_targets},
            {"microseconds", ToMicroseconds(now - call.started)},
            {"left_out", *left_out}});
}

void MeshIngress::LogOverRate(const Call& call) {
  TimePoint& logged_at = this->over_rate_logged_at[call.customer];
  if (call.started - logged_at < kOverRateLogInterval) {
    return;
  }
  logged_at = call.started;
  LogEvent(EventId::kCustomerOverRate,
           {{"customer", call.customer},
            {"request", call.attempt_id},
            {"account",
             this->rate_limiter.DescribeState(call.customer, call.started)}});
}

void MeshIngress::RecordMetrics(const Call& call,
                                std::uint32_t reason,
                                Duration in_target) {
  const Duration total = this->clock.Now() - call.started;
  this->metrics.Record(call.customer, ToRequestClass(call.priority), reason,
                       total, total - in_target);
}

}  // namespace daisywinch
