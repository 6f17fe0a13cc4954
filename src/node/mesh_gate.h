#ifndef DAISYWINCH_NODE_MESH_GATE_H
#define DAISYWINCH_NODE_MESH_GATE_H

#include <atomic>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>

#include <boost/json.hpp>

#include "protocol/generated/peer_messages.pb.h"
#include "state/clock.h"
#include "state/cold_state_tracker.h"
#include "state/crash_detector.h"
#include "state/fatal_requests.h"
#include "state/gate_admission.h"
#include "state/log_rate_limiter.h"
#include "state/mesh_settings.h"
#include "state/mesh_view.h"
#include "state/refusal.h"
#include "state/route_classes.h"
#include "state/route_cost_estimator.h"
#include "state/running_trees.h"
#include "state/stop_schedule.h"
#include "state/target_notices.h"
#include "transport/asio.h"
#include "transport/cancellation.h"
#include "transport/target_client.h"

namespace daisywinch {

/// Controls admission to the local target on the mesh interface; all requests
/// reach the target through this gate.
///
/// GateAdmission decides which calls run, wait or are refused; this class sends
/// them, waits, and checks the target's health. Runs on the traffic thread.
class MeshGate {
 public:
  MeshGate(asio::io_context& context,
           const Clock& clock,
           const MeshSettings& settings,
           const MeshViewHolder& views,
           RouteCostEstimator& cost_estimator,
           FatalRequests& fatal_requests,
           RunningTrees& running_trees,
           MemoryBudget& memory);

  /// Starts health checks, which are sent while it is uncertain whether the
  /// target is cold, or whether what it last stated still holds.
  void Start();

  /// Handles one call: waits until the target has a free slot, sends the
  /// request to it and returns its response, or a refusal. Ends early when
  /// `cancellation` is triggered.
  Awaitable<protocol::CallReply> Handle(
      protocol::CallRequest request,
      std::shared_ptr<Cancellation> cancellation);

  /// Refuses calls from now on that could outlast the node. Others are still
  /// taken, as there may be no other target.
  void Stop(const StopSchedule& schedule) { this->stop_schedule = schedule; }

  /// Refuses new calls from now on.
  ///
  /// Thread-safe, as is CallsInProgress().
  void Drain() { this->draining = true; }
  int CallsInProgress() const { return this->calls_in_progress; }

  /// Mean number of concurrent requests that the target can sustain; 0 while it
  /// accepts none.
  double UsableSlots();
  /// State of the gate for the operators' status page.
  boost::json::object Status() const;
  /// What the target states about itself, and the cancelled calls, in the
  /// Prometheus text format.
  std::string ToPrometheusText() const;

 private:
  /// A queued call that waits for a slot.
  struct Waiter {
    explicit Waiter(asio::io_context& context) : wake_up(context) {}

    Timer wake_up;
    /// Set when the wait ends; kNone means that the call may start.
    std::optional<RefusalReason> result;
  };

  /// Progress of an admitted call.
  enum class CallState { kQueued, kRunning };

