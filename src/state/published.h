#ifndef DAISYWINCH_STATE_PUBLISHED_H
#define DAISYWINCH_STATE_PUBLISHED_H

#include <memory>
#include <mutex>

namespace daisywinch {

/// Publishes immutable values from the control thread to the traffic threads.
///
/// The mutex is held only while a pointer is copied. std::atomic of a shared
/// pointer is not used because libstdc++ 12 loads it without the memory order
/// that a reader needs.
template <typename Value>
class Published {
 public:
  /// The value published last; null if there is none yet.
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
