#include "support/load_simulation.h"

#include <algorithm>
#include <cmath>
#include <cstdio>
#include <utility>

#include "state/duration.h"

namespace daisywinch::test {

namespace {

using std::chrono::milliseconds;

constexpr std::chrono::microseconds kLocalDelay{200};
constexpr std::chrono::microseconds kRemoteDelay{1400};
constexpr milliseconds kReportInterval{500};
constexpr milliseconds kExchangeInterval{100};
/// A call to a node that can't be reached fails after this time.
constexpr milliseconds kUnreachableDelay{5};
constexpr double kRetryRatio = 0.2;
constexpr int kTreeLevels = 4;
constexpr double kMaxSavedRetries = 3;
/// Relative deviation of the work of single requests.
constexpr double kWorkDeviation = 0.4;
/// Requests at a cold target take this many times as long.
constexpr double kColdFactor = 2;
/// Callers wait at most this fraction of the time that they have left.
constexpr double kMaxRetryAfterFraction = 1.0 / 3;

}  // namespace

double LoadReport::InObjective(std::uint32_t priority) const {
  const auto found = this->by_priority.find(priority);
  return found == this->by_priority.end() || found->second.first == 0
             ? 1
             : static_cast<double>(found->second.second) / found->second.first;
}

LoadSimulation::LoadSimulation(std::vector<SimulatedService> services,
                               std::vector<SimulatedRoute> routes,
                               int data_centres,
                               std::string traced_service,
                               std::uint64_t seed)
    : data_centres(data_centres),
      traced_service(std::move(traced_service)),
      random(seed),
      started_at(std::chrono::hours(1)),
      now(started_at) {
  std::vector<MeshRoute> mesh_routes;
  for (const SimulatedRoute& route : routes) {
    this->routes[route.name] = route;
    MeshRoute mesh_route;
    mesh_route.name = route.name;
    mesh_route.host = "h";
    mesh_route.prefix = "/" + route.name + "/";
    mesh_route.repeatable = route.is_repeatable;
    mesh_route.traffic_split = {{route.service, 1}};
    mesh_route.priority = route.priority;
    mesh_route.objective = route.objective;
    mesh_route.timeout = route.timeout;
    mesh_routes.push_back(mesh_route);
  }
  this->configuration = std::make_shared<const MeshConfiguration>(
      1, mesh_routes, std::vector<MeshService>(), std::vector<MeshCustomer>(),
      CallerLimits());
  for (const SimulatedService& service : services) {
    for (int target = 0; target < service.targets; ++target) {
      Node node;
      const std::string name = service.name + "-" + std::to_string(target);
      node.data_centre = target % data_centres;
      node.record.id = name;
      node.record.address = {"10.0.0." + std::to_string(this->nodes.size() + 1),
                             9000};
      node.record.service = service.name;
      node.record.data_centre = "dc-" + std::to_string(node.data_centre);
      node.record.slots = service.slots;
      node.speed = service.speeds[target % service.speeds.size()];
      node.knee = service.knee;
      node.knee_factor = service.knee_factor;
      this->index_by_target[name] = this->nodes.size();
      this->nodes.push_back(std::move(node));
    }
  }
  for (Node& node : this->nodes) {
    for (const SimulatedService& service : services) {
      if (service.name == node.record.service) {
        node.gate = std::make_unique<GateAdmission>();
        node.gate->SetColdRate(service.cold_rate);
        node.gate->SetSlots(service.slots);
      }
    }
    this->StartNode(node);
  }
  this->PublishView();
  for (const auto& [name, route] : this->routes) {
    if (route.rate > 0) {
      this->ScheduleArrival(route);
    }
  }
  this->ExchangeLoads();
  this->RecordSecond();
}

void LoadSimulation::After(Duration delay, std::function<void()> action) {
  this->events.push(
      {this->now + delay, this->next_sequence++, std::move(action)});
}

void LoadSimulation::StartNode(Node& node) {
  ++node.run;
  node.balancer = std::make_unique<MeshLoadBalancer>(node.record.data_centre,
                                                     this->random());
  node.estimator = std::make_unique<RouteCostEstimator>();
  node.admitter = std::make_unique<RootAdmitter>();
  node.returns = std::make_unique<ReturnSchedule>(this->random());
  node.budgets.clear();
  node.reported_at = TimePoint();
  node.received_at = TimePoint();
}

void LoadSimulation::PublishView() {
  std::map<std::string, MeshTarget> targets;
  std::set<std::string> evacuated;
  for (const Node& node : this->nodes) {
    if (node.is_listed) {
      targets[node.record.id] = node.record;
    }
    if (node.is_evacuated) {
      evacuated.insert(node.record.data_centre);
    }
  }
  this->view =
      std::make_shared<const MeshView>(this->configuration, targets, evacuated);
}

void LoadSimulation::Run(milliseconds time) {
  const TimePoint end = this->now + time;
  while (!this->events.empty() && this->events.top().at <= end) {
    const Event event = this->events.top();
    this->events.pop();
    this->now = event.at;
    event.action();
  }
  this->now = end;
}

milliseconds LoadSimulation::Now() const {
  return std::chrono::duration_cast<milliseconds>(this->now - this->started_at);
}

void LoadSimulation::SetRetryAbuse(double share, int retries) {
  this->abuse_share = share;
  this->abuse_retries = retries;
}

void LoadSimulation::SetImpatience(double share, milliseconds time) {
  this->impatient_share = share;
  this->patience = time;
}

void LoadSimulation::RemoveTargets(const std::string& service, int count) {
  for (Node& node : this->nodes) {
    if (count > 0 && node.is_listed && node.record.service == service) {
      node.is_listed = false;
      --count;
    }
  }
  this->PublishView();
}

void LoadSimulation::RemoveDataCentre(int data_centre) {
  for (Node& node : this->nodes) {
    if (node.data_centre == data_centre) {
      node.is_up = false;
      node.is_listed = false;
    }
  }
  this->PublishView();
}

void LoadSimulation::ReturnAll(milliseconds cold) {
  for (Node& node : this->nodes) {
    if (!node.is_up || !node.is_listed) {
      node.is_up = true;
      node.is_listed = true;
      node.cold_until = this->now + cold;
      this->StartNode(node);
    }
  }
  this->PublishView();
}

void LoadSimulation::Evacuate(int data_centre, bool is_evacuated) {
  for (Node& node : this->nodes) {
    if (node.data_centre == data_centre) {
      node.is_evacuated = is_evacuated;
    }
  }
  this->PublishView();
}

void LoadSimulation::MakeCold(int data_centre, milliseconds cold) {
  for (Node& node : this->nodes) {
    if (node.data_centre == data_centre) {
      node.cold_until = this->now + cold;
    }
  }
}

void LoadSimulation::SetSpeedFactor(const std::string& service,
                                    int count,
                                    double factor) {
  for (Node& node : this->nodes) {
    if (count > 0 && node.record.service == service) {
      node.speed_factor = factor;
      --count;
    }
  }
}

void LoadSimulation::SetShedding(const std::string& service,
                                 int count,
                                 double fraction) {
  for (Node& node : this->nodes) {
    if (count > 0 && node.record.service == service) {
      node.shed_fraction = fraction;
      --count;
    }
  }
}

void LoadSimulation::SetStatedRate(const std::string& service,
                                   int count,
                                   std::optional<double> rate) {
  for (Node& node : this->nodes) {
    if (count > 0 && node.record.service == service) {
      node.stated_rate = rate;
      --count;
    }
  }
}

int LoadSimulation::MaxArrivals(const std::string& service,
                                int count,
                                milliseconds from,
                                milliseconds span) const {
  std::size_t most = 0;
  for (const Node& node : this->nodes) {
    if (count == 0 || node.record.service != service) {
      continue;
    }
    --count;
    const std::vector<TimePoint>& times = node.arrivals;
    auto first =
        std::lower_bound(times.begin(), times.end(), this->started_at + from);
    for (auto last = first; last != times.end(); ++last) {
      while (*last - *first > span) {
        ++first;
      }
      most = std::max<std::size_t>(most, last - first + 1);
    }
  }
  return static_cast<int>(most);
}

void LoadSimulation::RestartNodes() {
  for (Node& node : this->nodes) {
    this->StartNode(node);
  }
}

void LoadSimulation::Isolate(int n) {
  for (std::size_t index = 0; index < this->nodes.size(); ++index) {
    this->nodes[index].is_isolated = n > 0 && index % n == 0;
  }
}

bool LoadSimulation::CanReach(std::size_t from, std::size_t to) const {
  return from == to ||
         (this->nodes[to].is_up && !this->nodes[from].is_isolated &&
          !this->nodes[to].is_isolated);
}

Duration LoadSimulation::LinkDelay(std::size_t from, std::size_t to) const {
  if (from == to) {
    return Duration::zero();
  }
  return this->nodes[from].data_centre == this->nodes[to].data_centre
             ? kLocalDelay
             : kRemoteDelay;
}

Duration LoadSimulation::RandomWork(milliseconds mean) {
  // The mean of a log-normal distribution is exp(mu + sigma^2 / 2).
  std::lognormal_distribution<double> factor(
      -kWorkDeviation * kWorkDeviation / 2, kWorkDeviation);
  return std::chrono::duration_cast<Duration>(mean * factor(this->random));
}

void LoadSimulation::ScheduleArrival(const SimulatedRoute& route) {
  std::exponential_distribution<double> gap(route.rate * this->load_factor);
  this->After(
      std::chrono::duration_cast<Duration>(
          std::chrono::duration<double>(gap(this->random))),
      [this, &route] {
        const std::shared_ptr<Root> root = std::make_shared<Root>();
        root->route = &route;
        root->arrived_at = this->now;
        root->gives_up_at = TimePoint::max();
        if (std::bernoulli_distribution(this->impatient_share)(this->random)) {
          root->gives_up_at = this->now + this->patience;
        }
        if (std::bernoulli_distribution(this->abuse_share)(this->random)) {
          root->max_attempts = 1 + this->abuse_retries;
        }
        std::uniform_int_distribution<std::size_t> any(0,
                                                       this->nodes.size() - 1);
        do {
          root->origin = any(this->random);
        } while (!this->nodes[root->origin].is_up);
        this->roots.push_back(root);
        this->StartAttempt(root);
        this->ScheduleArrival(route);
      });
}

void LoadSimulation::StartAttempt(const std::shared_ptr<Root>& root) {
  Node& node = this->nodes[root->origin];
  ++root->attempts;
  root->attempt_started = this->now;
  if (!node.is_up) {
    this->EndAttempt(root, false, true);
    return;
  }
  if (!node.admitter->Admit({root->route->name, root->route->priority},
                            *this->configuration, this->now)) {
    this->EndAttempt(root, false, true);
    return;
  }
  const std::shared_ptr<Call> call = std::make_shared<Call>();
  call->route = root->route;
  call->origin = root->origin;
  call->is_root = true;
  call->started = this->now;
  call->deadline =
      std::min<TimePoint>(root->gives_up_at, this->now + root->route->timeout);
  call->attempts =
      std::make_unique<CallAttempts>(root->route->is_repeatable, 2);
  call->root = root;
  call->done = [this, root](bool is_served, bool has_not_run) {
    if (is_served) {
      this->nodes[root->origin].admitter->RecordServed(
          {root->route->name, root->route->priority}, this->now);
      this->nodes[root->origin].returns->RecordServed(
          {root->route->name, root->route->priority},
          this->now - root->attempt_started);
    }
    this->EndAttempt(root, is_served, has_not_run);
  };
  this->SendCall(call);
}

void LoadSimulation::EndAttempt(const std::shared_ptr<Root>& root,
                                bool is_served,
                                bool has_not_run) {
  if (root->is_over) {
    return;
  }
  root->refusals += !is_served && has_not_run ? 1 : 0;
  const bool may_repeat = has_not_run || root->route->is_repeatable;
  if (is_served || !may_repeat || root->attempts >= root->max_attempts) {
    this->EndRoot(root, is_served);
    return;
  }
  Duration wait = this->nodes[root->origin].returns->DelayFor(
      {root->route->name, root->route->priority}, root->route->objective,
      this->now - root->attempt_started);
  if (root->max_attempts > 2) {
    wait = milliseconds(20);
  }
  const TimePoint deadline = std::min<TimePoint>(
      root->gives_up_at, root->arrived_at + 2 * root->route->timeout);
  const Duration longest = std::chrono::duration_cast<Duration>(
      (deadline - this->now) * kMaxRetryAfterFraction);
  if (longest <= Duration::zero()) {
    this->EndRoot(root, false);
    return;
  }
  this->After(std::min(wait, longest),
              [this, root] { this->StartAttempt(root); });
}

void LoadSimulation::EndRoot(const std::shared_ptr<Root>& root,
                             bool is_served) {
  root->is_over = true;
  root->is_served = is_served && this->now <= root->gives_up_at;
  root->ended_at = this->now;
}

RetryBudget& LoadSimulation::BudgetFor(const Call& call) {
  const bool is_leaf = call.route->calls.empty();
  return this->nodes[call.origin]
      .budgets
      .try_emplace(call.route->name,
                   RetryRatioPerLevel(kRetryRatio, kTreeLevels, is_leaf),
                   kMaxSavedRetries)
      .first->second;
}

void LoadSimulation::SendCall(const std::shared_ptr<Call>& call) {
  Node& origin = this->nodes[call->origin];
  const MeshTarget* target = origin.balancer->Choose(
      *this->view, call->route->service, call->tried,
      call->started + call->route->objective - this->now, this->now);
  if (target == nullptr) {
    call->done(false, true);
    return;
  }
  const std::string id = target->id;
  call->tried.insert(id);
  origin.balancer->CallStarted(id);
  const std::size_t index = this->index_by_target.at(id);
  this->After(this->LinkDelay(call->origin, index),
              [this, call, index, id] { this->ArriveAtGate(call, index, id); });
}

void LoadSimulation::ArriveAtGate(const std::shared_ptr<Call>& call,
                                  std::size_t index,
                                  const std::string& target_id) {
  Node& node = this->nodes[index];
  if (!this->CanReach(call->origin, index)) {
    this->After(kUnreachableDelay, [this, call, index, target_id] {
      this->Reply(call, index, target_id, {true, true, false, true},
                  GateResult::kUnreachable);
    });
    return;
  }
  if (!this->IsUsable(node)) {
    this->Refuse(call, index);
    return;
  }
  node.gate->SetState(this->IsCold(node), node.stated_rate);
  if (node.gate->TryStart(this->now)) {
    this->StartRun(call, index);
    return;
  }
  GateCall waiting;
  waiting.id = this->next_waiter++;
  waiting.is_root = call->is_root;
  waiting.tree.priority = call->root->route->priority;
  waiting.tree.objective_end =
      call->root->attempt_started + call->root->route->objective;
  waiting.objective = call->started + call->route->objective - this->now;
  waiting.deadline = call->deadline;
  node.waiting[waiting.id] = call;
  const TimePoint start_deadline = node.gate->StartDeadline(waiting, this->now);
  const std::optional<std::uint64_t> shed =
      node.gate->Enqueue(waiting, this->now);
  const auto refuse = [this, index](std::uint64_t id) {
    Node& gate_node = this->nodes[index];
    const auto found = gate_node.waiting.find(id);
    if (found == gate_node.waiting.end()) {
      return;
    }
    const std::shared_ptr<Call> refused = found->second;
    gate_node.waiting.erase(found);
    this->Refuse(refused, index);
  };
  if (shed) {
    refuse(*shed);
  }
  this->After(std::max(Duration::zero(), start_deadline - this->now),
              [this, index, id = waiting.id, refuse] {
                Node& gate_node = this->nodes[index];
                if (gate_node.waiting.contains(id)) {
                  gate_node.gate->Remove(id);
                  refuse(id);
                }
              });
  this->ReleaseQueued(index);
}

void LoadSimulation::Refuse(const std::shared_ptr<Call>& call,
                            std::size_t index) {
  const std::string target_id = this->nodes[index].record.id;
  this->After(this->LinkDelay(call->origin, index),
              [this, call, index, target_id] {
                this->Reply(call, index, target_id, {true, true, false, true},
                            GateResult::kRefused);
              });
}

void LoadSimulation::ReleaseQueued(std::size_t index) {
  Node& node = this->nodes[index];
  node.gate->SetState(this->IsCold(node), node.stated_rate);
  const GateAdmission::Released released = node.gate->ReleaseQueued(this->now);
  for (const std::uint64_t id : released.expired) {
    const std::shared_ptr<Call> call = node.waiting.at(id);
    node.waiting.erase(id);
    this->Refuse(call, index);
  }
  for (const std::uint64_t id : released.started) {
    const std::shared_ptr<Call> call = node.waiting.at(id);
    node.waiting.erase(id);
    this->StartRun(call, index);
  }
  if (const std::optional<TimePoint> next =
          node.gate->NextPacedStart(this->now)) {
    this->After(*next - this->now,
                [this, index] { this->ReleaseQueued(index); });
  }
}

void LoadSimulation::StartRun(const std::shared_ptr<Call>& call,
                              std::size_t index) {
  Node& node = this->nodes[index];
  node.arrivals.push_back(this->now);
  if (node.shed_fraction > 0 &&
      std::bernoulli_distribution(node.shed_fraction)(this->random)) {
    node.gate->RecordEnd(std::nullopt);
    this->After(this->LinkDelay(call->origin, index),
                [this, call, index, id = node.record.id] {
                  this->Reply(call, index, id, {true, true, true, false},
                              GateResult::kFailed);
                });
    return;
  }
  const std::shared_ptr<Execution> run = std::make_shared<Execution>();
  run->call = call;
  run->node = index;
  run->target_id = node.record.id;
  run->started = this->now;
  run->node_run = node.run;
  node.estimator->RunStarted(call->route->name, this->now);
  this->After(std::max(Duration::zero(), call->deadline - this->now),
              [this, run] { this->EndRun(run, false); });
  const Duration work = this->RandomWork(call->route->work);
  this->WorkOn(run, call->route->calls.empty() ? work : work / 2);
}

void LoadSimulation::WorkOn(const std::shared_ptr<Execution>& run,
                            Duration time) {
  const Node& node = this->nodes[run->node];
  double factor = 1 / (node.speed * node.speed_factor);
  if (node.gate->InFlight() > node.knee * node.record.slots) {
    factor *= node.knee_factor;
  }
  if (this->IsCold(node)) {
    factor *= kColdFactor;
  }
  this->After(std::chrono::duration_cast<Duration>(time * factor),
              [this, run] { this->ContinueRun(run); });
}

void LoadSimulation::ContinueRun(const std::shared_ptr<Execution>& run) {
  if (run->is_over) {
    return;
  }
  const std::vector<SimulatedCalls>& calls = run->call->route->calls;
  if (run->phase > calls.size() || calls.empty()) {
    this->EndRun(run, true);
    return;
  }
  if (run->phase == calls.size()) {
    ++run->phase;
    this->WorkOn(run, this->RandomWork(run->call->route->work) / 2);
    return;
  }
  const SimulatedCalls& next = calls[run->phase];
  if (next.in_parallel) {
    ++run->phase;
    run->calls_left = next.times;
    for (int call = 0; call < next.times; ++call) {
      this->MakeNestedCall(run, next);
    }
    return;
  }
  run->calls_left = 1;
  if (++run->calls_done == next.times) {
    run->calls_done = 0;
    ++run->phase;
  }
  this->MakeNestedCall(run, next);
}

void LoadSimulation::MakeNestedCall(const std::shared_ptr<Execution>& run,
                                    const SimulatedCalls& calls) {
  Node& node = this->nodes[run->node];
  const SimulatedRoute& route = this->routes.at(calls.route);
  node.estimator->RecordNestedCall(route.name, this->now);
  const std::shared_ptr<Call> call = std::make_shared<Call>();
  call->route = &route;
  call->origin = run->node;
  call->started = this->now;
  call->deadline =
      std::min<TimePoint>(run->call->deadline, this->now + route.timeout);
  call->attempts = std::make_unique<CallAttempts>(true, 2);
  call->root = run->call->root;
  call->done = [this, run](bool is_served, bool) {
    if (!is_served) {
      this->EndRun(run, false);
    } else if (--run->calls_left == 0) {
      this->ContinueRun(run);
    }
  };
  this->BudgetFor(*call).Deposit();
  this->SendCall(call);
}

void LoadSimulation::EndRun(const std::shared_ptr<Execution>& run,
                            bool is_served) {
  if (run->is_over) {
    return;
  }
  run->is_over = true;
  Node& node = this->nodes[run->node];
  const Duration time = this->now - run->started;
  node.gate->RecordEnd(is_served ? std::optional<Duration>(time)
                                 : std::nullopt);
  if (node.run == run->node_run) {
    node.estimator->RunEnded(run->call->route->name, time, !is_served,
                             run->started < node.cold_until, this->now);
  }
  if (node.record.service == this->traced_service) {
    run->call->root->traced_seconds += ToSeconds(time);
  }
  this->ReleaseQueued(run->node);
  AttemptResult attempt;
  attempt.has_failed = !is_served;
  this->After(this->LinkDelay(run->call->origin, run->node), [this, run,
                                                              attempt] {
    this->Reply(run->call, run->node, run->target_id, attempt,
                attempt.has_failed ? GateResult::kFailed : GateResult::kServed);
  });
}

void LoadSimulation::Reply(const std::shared_ptr<Call>& call,
                           std::size_t index,
                           const std::string& target_id,
                           AttemptResult attempt,
                           GateResult gate_result) {
  Node& origin = this->nodes[call->origin];
  GateAdmission& gate = *this->nodes[index].gate;
  origin.balancer->CallEnded(target_id, gate_result, this->now);
  if (gate_result != GateResult::kUnreachable) {
    TargetLoad load;
    load.in_flight = gate.InFlight();
    load.queued = static_cast<int>(gate.Queued());
    load.limit = gate.Limit();
    load.is_cold = gate.IsCold();
    load.service_time = gate.MeanServiceTime();
    load.max_rate = gate.RateLimit();
    load.pacing_delay = gate.PacingDelay(this->now);
    origin.balancer->RecordLoad(target_id, load, this->now);
  }
  const auto record_nested = [&](bool is_refused) {
    if (!call->is_root) {
      origin.admitter->RecordNestedCall(call->route->service, is_refused,
                                        this->now);
    }
  };
  if (!attempt.has_failed) {
    record_nested(false);
    call->done(true, false);
    return;
  }
  if (this->now < call->deadline &&
      call->attempts->MayTryAgain(attempt, this->BudgetFor(*call))) {
    this->SendCall(call);
    return;
  }
  record_nested(gate_result == GateResult::kRefused && !gate.IsCold() &&
                !gate.RateLimit());
  call->done(false, attempt.has_not_run);
}

void LoadSimulation::ExchangeLoads() {
  for (Node& node : this->nodes) {
    if (!node.is_up || this->now - node.reported_at < kReportInterval) {
      continue;
    }
    node.reported_at = this->now;
    node.gate->SetState(this->IsCold(node), node.stated_rate);
    NodeLoad load;
    load.service = node.record.service;
    load.slots = this->IsUsable(node) ? node.gate->UsableSlots() : 0;
    node.admitter->AddTraffic(load, this->now);
    load.costs = node.estimator->Costs(this->now);
    node.admitter->ApplyLocalLoad(node.record.id, load, this->now);
    if (!node.is_isolated) {
      node.last_load = std::move(load);
      node.received_at = this->now;
    }
  }
  LoadSum sum;
  for (const Node& node : this->nodes) {
    if (this->now - node.received_at <= kUpdateTimeout) {
      AddTo(sum, node.last_load);
    }
  }
  static_assert(kReportInterval % kExchangeInterval == milliseconds(0));
  const std::int64_t round = this->Now() / kExchangeInterval;
  const std::int64_t rounds = kReportInterval / kExchangeInterval;
  for (std::size_t index = 0; index < this->nodes.size(); ++index) {
    Node& node = this->nodes[index];
    const bool is_due =
        round % rounds == static_cast<std::int64_t>(index) % rounds;
    if (is_due && node.is_up && !node.is_isolated) {
      node.admitter->ApplyFleetLoad(sum, this->now);
    }
  }
  this->After(kExchangeInterval, [this] { this->ExchangeLoads(); });
}

void LoadSimulation::RecordSecond() {
  constexpr milliseconds kSampleInterval{250};
  this->capacity_history.push_back({this->now, this->WorkCapacity()});
  if (this->Now() % milliseconds(1000) == milliseconds(0)) {
    int busy = 0;
    for (const Node& node : this->nodes) {
      busy += node.record.service == this->traced_service
                  ? node.gate->InFlight()
                  : 0;
    }
    char line[120];
    std::snprintf(line, sizeof(line),
                  "%3d s: believed %.0f usable %.0f busy %d\n",
                  static_cast<int>(this->Now() / milliseconds(1000)),
                  this->BelievedSlots(), this->UsableSlots(), busy);
    this->timeline += line;
  }
  this->After(kSampleInterval, [this] { this->RecordSecond(); });
}

double LoadSimulation::BelievedSlots() const {
  double sum = 0;
  int count = 0;
  for (const Node& node : this->nodes) {
    if (!node.is_up || node.is_isolated) {
      continue;
    }
    const std::map<std::string, double>& slots =
        node.admitter->Load().LastUsableSlots();
    const auto found = slots.find(this->traced_service);
    if (found != slots.end()) {
      sum += found->second;
      ++count;
    }
  }
  return count > 0 ? sum / count : 0;
}

double LoadSimulation::UsableSlots() const {
  double sum = 0;
  for (const Node& node : this->nodes) {
    if (node.record.service == this->traced_service && this->IsUsable(node) &&
        !node.is_isolated && !this->IsCold(node)) {
      sum += node.gate->Limit();
    }
  }
  return sum;
}

double LoadSimulation::WorkCapacity() const {
  double sum = 0;
  for (const Node& node : this->nodes) {
    if (node.record.service == this->traced_service && this->IsUsable(node) &&
        !node.is_isolated && !this->IsCold(node)) {
      sum += node.gate->Limit() * node.speed * node.speed_factor;
    }
  }
  return sum;
}

double LoadSimulation::TracedWork(const std::string& name) const {
  const SimulatedRoute& route = this->routes.at(name);
  double sum =
      route.service == this->traced_service ? ToSeconds(route.work) : 0;
  for (const SimulatedCalls& calls : route.calls) {
    sum += calls.times * this->TracedWork(calls.route);
  }
  return sum;
}

LoadReport LoadSimulation::Report(milliseconds from, milliseconds to) const {
  LoadReport report;
  std::map<std::string, double> counts;
  for (const std::shared_ptr<Root>& root : this->roots) {
    const Duration at = root->arrived_at - this->started_at;
    if (at < from || at >= to) {
      continue;
    }
    ++report.requests;
    counts[root->route->name] += 1;
    report.owed += root->route->worth;
    const bool is_in_objective =
        root->is_served &&
        root->ended_at - root->arrived_at <= root->route->objective;
    std::pair<int, int>& of_priority =
        report.by_priority[root->route->priority];
    ++of_priority.first;
    of_priority.second += is_in_objective ? 1 : 0;
    report.earned += is_in_objective   ? root->route->worth
                     : root->is_served ? root->route->late_worth
                                       : 0;
    report.served += root->is_served ? 1 : 0;
    report.late += root->is_served && !is_in_objective ? 1 : 0;
    report.failed += root->is_served ? 0 : 1;
    report.refused_once += root->refusals > 0 ? 1 : 0;
    report.refused_again += root->refusals > 1 ? 1 : 0;
    report.wasted_seconds += root->is_served ? 0 : root->traced_seconds;
  }
  double free_work = 0;
  int samples = 0;
  for (const WorkSample& sample : this->capacity_history) {
    const Duration at = sample.at - this->started_at;
    if (at >= from && at < to) {
      free_work += sample.work_per_second;
      ++samples;
    }
  }
  free_work *= ToSeconds(to - from) / std::max(1, samples);
  std::vector<std::pair<double, std::string>> by_value;
  for (const auto& [name, count] : counts) {
    const double work = std::max(1e-9, this->TracedWork(name));
    by_value.emplace_back(this->routes.at(name).worth / work, name);
  }
  std::sort(by_value.rbegin(), by_value.rend());
  for (const auto& [value, name] : by_value) {
    const double needed = counts[name] * this->TracedWork(name);
    const double fraction =
        needed > 0 ? std::min(1.0, std::max(0.0, free_work) / needed) : 1;
    free_work -= fraction * needed;
    report.knapsack_bound +=
        fraction * counts[name] * this->routes.at(name).worth;
  }
  return report;
}

}  // namespace daisywinch::test
