#ifndef DAISYWINCH_NODE_MESH_INGRESS_H
#define DAISYWINCH_NODE_MESH_INGRESS_H

#include <atomic>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>

#include "coordination/distributed_rate_limiter.h"
#include "coordination/root_admitter.h"
#include "coordination/traffic_sum.h"
#include "node/call_metrics.h"
#include "node/call_sender.h"
#include "platform/attempt_messages.h"
#include "state/clock.h"
#include "state/fatal_requests.h"
#include "state/log_rate_limiter.h"
#include "state/mesh_load_balancer.h"
#include "state/mesh_settings.h"
#include "state/mesh_view.h"
#include "state/refusal.h"
#include "state/retry_budget.h"
#include "state/return_schedule.h"
#include "state/route_classes.h"
#include "state/route_cost_estimator.h"
#include "state/running_trees.h"
#include "state/stop_schedule.h"
#include "state/weighted_service_chooser.h"
#include "transport/asio.h"
#include "transport/cancellation.h"
#include "transport/http.h"

namespace daisywinch {

/// Accepts requests on the mesh interface, from callers and from the local
/// target, and sends each one to the gate of a target.
///
/// Refuses requests over their customer's rate, and root requests for which the
/// services lack capacity; redirects and retries calls that failed. A root
/// request starts a tree of nested calls. Nested calls, which targets send
/// without an API key, are limited at the gates only.
///
/// Runs on the traffic thread.
class MeshIngress {
 public:
  MeshIngress(asio::io_context& context,
              const Clock& clock,
              const MeshSettings& settings,
              std::uint64_t seed,
              const MeshViewHolder& views,
              RouteCostEstimator& cost_estimator,
              FatalRequests& fatal_requests,
              const RunningTrees& running_trees,
              CallSender& sender);

  /// Handles one request: admits or refuses it, sends it to one or more targets
  /// and returns the response for the caller.
  Awaitable<HttpResponse> Handle(HttpRequest request,
                                 std::shared_ptr<Cancellation> cancellation);

  /// Refuses new root requests from now on. Nested calls are still accepted, as
  /// they belong to requests in progress, as far as the schedule allows.
  void Drain(const StopSchedule& schedule) { this->stop_schedule = schedule; }

  /// Sets the bounds for all requests from now on.
  void SetBounds(const MeshBounds& new_bounds);

  /// Applies the combined traffic of all other nodes. Its counts continue those
  /// of the previous update.
  void ApplyUpdate(TrafficSum update);
  /// Whether the other nodes should receive an update from this one at once.
  bool HasUrgentUpdate() const;
  /// Makes this node's update from `load`, which holds the part that the gate
  /// observes, and the ingress's own measurements.
  TrafficUpdate MakeUpdate(NodeLoad load);

  const CallMetrics& Metrics() const { return this->metrics; }

 private:
  /// A request with the data that all its attempts need.
  struct Call {
    const MeshRoute* route = nullptr;
    std::shared_ptr<const MeshConfiguration> configuration;
    std::string service;
    std::string customer;
    std::string attempt_id;
    std::uint32_t priority = 0;
    /// The call tree that the call belongs to.
    CallTree tree;
    /// Class by which the load of the call is measured; see RouteClasses.
    RootClass load_class;
    bool is_root = true;
    TimePoint started;
    TimePoint deadline;
    /// IDs of the targets that the call was sent to, separated by commas, for
    /// the log.
    std::string tried_targets;
    protocol::CallRequest message;
  };

