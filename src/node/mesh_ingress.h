#ifndef DAISYWINCH_NODE_MESH_INGRESS_H
#define DAISYWINCH_NODE_MESH_INGRESS_H

#include <atomic>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <random>
#include <string>
#include <unordered_map>

#include "coordination/distributed_rate_limiter.h"
#include "coordination/fleet_load.h"
#include "coordination/traffic_sum.h"
#include "node/call_metrics.h"
#include "node/call_sender.h"
#include "platform/attempt_messages.h"
#include "state/clock.h"
#include "state/log_rate_limiter.h"
#include "state/mesh_load_balancer.h"
#include "state/mesh_settings.h"
#include "state/mesh_view.h"
#include "state/refusal.h"
#include "state/retry_budget.h"
#include "state/route_cost_estimator.h"
#include "state/traffic_splitter.h"
#include "transport/asio.h"
#include "transport/cancellation.h"
#include "transport/http.h"

namespace daisywinch {

/// Takes requests on the mesh interface, from callers and from the target
/// beside the node, and sends them to the gate of a target.
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
              CallSender& sender);

  Awaitable<HttpResponse> Handle(HttpRequest request,
                                 std::shared_ptr<Cancellation> cancellation);

  /// Takes the traffic of all other nodes; counts go on from the last.
  void ApplyUpdate(TrafficSum update);
  /// Whether the other nodes should hear from this one at once.
  bool HasUrgentUpdate() const;
  /// Completes what this node tells: `load` holds what its gate sees.
  TrafficUpdate MakeUpdate(NodeLoad load);

  const CallMetrics& Metrics() const { return this->metrics; }

 private:
  /// A request that was admitted, with all that its attempts need.
  struct Call {
    const MeshRoute* route = nullptr;
    std::shared_ptr<const MeshConfiguration> configuration;
    std::string service;
    std::string customer;
    std::string attempt_id;
    std::uint32_t priority = 0;
    bool is_root = true;
    TimePoint started;
    TimePoint deadline;
    /// Targets that the call was sent to, for the log.
    std::string tried_targets;
    protocol::CallRequest message;
  };

  /// Fills in the call; returns why it may not go on, or kNone.
  RefusalReason Admit(HttpRequest& request, Call& call);
  void RefreshView();
  Awaitable<protocol::CallReply> SendWithRetries(
      Call& call,
      std::shared_ptr<Cancellation> cancellation);
  Awaitable<protocol::CallReply> SendOnce(
      Call& call,
      const MeshTarget& target,
      std::shared_ptr<Cancellation> cancellation);
  /// Whether the call may be sent on after this reply.
  bool MayRetry(const Call& call,
                const protocol::CallReply& reply,
                int targets_reached);
  /// Admits the part of the roots of its kind that fits; see FleetLoad.
  bool AdmitRoot(const Call& call);
  /// Roots that callers ask for, of all kinds, in requests per second.
  double RootRate(TimePoint now) const;
  void LogOverRate(const Call& call);
  /// Logs admitted parts that have changed.
  void LogAdmissionChanges(TimePoint now);
  RetryBudget& RetryBudgetFor(const std::string& service);
  HttpResponse MakeResponse(const Call& call, protocol::CallReply reply);
  HttpResponse MakeRefusal(const Call& call,
                           RefusalReason reason,
                           bool has_not_run);
  Duration RetryDelay(const Call& call, RefusalReason reason);
  void RecordMetrics(const Call& call,
                     std::uint32_t reason,
                     Duration in_target);
  /// Writes how the request ended, and what that stood on.
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
  TrafficSplitter traffic_splitter;
  DistributedRateLimiter rate_limiter;
  RouteCostEstimator& cost_estimator;
  FleetLoad fleet_load;
  /// When a relay last told of all nodes.
  TimePoint fleet_update_at;
  /// Roots that callers asked for, by kind.
  std::map<RootClass, DecayedRate> root_rates;
  /// Their sum when it was told last.
  double sent_root_rate = 0;
  std::map<RootClass, double> admitted_fractions;
  /// Admission owed to each kind; a root is admitted when it reaches 1.
  std::map<RootClass, double> root_credits;
  TimePoint fractions_computed_at;
  std::map<RootClass, double> logged_fractions;
  std::unordered_map<std::string, TimePoint> over_rate_logged_at;
  TimePoint admission_logged_at;
  std::unordered_map<std::string, RetryBudget> retry_budgets;
  CallMetrics metrics;
  LogRateLimiter log_limiter;
  std::mt19937_64 random;
};

}  // namespace daisywinch

#endif  // DAISYWINCH_NODE_MESH_INGRESS_H
