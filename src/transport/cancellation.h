#ifndef DAISYWINCH_TRANSPORT_CANCELLATION_H
#define DAISYWINCH_TRANSPORT_CANCELLATION_H

#include <functional>
#include <utility>

namespace daisywinch {

/// Cancels the work for a request that no caller waits for any more.
///
/// Not thread-safe. A coroutine sets the action that interrupts its wait before
/// it awaits, and clears it afterwards. Cancel() runs the action, if one is
/// set, and clears it.
class Cancellation {
 public:
  void Cancel() {
    this->cancelled = true;
    if (this->action) {
      std::exchange(this->action, nullptr)();
    }
  }

  bool IsCancelled() const { return this->cancelled; }

  void SetAction(std::function<void()> new_action) {
    this->action = std::move(new_action);
  }

  void ClearAction() { this->action = nullptr; }

 private:
  bool cancelled = false;
  std::function<void()> action;
};

}  // namespace daisywinch

#endif  // DAISYWINCH_TRANSPORT_CANCELLATION_H
