#include "node/gate.h"

#include <algorithm>
#include <utility>

#include "node/target_messages.h"
#include "state/duration.h"
#include "state/event_log.h"
#include "transport/call_client.h"

namespace daisywinch {

namespace {

constexpr char kInstanceHeader[] = "Server-Instance";
constexpr std::size_t kMaxRecords = 50'000;
constexpr std::size_t kMaxRecordBytes = 16 * 1024 * 1024;
constexpr std::size_t kMinQueueCapacity = 32;
constexpr std::size_t kQueuePerSlot = 2;
constexpr double kOpenRouteWeight = 1;

std::vector<std::string> TargetNames(const Snapshot& snapshot,
                                     const std::string& service) {
  std::vector<std::string> names;
  for (const Vm& vm : snapshot.Targets(service)) {
    names.push_back(vm.name);
  }
  return names;
}

}  // namespace

Gate::Gate(asio::io_context& context,
           const Clock& clock,
           const Settings& settings,
           const SnapshotHolder& snapshots,
           HandleTable& handles,
           MemoryBudget& memory)
    : context(context),
      clock(clock),
      vm(settings.vm),
      service(settings.service),
      snapshots(snapshots),
      handles(handles),
      target(context, settings.target_address, settings.body_limit, &memory),
      queue(this->shares),
      records(kMaxRecords, kMaxRecordBytes),
      ownership(settings.vm, clock.Now()),
      log_limiter(clock.Now()) {}

Awaitable<protocol::CallReply> Gate::Handle(
    protocol::CallRequest request,
    std::shared_ptr<Cancellation> cancellation) {
  this->RefreshSnapshot();
  GateCall call;
  call.context.customer = request.customer();
  call.context.request_class = static_cast<RequestClass>(
      std::min<std::uint32_t>(request.request_class(), kRequestClassCount - 1));
  call.context.deadline =
      this->clock.Now() +
      std::chrono::microseconds(request.remaining_microseconds());
  call.context.root_id = request.root_id();
  call.cancellation = std::move(cancellation);
  call.is_recorded =
      !request.repeatable() && !request.idempotency_key().empty();
  call.record_key = request.customer() + "\n" + request.idempotency_key();
  call.request = std::move(request);
  ++this->calls_in_progress;
  protocol::CallReply reply = co_await this->AdmitAndRun(call);
  --this->calls_in_progress;
  this->AddLoad(call, reply);
  co_return reply;
}

void Gate::RefreshSnapshot() {
  std::shared_ptr<const Snapshot> newest = this->snapshots.Load();
  if (newest == this->snapshot) {
    return;
  }
  this->snapshot = std::move(newest);
  const Configuration& configuration = this->snapshot->CurrentConfiguration();
  const Service* local_service = configuration.FindService(this->service);
  if (local_service != nullptr) {
    this->limit.Configure(*local_service);
    this->queue.SetCapacity(
        std::max<std::size_t>(kMinQueueCapacity, local_service->slots));
  }
  for (const Customer& customer : configuration.customers) {
    this->shares.SetWeight(customer.name, customer.rate);
  }
  this->shares.SetWeight("", kOpenRouteWeight);
  this->records.SetWindow(configuration.repeat_window);
  this->ownership.SetWindow(configuration.repeat_window);
  this->out_of_service = this->IsOutOfService();
  this->ownership.UpdateTargets(TargetNames(*this->snapshot, this->service),
                                this->clock.Now());
}

bool Gate::IsOutOfService() const {
  const Vm* local_vm = this->snapshot->CurrentVmList().Find(this->vm);
  if (local_vm == nullptr) {
    return false;
  }
  const DataCentre* data_centre =
      this->snapshot->CurrentConfiguration().FindDataCentre(
          local_vm->data_centre);
  return local_vm->leaving ||
         (data_centre != nullptr && !data_centre->in_service);
}

Awaitable<protocol::CallReply> Gate::AdmitAndRun(GateCall& call) {
  if (call.is_recorded) {
    std::optional<protocol::CallReply> recorded_reply = this->BeginRecord(call);
    if (recorded_reply) {
      co_return std::move(*recorded_reply);
    }
  }
  RefusalReason reason = RefusalReason::kNone;
  if (this->limit.Limit() == 0) {
    reason = RefusalReason::kNotReady;
  } else if (this->draining || this->out_of_service) {
    reason = RefusalReason::kDraining;
  }
  if (reason == RefusalReason::kNone) {
    reason = co_await this->WaitForSlot(call);
  }
  protocol::CallReply reply;
  if (reason == RefusalReason::kNone) {
    reply = co_await this->Run(call);
  } else {
    reply = MakeRefusedReply(reason);
    reply.set_retries_left(call.request.retries_left());
  }
  if (call.is_recorded) {
    this->EndRecord(call, reply);
  }
  co_return reply;
}

std::optional<protocol::CallReply> Gate::BeginRecord(const GateCall& call) {
  const TimePoint now = this->clock.Now();
  switch (this->records.Find(call.record_key, now)) {
    case EarlierRequest::kAnswered:
      return this->records.ResponseOf(call.record_key);
    case EarlierRequest::kInProgress:
      return MakeRefusedReply(RefusalReason::kDuplicateInProgress);
    case EarlierRequest::kUnknown:
      return MakeRefusedReply(RefusalReason::kDuplicateOutcomeUnknown);
    case EarlierRequest::kNone:
      break;
  }
  const bool is_first = call.request.first_attempt();
  const bool is_owner = this->ownership.Owns(call.record_key);
  // A first attempt cannot have run yet, so it may go to the gate that owns the
  // key. Another request may be the duplicate of one whose record a previous
  // owner of the key has.
  if (!is_owner && is_first) {
    return MakeRefusedReply(RefusalReason::kDraining);
  }
  if (!is_first && !this->ownership.OwnedForWholeWindow(call.record_key, now)) {
    return MakeRefusedReply(RefusalReason::kDuplicateOutcomeUnknown);
  }
  if (!this->records.Begin(call.record_key)) {
    return MakeRefusedReply(RefusalReason::kShedByGate);
  }
  return std::nullopt;
}

void Gate::EndRecord(const GateCall& call, const protocol::CallReply& reply) {
  const TimePoint now = this->clock.Now();
  if (reply.outcome() == protocol::OUTCOME_NOT_RUN) {
    this->records.EndNotRun(call.record_key);
  } else if (reply.outcome() == protocol::OUTCOME_ANSWERED) {
    this->records.EndAnswered(call.record_key, reply, now);
  } else {
    this->records.EndUnknown(call.record_key, now);
  }
}

Awaitable<RefusalReason> Gate::WaitForSlot(const GateCall& call) {
  const TimePoint now = this->clock.Now();
  this->level.RecordOffered(call.context.request_class, now);
  if (call.cancellation->IsCancelled()) {
    co_return RefusalReason::kCancelledUnsent;
  }
  if (now >= call.context.deadline) {
    co_return RefusalReason::kDeadlineTooShort;
  }
  if (this->in_flight < this->limit.Limit() && this->queue.Size() == 0) {
    this->level.RecordIdle(now);
    ++this->in_flight;
    co_return RefusalReason::kNone;
  }
  const std::uint64_t id = this->next_waiter_id++;
  const std::shared_ptr<Waiter> waiter =
      std::make_shared<Waiter>(this->context);
  this->waiters[id] = waiter;
  const TimePoint start_deadline =
      call.context.deadline - this->limit.BestLatency(call.request.route());
  const std::vector<std::uint64_t> shed =
      this->queue.Add({id, call.context.request_class, call.context.customer,
                       now, start_deadline},
                      now);
  for (const std::uint64_t shed_id : shed) {
    this->EndWait(shed_id, RefusalReason::kShedByGate);
  }
  const CancellationScope scope(call.cancellation, [this, id] {
    this->queue.Remove(id);
    this->EndWait(id, RefusalReason::kCancelledUnsent);
  });
  waiter->wake_up.expires_at(call.context.deadline);
  ErrorCode ignored;
  if (!waiter->result) {
    co_await waiter->wake_up.async_wait(Await(ignored));
  }
  this->waiters.erase(id);
  if (!waiter->result) {
    this->queue.Remove(id);
    co_return RefusalReason::kDeadlineTooShort;
  }
  if (*waiter->result == RefusalReason::kNone &&
      call.cancellation->IsCancelled()) {
    --this->in_flight;
    this->StartQueuedCalls();
    co_return RefusalReason::kCancelledUnsent;
  }
  if (*waiter->result == RefusalReason::kShedByGate) {
    this->level.RecordShed(call.context.request_class, this->clock.Now());
  }
  co_return *waiter->result;
}

void Gate::StartQueuedCalls() {
  const TimePoint now = this->clock.Now();
  std::vector<std::uint64_t> expired;
  while (this->in_flight < this->limit.Limit()) {
    const std::optional<std::uint64_t> id = this->queue.Next(now, expired);
    if (!id) {
      this->level.RecordIdle(now);
      break;
    }
    ++this->in_flight;
    this->EndWait(*id, RefusalReason::kNone);
  }
  for (const std::uint64_t id : expired) {
    this->EndWait(id, RefusalReason::kShedByGate);
  }
}

void Gate::EndWait(std::uint64_t id, RefusalReason result) {
  const auto found = this->waiters.find(id);
  if (found != this->waiters.end() && !found->second->result) {
    found->second->result = result;
    found->second->wake_up.cancel();
  }
}

Awaitable<protocol::CallReply> Gate::Run(GateCall& call) {
  const TimePoint started = this->clock.Now();
  this->max_in_flight = std::max(this->max_in_flight, this->in_flight);
  this->shares.AddUsage(call.context.customer, 1, started);
  const std::string handle =
      this->handles.Open(call.context, call.request.retries_left());
  // A recorded request is not cancelled when its caller disconnects, because
  // its response is stored for a duplicate.
  const std::shared_ptr<Cancellation> cancellation =
      call.is_recorded ? std::make_shared<Cancellation>() : call.cancellation;
  TargetExchange exchange = co_await this->target.Send(
      MakeTargetRequest(call.request, handle, call.context.deadline - started),
      call.context.deadline, cancellation);
  const TimePoint ended = this->clock.Now();
  const ClosedHandle closed = this->handles.Close(handle);
  TargetSample sample;
  sample.route = call.request.route();
  sample.started_at = started;
  sample.latency = ended - started - closed.nested_call_time;
  sample.in_flight = this->in_flight;
  sample.instance = std::string(exchange.response[kInstanceHeader]);
  this->RecordExchange(exchange, sample);
  if (!exchange.fault.empty()) {
    this->LogInvalidResponse(call.context.root_id, exchange);
  }
  --this->in_flight;
  this->StartQueuedCalls();
  protocol::CallReply reply = MakeReply(std::move(exchange));
  reply.set_retries_left(closed.retries_left);
  reply.set_failed_below(closed.nested_call_failed);
  reply.set_target_microseconds(ToMicroseconds(ended - started));
  co_return reply;
}

void Gate::RecordExchange(const TargetExchange& exchange,
                          const TargetSample& sample) {
  const TimePoint now = this->clock.Now();
  switch (exchange.end) {
    case TargetExchange::End::kAnswered:
      if (IsShed(exchange.response)) {
        this->limit.RecordShed(now);
      } else {
        this->limit.RecordResponse(sample, now);
      }
      break;
    case TargetExchange::End::kNotSent:
    case TargetExchange::End::kResponseLost:
      this->limit.RecordDisconnect(now);
      break;
    case TargetExchange::End::kDeadlinePassed:
      this->limit.RecordTimeout(now);
      break;
    case TargetExchange::End::kWithdrawn:
    case TargetExchange::End::kCancelled:
    case TargetExchange::End::kResponseTooLarge:
    case TargetExchange::End::kResponseInvalid:
      break;
  }
  this->LogColdStateChange();
}

void Gate::LogColdStateChange() {
  const bool is_warm = this->limit.IsWarm();
  if (is_warm != this->logged_warm) {
    this->logged_warm = is_warm;
    LogEvent(is_warm ? EventId::kTargetWarm : EventId::kTargetCold,
             {{"vm", this->vm},
              {"limit", static_cast<std::uint64_t>(this->limit.Limit())}});
  }
}

void Gate::LogInvalidResponse(const std::string& root_id,
                              const TargetExchange& exchange) {
  const std::optional<std::uint64_t> left_out =
      this->log_limiter.TryAcquire(true, this->clock.Now());
  if (left_out) {
    LogEvent(EventId::kTargetResponseInvalid, {{"request", root_id},
                                               {"vm", this->vm},
                                               {"fault", exchange.fault},
                                               {"left_out", *left_out}});
  }
}

boost::json::object Gate::Status() const {
  return {{"in_flight", this->in_flight},
          {"most_in_flight", this->max_in_flight},
          {"queued", this->queue.Size()},
          {"limit", this->limit.Limit()},
          {"level", this->level.Level()},
          {"warm", this->limit.IsWarm()},
          {"times_cold", this->limit.ColdCount()},
          {"connections", this->target.ConnectionCount()},
          {"invalid_responses", this->target.InvalidResponses()},
          {"repeat_records", this->records.Size()},
          {"draining", this->draining.load()}};
}

void Gate::AddLoad(const GateCall& call, protocol::CallReply& reply) {
  const TimePoint now = this->clock.Now();
  protocol::GateLoad* load = reply.mutable_load();
  load->set_in_flight(this->in_flight);
  load->set_queued(this->queue.Size());
  load->set_limit(this->limit.Limit());
  double level = this->level.Level();
  // As long as the gate admits any request of the class, report the maximum
  // level for a customer below its fair share, so that ingresses do not reject
  // its requests.
  const bool is_class_admitted =
      AdmissionProbability(level, call.context.request_class) > 0;
  if (is_class_admitted &&
      this->shares.IsUnderShare(call.context.customer, now)) {
    level = AdmissionLevel::kMaxLevel;
  }
  load->set_level(level);
}

}  // namespace daisywinch