  void RefreshView();
  /// Applies the record of the local target in a new view.
  void ApplyRecord(bool was_evacuated);
  /// Applies the state of the target to the admission.
  void UpdateAdmission(TimePoint now);
  /// Whether calls wait for the first response of the target to this process,
  /// which shows whether it is leaving, cold or states a maximum rate.
  bool IsAwaitingFirstResponse(TimePoint now) const;
  /// Whether the target gets no calls, by its record or by what it states.
  bool IsTargetOutOfService() const;
  /// Reason why the target gets no new calls, or kNone.
  RefusalReason ReasonToRefuse() const;
  /// Keeps `state` up to date.
  Awaitable<protocol::CallReply> AdmitAndRun(
      protocol::CallRequest request,
      std::shared_ptr<Cancellation> cancellation,
      CallState& state);
  /// Waits until the call may start; returns kNone and occupies a slot, or
  /// returns the reason for a refusal.
  Awaitable<RefusalReason> WaitForSlot(
      const protocol::CallRequest& request,
      TimePoint deadline,
      std::shared_ptr<Cancellation> cancellation);
  Awaitable<protocol::CallReply> Run(
      protocol::CallRequest request,
      TimePoint deadline,
      std::shared_ptr<Cancellation> cancellation);
  protocol::CallReply MakeReply(const protocol::CallRequest& request,
                                TimePoint sent_at,
                                TargetExchange& exchange);
  /// Logs a response that isn't valid HTTP. `request` is the attempt id, or
  /// empty for a health check.
  void LogInvalidResponse(const std::string& request,
                          const TargetExchange& exchange);
  /// Records a sign that the process of the target has ended.
  void RecordProcessEnd();
  /// Reports a crash of the target when all its connections have been closed.
  Awaitable<> ReportCrash();
  /// Applies what the target states in a response to a request that was sent at
  /// `sent_at`; see TargetNotices::Record(). `source` is for the log.
  void RecordNotice(const HttpResponse& response,
                    bool is_genuine,
                    TimePoint sent_at,
                    std::string_view source);
  /// Applies that, by what the sender of a call was told, a run of the target
  /// leaves.
  void RecordLeavingReport(const protocol::TargetRun& run);
  /// Records whether the end of an exchange is a sign that the process of the
  /// target has ended.
  void RecordPossibleRestart(const TargetExchange& exchange, TimePoint sent_at);
  void StartQueuedCalls();
  void RefuseQueuedCalls(RefusalReason reason);
  void EndWait(std::uint64_t id, RefusalReason result);
  /// Starts queued calls as soon as the rate limit of the target allows the
  /// next one.
  Awaitable<> PaceStarts();
  Awaitable<> RunHealthChecks();
  Awaitable<> CheckHealthOnce();
  /// Empty while the local target is not registered.
  std::string LocalTargetId() const;
  void LogColdStateChange();
  /// Logs a change of what the target states, and how the gate learned of it.
  void LogNoticeChange(std::string_view source, TimePoint now);
  void RecordCancellation(const std::string& attempt_id,
                          CancellationCause cause,
                          CallState state,
                          Duration waited);
  /// Logs a call that was refused or failed, and the state that decided it.
  void LogFailedCall(const std::string& attempt_id,
                     const protocol::CallReply& reply,
                     Duration waited);
  void AddLoad(protocol::CallReply& reply);

  asio::io_context& context;
  const Clock& clock;
  Address target_address;
  const MeshViewHolder& views;
  RouteCostEstimator& cost_estimator;
  RouteClasses route_classes;
  FatalRequests& fatal_requests;
  RunningTrees& running_trees;
  std::shared_ptr<const MeshView> view;
  /// Record of the local target in the store; null while it is not registered.
  const MeshTarget* local_target = nullptr;
  std::string health_path;
  TargetClient target;
  /// Runs between health checks; cancelled for a check at once.
  Timer health_timer;
  LogRateLimiter log_limiter;
  /// Counts by cause and state.
  std::map<std::pair<std::string_view, std::string_view>, std::uint64_t>
      cancelled_calls;
  ColdStateTracker cold_state;
  TargetNotices notices;
  CrashDetector crash_detector;
  /// Time at which this process learned of the target, and whether the target
  /// has responded since.
  std::optional<TimePoint> target_known_at;
  bool has_target_responded = false;
  GateAdmission admission;
  std::unordered_map<std::uint64_t, std::shared_ptr<Waiter>> waiters;
  std::uint64_t next_waiter_id = 1;
  bool is_pacing = false;
  bool logged_cold = true;
  std::optional<double> logged_max_rate;
  TimePoint max_rate_logged_at;
  bool logged_leaving = false;
  /// Set while the node stops.
  std::optional<StopSchedule> stop_schedule;
  std::atomic<int> calls_in_progress = 0;
  std::atomic<bool> draining = false;
};

}  // namespace daisywinch

#endif  // DAISYWINCH_NODE_MESH_GATE_H
