#ifndef DAISYWINCH_STATE_PUBLISHED_H
#define DAISYWINCH_STATE_PUBLISHED_H

#include <memory>
#include <mutex>

namespace daisywinch {

/// Hands the newest value from the control thread to traffic threads.
///
/// The lock is held for the copy of a pointer only. (The atomic shared pointer
/// of libstdc++ 12 reads without the ordering that a reader needs.)
template <typename Value>
class Published {
 public:
  std::shared_ptr<const Value> Load() const {
    const std::lock_guard lock(this->mutex);
    return this->current;
  }
  void Publish(std::shared_ptr<const Value> next) {
    const std::lock_guard lock(this->mutex);
    this->current.swap(next);
  }

 private:
  mutable std::mutex mutex;
  std::shared_ptr<const Value> current;
};

}  // namespace daisywinch

#endif  // DAISYWINCH_STATE_PUBLISHED_H
