#ifndef DAISYWINCH_STATE_SLOT_QUEUE_H
#define DAISYWINCH_STATE_SLOT_QUEUE_H

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <tuple>
#include <vector>

#include "state/clock.h"

namespace daisywinch {

/// A request that waits for a slot of a target.
struct WaitingRequest {
  std::uint64_t id = 0;
  /// The request begins a call tree; nothing is lost if it is refused.
  bool is_root = false;
  /// 0 is the highest rank.
  std::uint32_t priority = 0;
  /// Time after which the request is refused rather than kept waiting.
  TimePoint start_deadline;
};

/// Orders the requests that wait for a target.
///
/// Calls of trees that have begun go before new roots: refusing one wastes the
/// work of its whole tree. Then the higher rank goes first, and within a rank
/// the one that came first.
class SlotQueue {
 public:
  explicit SlotQueue(std::size_t capacity) : capacity(capacity) {}

  void SetCapacity(std::size_t new_capacity) { this->capacity = new_capacity; }

  /// Adds a request; returns the one that had to give way, which may be the
  /// request itself.
  std::optional<std::uint64_t> Add(const WaitingRequest& request);

  /// Takes the request to start next. Requests past their time are moved to
  /// `expired`.
  std::optional<std::uint64_t> Next(TimePoint now,
                                    std::vector<std::uint64_t>& expired);

  /// Removes a request that nobody waits for any more.
  void Remove(std::uint64_t id);

  std::size_t Size() const { return this->requests.size(); }

 private:
  /// Whether it is a root, its rank, and the order in which it came.
  using OrderKey = std::tuple<bool, std::uint32_t, std::uint64_t>;

  std::size_t capacity;
  std::uint64_t next_sequence = 0;
  std::map<OrderKey, WaitingRequest> requests;
};

}  // namespace daisywinch

#endif  // DAISYWINCH_STATE_SLOT_QUEUE_H
