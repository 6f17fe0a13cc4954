#ifndef DAISYWINCH_NODE_NODE_H
#define DAISYWINCH_NODE_NODE_H

#include <memory>
#include <string>
#include <thread>

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/signal_set.hpp>
#include <boost/asio/ssl/context.hpp>

#include "coordination/fleet_view.h"
#include "node/control_service.h"
#include "node/gate.h"
#include "node/gate_router.h"
#include "node/ingress.h"
#include "node/operator_service.h"
#include "node/platform_watcher.h"
#include "node/rate_limiter.h"
#include "state/clock.h"
#include "state/settings.h"
#include "transport/call_server.h"
#include "transport/http_server.h"

namespace daisywinch {

/// One node: entry, gate and control state, each on a thread of its own.
class Node {
 public:
  explicit Node(const Settings& settings);

  /// Runs until SIGTERM or SIGINT and a graceful shutdown; returns the exit
  /// status of the process.
  int Run();

 private:
  bool Listen();
  Awaitable<> ShutDownOnSignal();

  Settings settings;
  SystemClock clock;
  std::uint64_t incarnation;
  SnapshotHolder snapshots;
  HandleTable handles;
  asio::io_context control_context{1};
  asio::io_context ingress_context{1};
  asio::io_context gate_context{1};
  /// The entry's and the gate's thread each use a TLS context of their own.
  asio::ssl::context ingress_tls;
  asio::ssl::context gate_tls;
  FleetView fleet_view;
  ControlService control;
  RateLimiter rate_limiter;
  Gate gate;
  GateRouter router;
  Ingress ingress;
  HttpServer caller_server;
  CallServer call_server;
  OperatorService operator_service;
  HttpServer operator_server;
  PlatformWatcher configuration_watcher;
  PlatformWatcher vm_list_watcher;
  asio::signal_set signals;
};

}  // namespace daisywinch

#endif  // DAISYWINCH_NODE_NODE_H
