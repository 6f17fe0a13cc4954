#ifndef DAISYWINCH_TESTS_SUPPORT_LOAD_SIMULATION_H
#define DAISYWINCH_TESTS_SUPPORT_LOAD_SIMULATION_H

#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <queue>
#include <random>
#include <set>
#include <string>
#include <tuple>
#include <unordered_map>
#include <vector>

#include "coordination/root_admitter.h"
#include "state/call_attempts.h"
#include "state/clock.h"
#include "state/gate_admission.h"
#include "state/mesh_load_balancer.h"
#include "state/mesh_view.h"
#include "state/retry_budget.h"
#include "state/return_schedule.h"
#include "state/route_cost_estimator.h"

namespace daisywinch::test {

/// Calls that each run of a route makes, in sequence or all at once.
struct SimulatedCalls {
  std::string route;
  int times = 1;
  bool in_parallel = false;
};

struct SimulatedRoute {
  std::string name;
  std::string service;
  /// Mean processing time at a target of speed 1, without nested calls.
  std::chrono::milliseconds work;
  std::vector<SimulatedCalls> calls;
  std::chrono::milliseconds objective;
  std::chrono::milliseconds timeout;
  bool is_repeatable = true;
  /// The fields below are those of root requests.
  double rate = 0;
  std::uint32_t priority = 2;
  double worth = 0;
  double late_worth = 0;
};

struct SimulatedService {
  std::string name;
  int targets = 1;
  int slots = 1;
  /// Speeds of the targets in turn.
  std::vector<double> speeds = {1};
  double cold_rate = 8;
  /// Above this fraction of the slots, requests take `knee_factor` times as
  /// long.
  double knee = 0.95;
  double knee_factor = 1;
};

/// What happened to the root requests whose first attempt fell into a span of
/// time.
struct LoadReport {
  double owed = 0;
  double earned = 0;
  int requests = 0;
  int served = 0;
  int late = 0;
  /// Requests that were refused at least once, and more than once.
  int refused_once = 0;
  int refused_again = 0;
  int failed = 0;
  /// Slot time at all targets of the traced service, in seconds, spent on trees
  /// whose root failed.
  double wasted_seconds = 0;
  /// Requests and those served within the objective, by priority.
  std::map<std::uint32_t, std::pair<int, int>> by_priority;
  /// Worth that the best order of admission could earn, by the work that the
  /// targets of the traced service can do (fractional knapsack).
  double knapsack_bound = 0;

  double Share() const {
    return this->owed > 0 ? this->earned / this->owed : 1;
  }
  double ShareOfBound() const {
    return this->knapsack_bound > 0 ? this->earned / this->knapsack_bound : 1;
  }
  double InObjective(std::uint32_t priority) const;
};

/// Simulates the nodes of a fleet, their targets and callers on a fake clock,
/// with the classes that decide admission, queueing, placement and retries.
///
/// Links only delay; nodes are told of the load of all nodes that they can
/// reach twice a second, as through a relay.
class LoadSimulation {
 public:
  LoadSimulation(std::vector<SimulatedService> services,
                 std::vector<SimulatedRoute> routes,
                 int data_centres,
                 std::string traced_service,
                 std::uint64_t seed);

  void Run(std::chrono::milliseconds time);

  // Changes from now on.
  void SetLoad(double factor) { this->load_factor = factor; }
  /// Probability with which a caller retries at once instead of waiting, and
  /// the number of its retries.
  void SetRetryAbuse(double share, int retries);
  /// Probability with which a caller leaves after `patience`.
  void SetImpatience(double share, std::chrono::milliseconds patience);
  /// Removes targets with their nodes, as when they are scaled in or lost.
  void RemoveTargets(const std::string& service, int count);
  void RemoveDataCentre(int data_centre);
  void ReturnAll(std::chrono::milliseconds cold);
  /// Takes the targets of a data centre out of use, but not its callers.
  void Evacuate(int data_centre, bool is_evacuated);
  void MakeCold(int data_centre, std::chrono::milliseconds cold);
  void SetSpeedFactor(const std::string& service, int count, double factor);
  /// Lets targets state that they accept `rate` requests per second, or any
  /// rate if it is empty.
  void SetStatedRate(const std::string& service,
                     int count,
                     std::optional<double> rate);
  /// Largest number of requests that one target of the service got in a span of
  /// this length after `from`.
  int MaxArrivals(const std::string& service,
                  int count,
                  std::chrono::milliseconds from,
                  std::chrono::milliseconds span) const;
  /// Makes targets refuse a fraction of the requests that they have slots for.
  void SetShedding(const std::string& service, int count, double fraction);
  /// Restarts all nodes, which lose what they have learned.
  void RestartNodes();
  /// Isolates every `n`th node from all others; 0 connects all.
  void Isolate(int n);

  /// Report on the requests that arrived between two times.
  LoadReport Report(std::chrono::milliseconds from,
                    std::chrono::milliseconds to) const;
  /// Mean number of slots of the traced service that the connected nodes
  /// believe to be usable, and the number that is.
  double BelievedSlots() const;
  double UsableSlots() const;
  std::chrono::milliseconds Now() const;
  /// Second by second, for the log of a test.
  std::string Timeline() const { return this->timeline; }

