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
#include "node/store_watcher.h"
#include "node/update_exchange.h"
#include "state/mesh_settings.h"
#include "state/mesh_view.h"
#include "transport/call_server.h"
#include "transport/http_server.h"

namespace daisywinch {

/// The process beside a target on the mesh interface.
///
/// The control thread follows the store, exchanges news with the other nodes
/// and answers operators; the traffic thread is entry and gate.
class MeshNode {
 public:
  explicit MeshNode(const MeshSettings& settings);

  /// Runs until the process is told to stop; returns the exit status.
  int Run();

 private:
  bool Listen();
  void PublishView();
  Awaitable<> ShutDownOnSignal();
  /// Tells this node's traffic and, as a relay, that of others.
  Awaitable<> SendUpdates();
  /// Collects what this node tells, on the traffic thread.
  void CollectLocalUpdate();
  Awaitable<HttpResponse> HandleReadyRequest();
  Awaitable<HttpResponse> HandleOperatorRequest(HttpRequest request);
  bool IsReady() const;

  MeshSettings settings;
  SystemClock clock;
  std::uint64_t incarnation;
  asio::io_context control_context{1};
  asio::io_context traffic_context{1};
  MeshViewHolder views;
  MeshDirectory directory;
  StoreWatcher watcher;
  RouteCostEstimator cost_estimator;
  MeshGate gate;
  GateRouter router;
  MeshIngress ingress;
  HttpServer caller_server;
  CallServer call_server;
  HttpServer ready_server;
  HttpServer operator_server;
  UpdateExchange update_exchange;
  /// When this node last told its news; for the traffic thread.
  TimePoint update_sent_at;
  double sent_refused_fraction = 0;
  asio::signal_set signals;
  std::atomic<bool> draining = false;
};

}  // namespace daisywinch

#endif  // DAISYWINCH_NODE_MESH_NODE_H
