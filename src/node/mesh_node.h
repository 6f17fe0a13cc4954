#ifndef DAISYWINCH_NODE_MESH_NODE_H
#define DAISYWINCH_NODE_MESH_NODE_H

#include <atomic>
#include <cstdint>
#include <string>

#include <boost/asio/signal_set.hpp>

#include "coordination/mesh_directory.h"
#include "node/gate_router.h"
#include "node/mesh_gate.h"
#include "node/mesh_ingress.h"
#include "node/settings_watcher.h"
#include "node/store_watcher.h"
#include "node/update_exchange.h"
#include "state/loop_delay.h"
#include "state/memory_budget.h"
#include "state/mesh_settings.h"
#include "state/mesh_view.h"
#include "transport/call_server.h"
#include "transport/http_server.h"

namespace daisywinch {

/// The node process next to a target, with the mesh interface.
///
/// The control thread watches the store, exchanges updates with the other nodes
/// and serves operators and readiness checks. The traffic thread runs the
/// ingress and the gate.
class MeshNode {
 public:
  /// `file` is where the settings were read from.
  MeshNode(const MeshSettings& settings, const SettingsFile& file);

  /// Runs until SIGTERM or SIGINT and the drain that follows it; returns the
  /// exit status of the process.
  int Run();

 private:
  bool Listen();
  void PublishView();
  /// Puts the changed settings into force that may change in a running process.
  void ApplySettings(const MeshSettings& changed);
  Awaitable<> ShutDownOnSignal();
  /// Serves for `serving_time` after the stop signal, in which callers can move
  /// to other nodes, then refuses new requests and returns when all others have
  /// their responses, or when `time_left` is over. The local target gets new
  /// requests for a shorter time. Runs on the traffic thread.
  /// Returns the number of requests that were cancelled.
  Awaitable<int> ShutDownTraffic(TimePoint started,
                                 Duration serving_time,
                                 Duration time_left);
  /// Periodically sends this node's updates and, as a relay, the sums of other
  /// nodes' updates.
  Awaitable<> SendUpdates();
  /// Updates `is_isolated` and logs a change.
  void CheckIsolation();
  /// Sends this node's update if it is due or urgent. Runs on the traffic
  /// thread, like SendLocalUpdate().
  void SendLocalUpdateIfDue();
  void SendLocalUpdate();
  Awaitable<HttpResponse> HandleReadyRequest();
  Awaitable<HttpResponse> HandleOperatorRequest(HttpRequest request);
  bool IsReady() const;

  MeshSettings settings;
  SystemClock clock;
  MemoryBudget memory{MemoryBudget::DefaultLimit()};
  std::uint64_t incarnation;
  asio::io_context control_context{1};
  asio::io_context traffic_context{1};
  MeshViewHolder views;
  MeshDirectory directory;
  StoreWatcher watcher;
  RouteCostEstimator cost_estimator;
  /// Used by the traffic thread only.
  FatalRequests fatal_requests;
  RunningTrees running_trees;
  MeshGate gate;
  GateRouter router;
  MeshIngress ingress;
  HttpServer caller_server;
  CallServer call_server;
  HttpServer ready_server;
  HttpServer operator_server;
  UpdateExchange update_exchange;
  /// This node reaches too few others; used by the control thread only.
  bool is_isolated = false;
  LoopDelay control_delay{"control"};
  LoopDelay traffic_delay{"traffic"};
  /// Time of this node's last update; used by the traffic thread only.
  TimePoint update_sent_at;
  double sent_slots = 0;
  asio::signal_set signals;
  SettingsWatcher<MeshSettings> settings_watcher;
  /// Callers and relays are told to use other nodes.
  std::atomic<bool> draining = false;
  /// New requests are refused.
  std::atomic<bool> is_refusing = false;
};

}  // namespace daisywinch

#endif  // DAISYWINCH_NODE_MESH_NODE_H
