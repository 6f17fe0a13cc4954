#include "transport/cancellation.h"

#include <utility>

namespace daisywinch {

std::string_view ToString(CancellationCause cause) {
  switch (cause) {
    case CancellationCause::kNone:
      return "none";
    case CancellationCause::kCallerLeft:
      return "caller-left";
    case CancellationCause::kCancelledByPeer:
      return "cancelled-by-peer";
    case CancellationCause::kPeerLost:
      return "peer-lost";
    case CancellationCause::kParentEnded:
      return "parent-ended";
    case CancellationCause::kShutdown:
      return "shutdown";
  }
  return "";
}

void Cancellation::Cancel(CancellationCause new_cause) {
  if (this->IsCancelled()) {
    return;
  }
  this->cause = new_cause;
  // An action may end other scopes.
  while (!this->actions.empty()) {
    const std::function<void()> action =
        std::move(this->actions.begin()->second);
    this->actions.erase(this->actions.begin());
    action();
  }
}

CancellationScope::CancellationScope(std::shared_ptr<Cancellation> cancellation,
                                     std::function<void()> action)
    : cancellation(std::move(cancellation)),
      action_id(this->cancellation->next_action_id++) {
  if (this->cancellation->IsCancelled()) {
    action();
  } else {
    this->cancellation->actions.emplace(this->action_id, std::move(action));
  }
}

CancellationScope::~CancellationScope() {
  this->cancellation->actions.erase(this->action_id);
}

Awaitable<> WaitUnlessCancelled(Timer& timer,
                                std::shared_ptr<Cancellation> cancellation) {
  if (cancellation->IsCancelled()) {
    co_return;
  }
  const CancellationScope scope(cancellation, [&timer] { timer.cancel(); });
  ErrorCode ignored;
  co_await timer.async_wait(Await(ignored));
}

}  // namespace daisywinch
