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
#include "node/settings_watcher.h"
#include "state/clock.h"
#include "state/memory_budget.h"
#include "state/settings.h"
#include "transport/call_server.h"
#include "transport/http_server.h"

namespace daisywinch {

/// The node process next to a target: ingress, gate and control service, each
/// of which runs on its own thread.
class Node {
 public:
  /// `file` is where the settings were read from.
  Node(const Settings& settings, const SettingsFile& file);

  /// Runs until SIGTERM or SIGINT and the drain that follows it; returns the
  /// exit status of the process.
  int Run();

 private:
  /// Listens on all addresses. Logs the error and returns false if one cannot
  /// be used.
  bool Listen();
  /// Puts the changed settings into force that may change in a running process.
  void ApplySettings(const Settings& changed);
  /// Waits for a signal, drains until no request is in progress or the shutdown
  /// timeout has passed, and stops the threads.
  Awaitable<> ShutDownOnSignal();

  Settings settings;
  SystemClock clock;
  MemoryBudget memory{MemoryBudget::DefaultLimit()};
  std::uint64_t incarnation;
  SnapshotHolder snapshots;
  HandleTable handles;
  asio::io_context control_context{1};
  asio::io_context ingress_context{1};
  asio::io_context gate_context{1};
  /// TLS contexts are not shared between the ingress and the gate thread.
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
  SettingsWatcher<Settings> settings_watcher;
};

}  // namespace daisywinch

#endif  // DAISYWINCH_NODE_NODE_H
