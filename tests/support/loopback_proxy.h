#ifndef DAISYWINCH_TESTS_SUPPORT_LOOPBACK_PROXY_H
#define DAISYWINCH_TESTS_SUPPORT_LOOPBACK_PROXY_H

#include <list>
#include <memory>
#include <mutex>
#include <thread>

#include <boost/asio/executor_work_guard.hpp>

#include "transport/asio.h"

namespace daisywinch::test {

/// Faults of the link through a proxy.
struct LinkFault {
  Duration delay = Duration::zero();
  /// Holds back the bytes and the end of one direction and keeps the
  /// connections open.
  bool stalls_to_server = false;
  bool stalls_to_client = false;
  /// Accepts new connections and resets them.
  bool resets_new_connections = false;
};

/// Forwards TCP connections from one loopback address to another, and can
/// delay, stall (in one or both directions) or reset them. Runs on its own
/// thread.
class LoopbackProxy {
 public:
  /// Throws std::runtime_error if it can't listen on the address.
  LoopbackProxy(const Address& listen_address, const Address& server_address);
  ~LoopbackProxy();
  LoopbackProxy(const LoopbackProxy&) = delete;
  LoopbackProxy& operator=(const LoopbackProxy&) = delete;

  void SetFault(const LinkFault& new_fault);
  /// Resets all open connections.
  void ResetConnections();

 private:
  struct Connection;

  Awaitable<> AcceptConnections();
  Awaitable<> Forward(std::shared_ptr<Connection> connection,
                      bool is_to_server);
  LinkFault CurrentFault() const;
  Awaitable<> Wait(Duration time);

  asio::io_context context{1};
  Address server_address;
  Tcp::acceptor acceptor;
  mutable std::mutex mutex;
  LinkFault fault;
  std::list<std::weak_ptr<Connection>> connections;
  asio::executor_work_guard<asio::io_context::executor_type> work;
  std::thread thread;
};

}  // namespace daisywinch::test

#endif  // DAISYWINCH_TESTS_SUPPORT_LOOPBACK_PROXY_H
