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
  bool silent_forward = false;
  bool silent_backward = false;
  /// New connections are accepted and reset.
  bool resets = false;
};

/// Carries TCP connections between two loopback addresses, and delays,
/// silences, cuts one way or resets them. Runs on a thread of its own.
class LoopbackProxy {
 public:
  LoopbackProxy(const Address& from, const Address& to);
  ~LoopbackProxy();
  LoopbackProxy(const LoopbackProxy&) = delete;
  LoopbackProxy& operator=(const LoopbackProxy&) = delete;

  void SetFault(const LinkFault& next);
  /// Resets the connections that are open now.
  void ResetConnections();

 private:
  struct Pair;

  Awaitable<> Accept();
  Awaitable<> Carry(std::shared_ptr<Pair> pair, bool forward);
  LinkFault CurrentFault() const;
  Awaitable<> Sleep(Duration time);

  asio::io_context context{1};
  Address to;
  Tcp::acceptor acceptor;
  mutable std::mutex mutex;
  LinkFault fault;
  std::list<std::weak_ptr<Pair>> pairs;
  asio::executor_work_guard<asio::io_context::executor_type> work;
  std::thread thread;
};

}  // namespace daisywinch::test

#endif  // DAISYWINCH_TESTS_SUPPORT_LOOPBACK_PROXY_H
