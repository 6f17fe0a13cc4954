#ifndef DAISYWINCH_TESTS_SUPPORT_LOOPBACK_PROXY_H
#define DAISYWINCH_TESTS_SUPPORT_LOOPBACK_PROXY_H

#include <list>
#include <memory>
#include <mutex>
#include <thread>

#include <boost/asio/executor_work_guard.hpp>

#include "transport/asio.h"

namespace daisywinch::test {

/// How a link misbehaves.
struct LinkFault {
  Duration delay = Duration::zero();
  /// Bytes of that direction are held back without a reset.
  bool stalls_to_server = false;
  bool stalls_to_client = false;
  /// New connections are accepted and reset.
  bool resets_new_connections = false;
};

/// Carries TCP connections between two loopback addresses, and delays,
/// silences, cuts one way or resets them. Runs on a thread of its own.
class LoopbackProxy {
 public:
  LoopbackProxy(const Address& listen_address, const Address& server_address);
  ~LoopbackProxy();
  LoopbackProxy(const LoopbackProxy&) = delete;
  LoopbackProxy& operator=(const LoopbackProxy&) = delete;

  void SetFault(const LinkFault& new_fault);
  /// Resets the connections that are open now.
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
