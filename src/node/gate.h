#ifndef DAISYWINCH_NODE_GATE_H
#define DAISYWINCH_NODE_GATE_H

#include <atomic>
#include <memory>
#include <string>

#include <boost/json.hpp>

#include "protocol/generated/peer_messages.pb.h"
#include "state/clock.h"
#include "state/handle_table.h"
#include "state/settings.h"
#include "state/snapshot.h"
#include "transport/asio.h"
#include "transport/cancellation.h"
#include "transport/target_client.h"

namespace daisywinch {

/// Stands before the one target of this VM: all work reaches the target here.
///
/// Runs on the gate's thread.
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
  Awaitable<protocol::CallReply> Run(
      protocol::CallRequest request,
      TimePoint deadline,
      std::shared_ptr<Cancellation> cancellation);
  void AddLoad(protocol::CallReply& reply) const;

  const Clock& clock;
  std::string service;
  const SnapshotHolder& snapshots;
  HandleTable& handles;
  TargetClient target;
  int in_flight = 0;
  int limit = 1;
  std::atomic<int> calls_in_progress = 0;
  std::atomic<bool> draining = false;
};

}  // namespace daisywinch

#endif  // DAISYWINCH_NODE_GATE_H
