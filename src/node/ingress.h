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
#include "transport/asio.h"
#include "transport/cancellation.h"
#include "transport/http.h"

namespace daisywinch {

/// Takes requests from callers, and from the target beside the node when it
/// calls onward, and sends them to the gate of a target.
///
/// Runs on the entry's thread.
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

  Awaitable<HttpResponse> Handle(HttpRequest request,
                                 std::shared_ptr<Cancellation> cancellation);

  /// Takes no new requests from callers from now on; onward calls of requests
  /// in progress go on. Safe to call from any thread.
  void Drain() { this->draining = true; }

  const CallMetrics& Metrics() const { return this->metrics; }
  const RefusalHistory& RecentRefusals() const { return this->refusal_history; }

 private:
  /// A request that was admitted, with all that its attempts need.
  struct Call {
    std::shared_ptr<const Snapshot> snapshot;
    const Route* route = nullptr;
    CallContext context;
    /// Empty for a caller's own request.
    std::string parent_handle;
    std::uint32_t retries_left = 0;
    std::string idempotency_key;
    protocol::CallRequest message;
  };

  /// Decides whether a request may go on; sets the reason when it may not.
  Awaitable<std::optional<Call>> Admit(std::shared_ptr<const Snapshot> snapshot,
                                       const Route* route,
                                       HttpRequest& request,
                                       RefusalReason& reason);
  /// Finds out for whom the request is and what it inherits.
  bool ResolveContext(const HttpRequest& request,
                      Call& call,
                      RefusalReason& reason);
  /// Finds the customer of the key that came with a caller's own request.
  RefusalReason Authenticate(const HttpRequest& request, Call& call) const;
  /// Whether the caller may use the route.
  static RefusalReason CheckRouteAccess(const Call& call);
  /// Sends an onward call, which ends with the request that it belongs to.
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
  bool MayRetry(const Call& call, const protocol::CallReply& reply);
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
};

}  // namespace daisywinch

#endif  // DAISYWINCH_NODE_INGRESS_H