  /// Validates and admits the request and fills in `call`. Returns the reason
  /// for a refusal, or kNone.
  RefusalReason Admit(HttpRequest& request, Call& call);
  /// The tree of an admitted call, which may take `timeout`.
  CallTree TreeOf(const Call& call, std::optional<Duration> timeout) const;
  /// Records how an admitted call ended, for the admission of root requests.
  void RecordOutcome(const Call& call, const protocol::CallReply& reply);
  /// Whether this node stops and no longer takes the call.
  bool IsTooLateToTake(const Call& call) const;
  void RefreshView();
  /// Forgets what is known of services and customers that the configuration
  /// doesn't contain.
  void RetainConfigured(const MeshConfiguration& configuration);
  /// Sends the call to one target after another until it succeeds or may not be
  /// sent again.
  Awaitable<protocol::CallReply> SendWithRetries(
      Call& call,
      std::shared_ptr<Cancellation> cancellation);
  /// Whether the call is not to be sent again, as it ends the targets that run
  /// it. The gate that sent the reply may have learned that first.
  bool IsFatal(const Call& call, const protocol::CallReply& reply) const;
  Awaitable<protocol::CallReply> SendOnce(
      Call& call,
      const MeshTarget& target,
      std::shared_ptr<Cancellation> cancellation);
  /// Applies what the reply to a call, which was sent to a run of a target,
  /// says about the end of that run.
  void RecordRunState(const Call& call,
                      const protocol::TargetRun& run,
                      const protocol::CallReply& reply);
  void RecordLeaving(const Call& call,
                     const protocol::TargetRun& run,
                     std::string_view source);
  void LogRunState(const Call& call,
                   const protocol::TargetRun& run,
                   bool is_leaving,
                   std::string_view source);
  /// Notes the attempt id of a request whose caller left before it was read.
  RefusalReason RefuseUnread(const HttpRequest& request, Call& call);
  void LogCancellation(const Call& call, CancellationCause cause);
  void LogOverRate(const Call& call);
  /// Logs the requests that are refused since the last call.
  void LogVerdicts(TimePoint now);
  /// Logs the admitted fractions that have changed.
  void LogAdmissionChanges(TimePoint now);
  RetryBudget& RetryBudgetFor(const Call& call);
  HttpResponse MakeResponse(const Call& call, protocol::CallReply reply);
  HttpResponse MakeRefusal(const Call& call,
                           RefusalReason reason,
                           bool has_not_run);
  /// Time after which the caller of a refused request should send it again.
  Duration RetryDelay(const Call& call, RefusalReason reason);
  void RecordMetrics(const Call& call,
                     std::uint32_t reason,
                     Duration in_target);
  /// Logs the outcome of the request and the state that decided it.
  void LogRequestEnd(const Call& call, const protocol::CallReply& reply);

  const Clock& clock;
  std::string service;
  std::string ip;
  std::uint16_t peer_port;
  MeshBounds bounds;
  const MeshViewHolder& views;
  std::shared_ptr<const MeshView> view;
  CallSender& sender;
  MeshLoadBalancer balancer;
  WeightedServiceChooser weighted_service_chooser;
  DistributedRateLimiter rate_limiter;
  RouteCostEstimator& cost_estimator;
  RouteClasses route_classes;
  FatalRequests& fatal_requests;
  const RunningTrees& running_trees;
  /// Requests whose verdict has been logged.
  std::set<RequestDigest> logged_verdicts;
  RootAdmitter root_admitter;
  ReturnSchedule return_schedule;
  std::map<RootClass, double> logged_fractions;
  std::unordered_map<std::string, TimePoint> over_rate_logged_at;
  TimePoint admission_logged_at;
  /// Time of the computation whose fractions were last compared with the logged
  /// ones.
  TimePoint admission_compared_at;
  /// Calls that have a retry budget of their own at each service: those of
  /// routes that make nested calls, and of leaf routes.
  enum class RetryKind { kInner, kLeafRoot, kNestedLeaf };

  std::map<std::pair<std::string, RetryKind>, RetryBudget> retry_budgets;
  CallMetrics metrics;
  LogRateLimiter log_limiter;
  /// Set while the node stops.
  std::optional<StopSchedule> stop_schedule;
};

}  // namespace daisywinch

#endif  // DAISYWINCH_NODE_MESH_INGRESS_H