 private:
  struct Root {
    const SimulatedRoute* route = nullptr;
    std::size_t origin = 0;
    TimePoint arrived_at;
    TimePoint attempt_started;
    int attempts = 0;
    int max_attempts = 2;
    int refusals = 0;
    bool is_served = false;
    bool is_over = false;
    TimePoint ended_at;
    double traced_seconds = 0;
    TimePoint gives_up_at;
  };
  struct Call {
    const SimulatedRoute* route = nullptr;
    std::size_t origin = 0;
    bool is_root = false;
    TimePoint started;
    TimePoint deadline;
    std::set<std::string> tried;
    std::unique_ptr<CallAttempts> attempts;
    std::shared_ptr<Root> root;
    /// Called with whether the call succeeded, and if not, whether it has not
    /// run.
    std::function<void(bool, bool)> done;
  };
  struct Execution {
    std::shared_ptr<Call> call;
    std::size_t node = 0;
    std::string target_id;
    TimePoint started;
    std::size_t phase = 0;
    int calls_left = 0;
    int calls_done = 0;
    bool is_over = false;
    std::uint64_t node_run = 0;
  };
  struct Node {
    MeshTarget record;
    int data_centre = 0;
    double speed = 1;
    double speed_factor = 1;
    double shed_fraction = 0;
    double knee = 0.95;
    double knee_factor = 1;
    bool is_up = true;
    bool is_listed = true;
    bool is_evacuated = false;
    bool is_isolated = false;
    TimePoint cold_until;
    /// Requests per second that the target states to accept.
    std::optional<double> stated_rate;
    /// Times of the requests that the target got.
    std::vector<TimePoint> arrivals;
    /// Counts restarts of the node process.
    std::uint64_t run = 0;
    std::unique_ptr<GateAdmission> gate;
    std::unique_ptr<MeshLoadBalancer> balancer;
    std::unique_ptr<RouteCostEstimator> estimator;
    std::unique_ptr<RootAdmitter> admitter;
    std::unique_ptr<ReturnSchedule> returns;
    std::map<std::string, RetryBudget> budgets;
    std::map<std::uint64_t, std::shared_ptr<Call>> waiting;
    NodeLoad last_load;
    TimePoint reported_at;
    /// Time at which the other nodes last received its load.
    TimePoint received_at;
  };
  struct Event {
    TimePoint at;
    std::uint64_t sequence;
    std::function<void()> action;
    bool operator<(const Event& other) const {
      return std::tie(other.at, other.sequence) <
             std::tie(this->at, this->sequence);
    }
  };
  struct WorkSample {
    TimePoint at;
    double work_per_second;
  };

  void After(Duration delay, std::function<void()> action);
  void StartNode(Node& node);
  void PublishView();
  void ScheduleArrival(const SimulatedRoute& route);
  void StartAttempt(const std::shared_ptr<Root>& root);
  void EndAttempt(const std::shared_ptr<Root>& root,
                  bool is_served,
                  bool has_not_run);
  void EndRoot(const std::shared_ptr<Root>& root, bool is_served);
  RetryBudget& BudgetFor(const Call& call);
  void SendCall(const std::shared_ptr<Call>& call);
  void ArriveAtGate(const std::shared_ptr<Call>& call,
                    std::size_t index,
                    const std::string& target_id);
  void Refuse(const std::shared_ptr<Call>& call, std::size_t index);
  void ReleaseQueued(std::size_t index);
  void StartRun(const std::shared_ptr<Call>& call, std::size_t index);
  void ContinueRun(const std::shared_ptr<Execution>& run);
  void WorkOn(const std::shared_ptr<Execution>& run, Duration time);
  void MakeNestedCall(const std::shared_ptr<Execution>& run,
                      const SimulatedCalls& calls);
  void EndRun(const std::shared_ptr<Execution>& run, bool is_served);
  void Reply(const std::shared_ptr<Call>& call,
             std::size_t index,
             const std::string& target_id,
             AttemptResult attempt,
             GateResult gate_result);
  void ExchangeLoads();
  void RecordSecond();
  bool CanReach(std::size_t from, std::size_t to) const;
  Duration LinkDelay(std::size_t from, std::size_t to) const;
  Duration RandomWork(std::chrono::milliseconds mean);
  bool IsCold(const Node& node) const { return this->now < node.cold_until; }
  bool IsUsable(const Node& node) const {
    return node.is_up && node.is_listed && !node.is_evacuated;
  }
  /// Work of the traced service that one run of the route causes, in seconds.
  double TracedWork(const std::string& route) const;
  /// Work per second that the targets of the traced service can do.
  double WorkCapacity() const;

  std::map<std::string, SimulatedRoute> routes;
  int data_centres;
  std::string traced_service;
  std::mt19937_64 random;
  TimePoint started_at;
  TimePoint now;
  std::priority_queue<Event> events;
  std::uint64_t next_sequence = 0;
  std::uint64_t next_waiter = 1;
  std::vector<Node> nodes;
  std::unordered_map<std::string, std::size_t> index_by_target;
  std::shared_ptr<const MeshView> view;
  std::shared_ptr<const MeshConfiguration> configuration;
  double load_factor = 1;
  double abuse_share = 0;
  int abuse_retries = 0;
  double impatient_share = 0;
  Duration patience = Duration::zero();
  std::vector<std::shared_ptr<Root>> roots;
  std::vector<WorkSample> capacity_history;
  std::string timeline;
};

}  // namespace daisywinch::test

#endif  // DAISYWINCH_TESTS_SUPPORT_LOAD_SIMULATION_H
