#ifndef DAISYWINCH_NODE_MESH_GATE_H
#define DAISYWINCH_NODE_MESH_GATE_H

#include <atomic>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>

#include <boost/json.hpp>

#include "protocol/generated/peer_messages.pb.h"
#include "state/clock.h"
#include "state/cold_rate_limiter.h"
#include "state/cold_state_tracker.h"
#include "state/decayed_rate.h"
#include "state/log_rate_limiter.h"
#include "state/mesh_settings.h"
#include "state/mesh_view.h"
#include "state/refusal.h"
#include "state/route_cost_estimator.h"
#include "state/slot_queue.h"
#include "transport/asio.h"
#include "transport/cancellation.h"
#include "transport/target_client.h"

namespace daisywinch {

/// Stands before the one target of this VM on the mesh interface: all work
/// reaches the target here.
///
/// Bounds what runs at once and what a cold target gets, and queues or refuses
/// the rest. Runs on the traffic thread.
class MeshGate {
 public:
  MeshGate(asio::io_context& context,
           const Clock& clock,
           const MeshSettings& settings,
           const MeshViewHolder& views,
           RouteCostEstimator& cost_estimator);

  /// Starts to ask the target for its health where that is needed.
  void Start();

  Awaitable<protocol::CallReply> Handle(
      protocol::CallRequest request,
      std::shared_ptr<Cancellation> cancellation);

  /// Takes no new work from now on.
  ///
  /// Safe to call from any thread, as is CallsInProgress().
  void Drain() { this->draining = true; }
  int CallsInProgress() const { return this->calls_in_progress; }

  /// Requests that the target may run at once; 0 while it takes none.
  int Slots() const;
  /// Part of the calls of begun trees that were refused lately, from 0 to 1.
  double RefusedFraction() const {
    // What a cold target is spared says nothing of the service's slots.
    const TimePoint now = this->clock.Now();
    return this->cold_state.IsCold(now)
               ? 0
               : this->refused_nested_calls.PerSecond(now) /
                     (this->nested_calls.PerSecond(now) +
                      kNestedCallRateOffset);
  }
  boost::json::object Status() const;

 private:
  /// A call that waits for a slot.
  struct Waiter {
    explicit Waiter(asio::io_context& context) : wake_up(context) {}

    Timer wake_up;
    /// Set when the wait is over; kNone means that the call may start.
    std::optional<RefusalReason> result;
  };

  /// Calls per second beside which a refusal means little.
  static constexpr double kNestedCallRateOffset = 5;

  void RefreshView();
  /// Why the target gets no new work, or kNone.
  RefusalReason ReasonToRefuse() const;
  Awaitable<protocol::CallReply> AdmitAndRun(
      protocol::CallRequest request,
      std::shared_ptr<Cancellation> cancellation);
  Awaitable<RefusalReason> WaitForSlot(
      const protocol::CallRequest& request,
      TimePoint deadline,
      std::shared_ptr<Cancellation> cancellation);
  bool HasRoom(TimePoint now);
  void OccupySlot(TimePoint now);
  Awaitable<protocol::CallReply> Run(
      protocol::CallRequest request,
      TimePoint deadline,
      std::shared_ptr<Cancellation> cancellation);
  protocol::CallReply MakeReply(const std::string& attempt_id,
                                TargetExchange& exchange);
  void StartQueuedCalls();
  void EndWait(std::uint64_t id, RefusalReason result);
  /// Starts queued calls when the cold target bears the next one.
  Awaitable<> PaceColdStart();
  Awaitable<> RunHealthChecks();
  Awaitable<> CheckHealthOnce();
  void LogColdStateChange();
  /// Writes a call that was refused or ended badly, and what that stood on.
  void LogFailedCall(const std::string& attempt_id,
                     const protocol::CallReply& reply,
                     Duration waited);
  void AddLoad(protocol::CallReply& reply) const;

  asio::io_context& context;
  const Clock& clock;
  Address target_address;
  const MeshViewHolder& views;
  RouteCostEstimator& cost_estimator;
  std::shared_ptr<const MeshView> view;
  /// The own target's entry; null while none is registered.
  const MeshTarget* local_target = nullptr;
  std::string health_path;
  TargetClient target;
  LogRateLimiter log_limiter;
  ColdStateTracker cold_state;
  ColdRateLimiter cold_rate_limiter;
  SlotQueue queue;
  std::unordered_map<std::uint64_t, std::shared_ptr<Waiter>> waiters;
  std::uint64_t next_waiter_id = 1;
  int limit = 1;
  int in_flight = 0;
  bool is_pacing = false;
  bool logged_cold = true;
  /// Mean time of an answered request.
  Duration mean_service_time = Duration::zero();
  /// Calls of begun trees that came and that were refused.
  DecayedRate nested_calls;
  DecayedRate refused_nested_calls;
  std::atomic<int> calls_in_progress = 0;
  std::atomic<bool> draining = false;
};

}  // namespace daisywinch

#endif  // DAISYWINCH_NODE_MESH_GATE_H
