#ifndef DAISYWINCH_TRANSPORT_CANCELLATION_H
#define DAISYWINCH_TRANSPORT_CANCELLATION_H

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <string_view>

#include "transport/asio.h"

namespace daisywinch {

/// Why a request was cancelled.
enum class CancellationCause {
  kNone,
  /// The caller closed its connection.
  kCallerLeft,
  /// The node that sent the call cancelled it.
  kCancelledByPeer,
  /// The connection to the node that sent the call ended.
  kPeerLost,
  /// The request that this one belongs to has ended.
  kParentEnded,
  /// This node shuts down.
  kShutdown,
};

std::string_view ToString(CancellationCause cause);

/// Cancels the work for a request that no caller waits for any more.
///
/// Not thread-safe. Code that waits for something else meanwhile holds a
/// CancellationScope, or waits by WaitUnlessCancelled().
class Cancellation {
 public:
  /// Runs the actions of all scopes. A second call has no effect.
  void Cancel(CancellationCause new_cause);

  bool IsCancelled() const { return this->cause != CancellationCause::kNone; }
  /// kNone unless the request was cancelled.
  CancellationCause Cause() const { return this->cause; }

 private:
  friend class CancellationScope;

  CancellationCause cause = CancellationCause::kNone;
  std::uint64_t next_action_id = 1;
  /// Actions of the scopes that exist, in the order of their creation.
  std::map<std::uint64_t, std::function<void()>> actions;
};

/// Runs an action when a request is cancelled during the lifetime of the
/// object; if it has been cancelled before, at once.
///
/// Scopes of the same request don't affect each other.
class CancellationScope {
 public:
  CancellationScope(std::shared_ptr<Cancellation> cancellation,
                    std::function<void()> action);
  ~CancellationScope();
  CancellationScope(const CancellationScope&) = delete;
  CancellationScope& operator=(const CancellationScope&) = delete;

 private:
  std::shared_ptr<Cancellation> cancellation;
  std::uint64_t action_id;
};

/// Waits until the timer expires or is cancelled, or the request is cancelled.
/// Doesn't wait for a request that has been cancelled before.
Awaitable<> WaitUnlessCancelled(Timer& timer,
                                std::shared_ptr<Cancellation> cancellation);

}  // namespace daisywinch

#endif  // DAISYWINCH_TRANSPORT_CANCELLATION_H
