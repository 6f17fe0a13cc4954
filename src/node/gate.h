#ifndef DAISYWINCH_NODE_GATE_H
#define DAISYWINCH_NODE_GATE_H

#include <atomic>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>

#include <boost/json.hpp>

#include "protocol/generated/peer_messages.pb.h"
#include "state/admission_level.h"
#include "state/admission_queue.h"
#include "state/clock.h"
#include "state/fair_share.h"
#include "state/handle_table.h"
#include "state/idempotency_records.h"
#include "state/log_rate_limiter.h"
#include "state/ownership_history.h"
#include "state/settings.h"
#include "state/snapshot.h"
#include "state/target_limit.h"
#include "transport/asio.h"
#include "transport/cancellation.h"
#include "transport/target_client.h"

namespace daisywinch {

/// Controls admission to the local target; all requests reach the target
/// through this gate.
///
/// Limits concurrent requests and queues or sheds the rest. Records requests
/// that must run at most once, so that a duplicate gets the recorded response.
/// Runs on the gate thread.
class Gate {
 public:
  Gate(asio::io_context& context,
       const Clock& clock,
       const Settings& settings,
       const SnapshotHolder& snapshots,
       HandleTable& handles,
       MemoryBudget& memory);

  /// Handles a call from an ingress. The reply carries the load of the gate.
  Awaitable<protocol::CallReply> Handle(
      protocol::CallRequest request,
      std::shared_ptr<Cancellation> cancellation);

  /// Refuses new calls from now on.
  ///
  /// Thread-safe, as is CallsInProgress().
  void Drain() { this->draining = true; }
  int CallsInProgress() const { return this->calls_in_progress; }

  /// State of the gate, for operators.
  boost::json::object Status() const;

 private:
  /// A call in progress.
  struct GateCall {
    protocol::CallRequest request;
    CallContext context;
    std::shared_ptr<Cancellation> cancellation;
    /// The request must run at most once: its route is not repeatable and it
    /// has an idempotency key.
    bool is_recorded = false;
    /// Customer and idempotency key.
    std::string record_key;
  };

  /// A queued call that waits for a slot.
  struct Waiter {
    explicit Waiter(asio::io_context& context) : wake_up(context) {}

    Timer wake_up;
    /// Set when the wait ends; kNone means that the call may start.
    std::optional<RefusalReason> result;
  };

  /// Applies the newest snapshot if it has changed.
  void RefreshSnapshot();
  /// Whether this VM is leaving according to the VM list, or its data centre is
  /// out of service according to the configuration.
  bool IsOutOfService() const;
  Awaitable<protocol::CallReply> AdmitAndRun(GateCall& call);
  /// Records the start of a request that must run at most once and returns
  /// nothing. If it must not run, returns the reply to send instead: that of an
  /// earlier request with the same key, or a refusal.
  std::optional<protocol::CallReply> BeginRecord(const GateCall& call);
  void EndRecord(const GateCall& call, const protocol::CallReply& reply);
  /// Waits for a free slot. Returns why the call may not start, or kNone.
  Awaitable<RefusalReason> WaitForSlot(const GateCall& call);
  /// Sends the call, for which a slot is occupied, to the target.
  Awaitable<protocol::CallReply> Run(GateCall& call);
  /// Adapts the concurrency limit to the outcome of an exchange.
  void RecordExchange(const TargetExchange& exchange,
                      const TargetSample& sample);
  void StartQueuedCalls();
  void EndWait(std::uint64_t id, RefusalReason result);
  /// Adds the load of the gate to a reply, with the admission level that
  /// applies to the call's customer.
  void AddLoad(const GateCall& call, protocol::CallReply& reply);
  void LogColdStateChange();
  /// Logs a response that isn't valid HTTP.
  void LogInvalidResponse(const std::string& root_id,
                          const TargetExchange& exchange);

  asio::io_context& context;
  const Clock& clock;
  std::string vm;
  std::string service;
  const SnapshotHolder& snapshots;
  std::shared_ptr<const Snapshot> snapshot;
  HandleTable& handles;
  TargetClient target;
  TargetLimit limit;
  FairShare shares;
  AdmissionQueue queue;
  AdmissionLevel level;
  IdempotencyRecords<protocol::CallReply> records;
  OwnershipHistory ownership;
  std::unordered_map<std::uint64_t, std::shared_ptr<Waiter>> waiters;
  std::uint64_t next_waiter_id = 1;
  int in_flight = 0;
  int max_in_flight = 0;
  bool logged_warm = false;
  LogRateLimiter log_limiter;
  bool out_of_service = false;
  std::atomic<int> calls_in_progress = 0;
  std::atomic<bool> draining = false;
};

}  // namespace daisywinch

#endif  // DAISYWINCH_NODE_GATE_H
