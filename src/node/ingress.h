#ifndef DAISYWINCH_NODE_INGRESS_H
#define DAISYWINCH_NODE_INGRESS_H

#include <atomic>
#include <cstdint>
#include <memory>
#include <optional>
#include <set>
#include <string>

#include "node/call_metrics.h"
#include "node/call_sender.h"
#include "node/rate_limiter.h"
#include "node/refusal_history.h"
#include "state/clock.h"
#include "state/handle_table.h"
#include "state/load_balancer.h"
#include "state/refusal.h"
#include "state/retry_budget.h"
#include "state/settings.h"
#include "state/snapshot.h"
#include "state/stop_schedule.h"
#include "transport/asio.h"
#include "transport/cancellation.h"
#include "transport/http.h"

namespace daisywinch {

/// Accepts requests of callers, and nested calls that the local target makes
/// while it serves a request; admits and routes them, and sends them to the
/// gate of a target.
///
/// A request that no target has received is redirected to another target a few
/// times. Sending it again in other cases is a retry and limited by budgets.
///
/// Runs on the ingress thread.
class Ingress {
 public:
  Ingress(asio::io_context& context,
          const Clock& clock,
          const Settings& settings,
          std::uint64_t seed,
          const SnapshotHolder& snapshots,
          HandleTable& handles,
          RateLimiter& rate_limiter,
          CallSender& sender);

  /// Handles a request. The cancellation fires when the caller disconnects.
  Awaitable<HttpResponse> Handle(HttpRequest request,
                                 std::shared_ptr<Cancellation> cancellation);

  /// Refuses new requests of callers from now on; nested calls of requests in
  /// progress are still accepted. Thread-safe.
  void Drain() { this->draining = true; }
  /// Accepts nested calls only as far as the schedule allows. Runs on the
  /// thread of the ingress.
  void SetStopSchedule(const StopSchedule& schedule) {
    this->stop_schedule = schedule;
  }

  const CallMetrics& Metrics() const { return this->metrics; }
  const RefusalHistory& RecentRefusals() const { return this->refusal_history; }

 private:
  /// An admitted request with the data that all its attempts need.
  struct Call {
    std::shared_ptr<const Snapshot> snapshot;
    const Route* route = nullptr;
    CallContext context;
    /// Handle of the request that a nested call is made for; empty for a root
    /// request.
    std::string parent_handle;
    std::uint32_t retries_left = 0;
    std::string idempotency_key;
    protocol::CallRequest message;
  };

  /// Validates and admits a request. If it is refused, returns nothing and sets
  /// `reason`.
  Awaitable<std::optional<Call>> Admit(std::shared_ptr<const Snapshot> snapshot,
                                       const Route* route,
                                       HttpRequest& request,
                                       RefusalReason& reason);
  /// Determines the customer, class, deadline and root ID of the request. A
  /// nested call inherits them from its parent, and its own timeout can only
  /// shorten the deadline. Returns false and sets `reason` if the request is
  /// refused.
  bool ResolveContext(const HttpRequest& request,
                      Call& call,
                      RefusalReason& reason);
  /// Sets the customer of a root request by its API key. Without a valid key,
  /// returns kNone only if the route is open.
  RefusalReason Authenticate(const HttpRequest& request, Call& call) const;
  /// Returns why the customer may not use the route, or kNone.
  static RefusalReason CheckRouteAccess(const Call& call);
  /// Sends a nested call, which uses the retries of its parent and is cancelled
  /// when the parent ends.
  Awaitable<protocol::CallReply> SendNestedCall(
      Call& call,
      std::shared_ptr<Cancellation> cancellation);
  Awaitable<protocol::CallReply> SendWithRetries(
      Call& call,
      std::shared_ptr<Cancellation> cancellation);
  Awaitable<protocol::CallReply> SendOnce(
      Call& call,
      const Vm& target,
      std::shared_ptr<Cancellation> cancellation);
  /// Whether the call may be sent again after this reply. If so, takes a retry
  /// from the node's retry budget.
  bool MayRetry(const Call& call, const protocol::CallReply& reply);
  /// Reports the load or the failure of a gate to the load balancer.
  void RecordReply(const Call& call,
                   const std::string& vm,
                   const protocol::CallReply& reply);

  asio::io_context& context;
  const Clock& clock;
  std::string data_centre;
  const SnapshotHolder& snapshots;
  HandleTable& handles;
  CallSender& sender;
  LoadBalancer balancer;
  RetryBudget retry_budget;
  RateLimiter& rate_limiter;
  CallMetrics metrics;
  RefusalHistory refusal_history;
  std::uint64_t next_root_id = 1;
  std::string root_id_prefix;
  std::atomic<bool> draining = false;
  /// Set while the node stops.
  std::optional<StopSchedule> stop_schedule;
};

}  // namespace daisywinch

#endif  // DAISYWINCH_NODE_INGRESS_H
