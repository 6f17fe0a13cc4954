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
#include "state/ownership_history.h"
#include "state/settings.h"
#include "state/snapshot.h"
#include "state/target_limit.h"
#include "transport/asio.h"
#include "transport/cancellation.h"
#include "transport/target_client.h"

namespace daisywinch {

/// Stands before the one target of this VM: all work reaches the target here.
///
/// Bounds what runs at once, queues and sheds the rest, and keeps the record
/// of requests that may run at most once. Runs on the gate's thread.
class Gate {
 public:
  Gate(asio::io_context& context,
       const Clock& clock,
       const Settings& settings,
       const SnapshotHolder& snapshots,
       HandleTable& handles);

  Awaitable<protocol::CallReply> Handle(
      protocol::CallRequest request,
      std::shared_ptr<Cancellation> cancellation);

  /// Takes no new work from now on.
  ///
  /// Safe to call from any thread, as is CallsInProgress().
  void Drain() { this->draining = true; }
  int CallsInProgress() const { return this->calls_in_progress; }

  /// What the gate believes, for operators.
  boost::json::object Status() const;

 private:
  /// A call on its way through the gate.
  struct GateCall {
    protocol::CallRequest request;
    CallContext context;
    std::shared_ptr<Cancellation> cancellation;
    /// The request may run at most once and names its repeats.
    bool is_recorded = false;
    std::string record_key;
  };

  /// A call that waits in the queue.
  struct Waiter {
    explicit Waiter(asio::io_context& context) : wake_up(context) {}

    Timer wake_up;
    /// Set when the wait is over; kNone means that the call may start.
    std::optional<RefusalReason> result;
  };

  void RefreshSnapshot();
  /// Whether the VM list or the configuration takes this VM out of service.
  bool IsOutOfService() const;
  Awaitable<protocol::CallReply> AdmitAndRun(GateCall& call);
  /// The reply that an earlier request with the same key determines, if any.
  std::optional<protocol::CallReply> BeginRecord(const GateCall& call);
  void EndRecord(const GateCall& call, const protocol::CallReply& reply);
  /// Waits for a free slot; returns why the call may not start, or kNone.
  Awaitable<RefusalReason> WaitForSlot(const GateCall& call);
  Awaitable<protocol::CallReply> Run(GateCall& call);
  void RecordExchange(const TargetExchange& exchange,
                      const TargetSample& sample);
  void StartQueuedCalls();
  void EndWait(std::uint64_t id, RefusalReason result);
  void AddLoad(const GateCall& call, protocol::CallReply& reply);
  void LogColdStateChange();

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
  bool out_of_service = false;
  std::atomic<int> calls_in_progress = 0;
  std::atomic<bool> draining = false;
};

}  // namespace daisywinch

#endif  // DAISYWINCH_NODE_GATE_H
