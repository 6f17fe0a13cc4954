#include "node/mesh_entry.h"

#include <algorithm>
#include <cmath>
#include <set>
#include <utility>

#include "state/duration.h"
#include "state/event_log.h"
#include "transport/call_client.h"

namespace daisywinch {

namespace {

constexpr int kServerError = 500;
constexpr unsigned kServiceUnavailable = 503;
/// Other gates that a call is sent to after one refused it unsent.
constexpr int kMostRedirects = 3;
/// Longest time that a caller is kept waiting where nobody says.
constexpr std::chrono::seconds kLongestWait{60};
/// Time that an answer needs back to its caller.
constexpr std::chrono::milliseconds kAnswerMargin{10};
/// Part of the operators' retry ratio that an entry spends: a repeated call
/// repeats the calls below it, which count at their services too.
constexpr double kRetryPart = 0.35;
/// Retries that a quiet time can save up.
constexpr double kRetryCapacity = 3;
/// Span of the objective over which refused roots return.
constexpr double kEarliestReturn = 0.15;
constexpr double kLatestReturn = 0.4;
constexpr Duration kUnknownObjective = std::chrono::seconds(1);
/// Time after which a node that knows nothing yet is asked again.
constexpr Duration kNotReadyReturn = std::chrono::milliseconds(400);

/// Time between two computations of what is admitted.
constexpr std::chrono::milliseconds kAdmissionInterval{100};
/// Least change of an admitted part that is logged, and how often.
constexpr double kReportedChange = 0.1;
constexpr std::chrono::milliseconds kReportInterval{400};
constexpr std::chrono::seconds kOverRateInterval{1};

/// Growth of the roots asked for, as a factor and in requests per second beyond
/// it, that is told at once; about three times the spread of steady traffic.
constexpr double kUrgentGrowth = 1.3;
constexpr double kUrgentRate = 4;
/// Name under which the traffic of all other nodes is kept.
constexpr char kOthers[] = "others";
/// Their counts go on as long as this process runs.
constexpr std::uint64_t kOneRun = 1;
/// Time without news of the fleet after which a node goes by its own load.
constexpr std::chrono::milliseconds kFleetSilence{2500};

RequestClass ClassOf(std::uint32_t priority) {
  return static_cast<RequestClass>(
      std::min<std::uint32_t>(priority, kRequestClassCount - 1));
}

Duration ObjectiveOf(const MeshRoute& route) {
  return route.objective > Duration::zero() ? route.objective
                                            : kUnknownObjective;
}

GateResult ResultOf(const protocol::CallReply& reply) {
  if (reply.outcome() == protocol::OUTCOME_ANSWERED) {
    return reply.status() >= kServerError ? GateResult::kFailed
                                          : GateResult::kServed;
  }
  const RefusalReason reason = static_cast<RefusalReason>(reply.reason());
  if (reason == RefusalReason::kTargetUnreachable ||
      (!reply.has_load() && reply.outcome() == protocol::OUTCOME_UNKNOWN)) {
    return GateResult::kUnreachable;
  }
  return reply.reached_target() && reason != RefusalReason::kDeadlinePassed
             ? GateResult::kFailed
             : GateResult::kRefused;
}

}  // namespace

MeshEntry::MeshEntry(asio::io_context& /*context*/,
                     const Clock& clock,
                     const MeshSettings& settings,
                     std::uint64_t seed,
                     const MeshViewHolder& views,
                     TreeDemand& demand,
                     CallSender& sender)
    : clock(clock),
      service(settings.service),
      ip(settings.ip),
      peer_port(settings.peer_port),
      bounds(settings.bounds),
      views(views),
      sender(sender),
      chooser(settings.data_centre, seed),
      ledger(settings.bounds),
      demand(demand),
      lines(clock.Now()),
      random(seed) {}

Awaitable<HttpResponse> MeshEntry::Handle(
    HttpRequest request,
    std::shared_ptr<Cancellation> cancellation) {
  Call call;
  call.started = this->clock.Now();
  const RefusalReason reason = this->Admit(request, call);
  if (reason != RefusalReason::kNone) {
    this->Record(call, static_cast<std::uint32_t>(reason), Duration::zero());
    this->LogEnd(call, MakeRefusedReply(reason));
    co_return this->MakeRefusal(call, reason, true);
  }
  protocol::CallReply reply =
      co_await this->SendWithRetries(call, std::move(cancellation));
  const std::uint32_t number =
      reply.outcome() == protocol::OUTCOME_ANSWERED ? 0 : reply.reason();
  this->Record(call, number,
               std::chrono::microseconds(reply.target_microseconds()));
  this->LogEnd(call, reply);
  co_return this->MakeAnswer(call, std::move(reply));
}

void MeshEntry::TakeView() {
  std::shared_ptr<const MeshView> newest = this->views.Load();
  if (newest == nullptr || newest == this->view) {
    return;
  }
  this->view = std::move(newest);
  const TimePoint now = this->clock.Now();
  if (this->view->Configuration() != nullptr) {
    this->ledger.Configure(*this->view->Configuration(), now);
  }
  std::set<std::string> vms = this->view->VmAddresses();
  vms.insert(this->ip);
  std::set<std::string> others;
  if (vms.size() > 1) {
    others.insert(kOthers);
  }
  this->ledger.SetNodes(others, vms.size(), now);
}

RefusalReason MeshEntry::Admit(HttpRequest& request, Call& call) {
  this->TakeView();
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
  // Targets make their calls without a key.
  call.is_root = customer != nullptr || !call.route->open;
  if (customer != nullptr) {
    call.customer = customer->name;
    call.priority =
        customer->has_priority ? customer->priority : call.route->priority;
  }
  Duration longest = headers.timeout.value_or(kLongestWait);
  if (call.route->timeout > Duration::zero()) {
    longest = std::min(longest, call.route->timeout);
  }
  call.deadline =
      call.started + std::max(Duration::zero(), longest - kAnswerMargin);
  if (!call.customer.empty() &&
      !this->ledger.TryAcquire(call.customer, call.started)) {
    this->ReportOverRate(call);
    return RefusalReason::kOverRate;
  }
  if (!call.is_root) {
    this->demand.OnwardCall(call.route->name, call.started);
  } else if (!this->TakeRoot(call)) {
    return RefusalReason::kShedByIngress;
  }
  call.service = this->splitter.Choose(*call.route);
  protocol::CallRequest& message = call.message;
  message.set_route(call.route->name);
  message.set_customer(call.customer);
  message.set_repeatable(call.route->repeatable);
  message.set_attempt_id(call.attempt_id);
  message.set_caller_service(this->service);
  message.set_priority(call.priority);
  message.set_is_root(call.is_root);
  platform::MoveToMessage(request, message);
  return RefusalReason::kNone;
}

Awaitable<protocol::CallReply> MeshEntry::SendWithRetries(
    Call& call,
    std::shared_ptr<Cancellation> cancellation) {
  this->RetriesOf(call.service).AddFreshCall();
  std::set<std::string> tried;
  int redirects = 0;
  int targets_reached = 0;
  protocol::CallReply reply = MakeRefusedReply(RefusalReason::kNoTarget);
  while (true) {
    this->TakeView();
    const std::shared_ptr<const MeshView> kept = this->view;
    const MeshTarget* target = this->chooser.Choose(
        *kept, call.service, tried,
        call.started + ObjectiveOf(*call.route) - this->clock.Now(),
        this->clock.Now());
    if (target == nullptr) {
      co_return reply;
    }
    tried.insert(target->id);
    call.tried += (call.tried.empty() ? "" : ",") + target->id;
    reply = co_await this->SendOnce(call, *target, cancellation);
    targets_reached += reply.reached_target() || !reply.has_load() ? 1 : 0;
    if (cancellation->IsCancelled() || this->clock.Now() >= call.deadline) {
      co_return reply;
    }
    const bool is_unsent =
        reply.outcome() == protocol::OUTCOME_NOT_RUN && !reply.reached_target();
    if (is_unsent) {
      if (++redirects > kMostRedirects) {
        co_return reply;
      }
      continue;
    }
    if (!this->MaySendAgain(call, reply, targets_reached)) {
      co_return reply;
    }
  }
}

Awaitable<protocol::CallReply> MeshEntry::SendOnce(
    Call& call,
    const MeshTarget& target,
    std::shared_ptr<Cancellation> cancellation) {
  protocol::CallRequest message = call.message;
  const std::string target_id = target.id;
  message.set_target_id(target_id);
  message.set_objective_microseconds(ToMicroseconds(
      call.started + ObjectiveOf(*call.route) - this->clock.Now()));
  Vm vm;
  vm.name = target.address.ip;
  vm.peer_address = {target.address.ip, this->peer_port};
  this->chooser.CallStarted(target_id);
  protocol::CallReply reply = co_await this->sender.Send(
      vm, std::move(message), call.deadline, cancellation);
  const TimePoint now = this->clock.Now();
  if (cancellation->IsCancelled()) {
    this->chooser.CallEnded(target_id, GateResult::kRefused, now);
  } else {
    this->chooser.CallEnded(target_id, ResultOf(reply), now);
  }
  if (reply.has_load()) {
    TargetLoad load;
    load.in_flight = static_cast<int>(reply.load().in_flight());
    load.queued = static_cast<int>(reply.load().queued());
    load.limit = static_cast<int>(reply.load().limit());
    load.is_cold = reply.load().cold();
    load.work = std::chrono::microseconds(reply.load().work_microseconds());
    this->chooser.TakeLoad(target_id, load, now);
  }
  co_return reply;
}

bool MeshEntry::MaySendAgain(const Call& call,
                             const protocol::CallReply& reply,
                             int targets_reached) {
  const bool has_failed = reply.outcome() != protocol::OUTCOME_ANSWERED ||
                          static_cast<int>(reply.status()) >= kServerError;
  const bool is_safe =
      call.route->repeatable || reply.outcome() == protocol::OUTCOME_NOT_RUN;
  return has_failed && is_safe && targets_reached < call.route->max_attempts &&
         this->RetriesOf(call.service).TakeRetry();
}

RetryBudget& MeshEntry::RetriesOf(const std::string& service_name) {
  return this->retries
      .try_emplace(service_name, this->bounds.retry_ratio * kRetryPart,
                   kRetryCapacity)
      .first->second;
}

HttpResponse MeshEntry::MakeAnswer(const Call& call,
                                   protocol::CallReply reply) {
  if (reply.outcome() == protocol::OUTCOME_ANSWERED) {
    return platform::MakeCallerAnswer(reply);
  }
  return this->MakeRefusal(call, static_cast<RefusalReason>(reply.reason()),
                           reply.outcome() == protocol::OUTCOME_NOT_RUN);
}

HttpResponse MeshEntry::MakeRefusal(const Call& call,
                                    RefusalReason reason,
                                    bool has_not_run) {
  const Refusal& refusal = Describe(reason);
  const std::uint32_t number = static_cast<std::uint32_t>(reason);
  unsigned status = refusal.status;
  std::optional<Duration> retry_after;
  if (has_not_run && status >= kServerError) {
    status = kServiceUnavailable;
  }
  if (has_not_run && (refusal.retryable || status == kServiceUnavailable)) {
    retry_after = this->RetryAfter(call, reason);
  }
  return platform::MakeRefusal(status, call.attempt_id, number, retry_after);
}

Duration MeshEntry::RetryAfter(const Call& call, RefusalReason reason) {
  if (reason == RefusalReason::kNotReady || call.route == nullptr) {
    return kNotReadyReturn;
  }
  const Duration objective = ObjectiveOf(*call.route);
  std::uniform_real_distribution<double> part(kEarliestReturn, kLatestReturn);
  return std::chrono::duration_cast<Duration>(objective * part(this->random));
}

void MeshEntry::TakeNews(TrafficSum news) {
  const TimePoint now = this->clock.Now();
  this->ledger.ApplyUsageUpdate(kOthers, kOneRun, news.customers, false, now);
  this->fleet_load.ApplyLoadSum(kOthers, std::move(news.load), now);
  this->fleet_heard_at = now;
}

double MeshEntry::RootRate(TimePoint now) const {
  double sum = 0;
  for (const auto& [kind, rate] : this->root_rates) {
    sum += rate.PerSecond(now);
  }
  return sum;
}

bool MeshEntry::HasUrgentNews() const {
  const TimePoint now = this->clock.Now();
  return this->ledger.HasUrgentUpdate(now) ||
         this->RootRate(now) >
             kUrgentGrowth * this->told_root_rate + kUrgentRate;
}

TrafficUpdate MeshEntry::TellNews(NodeLoad load) {
  constexpr double kLeastRate = 0.05;
  const TimePoint now = this->clock.Now();
  this->told_root_rate = this->RootRate(now);
  for (const auto& [kind, rate] : this->root_rates) {
    if (rate.PerSecond(now) >= kLeastRate) {
      load.roots[kind] = rate.PerSecond(now);
    }
  }
  load.service = this->service;
  load.costs = this->demand.Costs(now);
  if (now - this->fleet_heard_at > kFleetSilence) {
    // What the relays tell holds this node's load too.
    this->fleet_load.ApplyNodeLoad(this->ip, load, now);
  }
  return {this->ledger.MakeUsageUpdate(now), std::move(load), false};
}

bool MeshEntry::TakeRoot(const Call& call) {
  const RootKind kind = {call.route->name, call.priority};
  this->root_rates[kind].Add(1, call.started);
  if (call.started - this->parts_computed_at >= kAdmissionInterval) {
    this->parts_computed_at = call.started;
    this->admitted_parts =
        this->fleet_load.AdmittedFractions(*call.configuration, call.started);
    this->ReportAdmission(call.started);
  }
  const auto part = this->admitted_parts.find(kind);
  if (part == this->admitted_parts.end() || part->second >= 1) {
    return true;
  }
  double& credit = this->root_credits[kind];
  credit += part->second;
  if (credit < 1) {
    return false;
  }
  credit -= 1;
  return true;
}

void MeshEntry::ReportAdmission(TimePoint now) {
  if (now - this->admission_reported_at < kReportInterval) {
    return;
  }
  for (const auto& [kind, part] : this->admitted_parts) {
    double& reported = this->reported_parts.try_emplace(kind, 1).first->second;
    if (std::abs(part - reported) < kReportedChange) {
      continue;
    }
    reported = part;
    this->admission_reported_at = now;
    LogEvent(EventId::kAdmissionChanged,
             {{"route", kind.route},
              {"priority", kind.priority},
              {"part", std::to_string(part)},
              {"demand", this->fleet_load.LastDemandSummary()}});
  }
}

void MeshEntry::LogEnd(const Call& call, const protocol::CallReply& reply) {
  const TimePoint now = this->clock.Now();
  const bool is_answered = reply.outcome() == protocol::OUTCOME_ANSWERED;
  const bool has_failed =
      !is_answered || static_cast<int>(reply.status()) >= kServerError;
  const std::optional<std::uint64_t> left_out =
      this->lines.Take(has_failed, now);
  if (!left_out) {
    return;
  }
  const auto part =
      call.route == nullptr
          ? this->admitted_parts.end()
          : this->admitted_parts.find({call.route->name, call.priority});
  LogEvent(
      EventId::kRequestEnded,
      {{"request", call.attempt_id},
       {"route", call.route == nullptr ? "" : call.route->name},
       {"customer", call.customer},
       {"rank", call.priority},
       {"root", call.is_root ? "true" : "false"},
       {"service", call.service},
       {"targets", call.tried},
       {"outcome", is_answered                                    ? "answered"
                   : reply.outcome() == protocol::OUTCOME_NOT_RUN ? "not-run"
                                                                  : "unknown"},
       {"status", reply.status()},
       {"reason", is_answered ? 0 : reply.reason()},
       {"microseconds", ToMicroseconds(now - call.started)},
       {"in_target", reply.target_microseconds()},
       {"configuration",
        call.configuration ? call.configuration->Version() : 0},
       {"admitted_part", part == this->admitted_parts.end()
                             ? std::string("1")
                             : std::to_string(part->second)},
       {"part_age", ToMicroseconds(now - this->parts_computed_at)},
       {"left_out", *left_out}});
}

void MeshEntry::ReportOverRate(const Call& call) {
  TimePoint& reported_at = this->over_rate_reported_at[call.customer];
  if (call.started - reported_at < kOverRateInterval) {
    return;
  }
  reported_at = call.started;
  LogEvent(
      EventId::kCustomerOverRate,
      {{"customer", call.customer},
       {"request", call.attempt_id},
       {"account", this->ledger.DescribeState(call.customer, call.started)}});
}

void MeshEntry::Record(const Call& call,
                       std::uint32_t reason,
                       Duration in_target) {
  const Duration total = this->clock.Now() - call.started;
  this->metrics.Record(call.customer, ClassOf(call.priority), reason, total,
                       total - in_target);
}

}  // namespace daisywinch
