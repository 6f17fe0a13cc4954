#ifndef DAISYWINCH_TRANSPORT_CANCELLATION_H
#define DAISYWINCH_TRANSPORT_CANCELLATION_H

#include <functional>
#include <utility>

namespace daisywinch {

/// Tells the work done for a request that nobody waits for it any more.
///
/// Used on one thread. Whoever awaits something sets the action that ends the
/// wait, and clears it afterwards.
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
