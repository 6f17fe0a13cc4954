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

/// A request that is queued for a slot of a target.
struct WaitingRequest {
  std::uint64_t id = 0;
  /// The request begins a call tree, so that refusing it wastes no work.
  bool is_root = false;
  /// 0 is the highest priority.
  std::uint32_t priority = 0;
  /// Time after which the request is refused rather than started.
  TimePoint start_deadline;
};

/// Bounded priority queue of the requests for one target.
///
/// Nested calls precede root requests, because refusing one wastes the work
/// that was already done for its call tree. Then the order is by priority and,
/// within a priority, first in, first out.
class SlotQueue {
 public:
  explicit SlotQueue(std::size_t capacity) : capacity(capacity) {}

  void SetCapacity(std::size_t new_capacity) { this->capacity = new_capacity; }

  /// Adds a request. If the queue was full, returns the id of the request that
  /// was dropped, which may be the new one; otherwise nullopt.
  std::optional<std::uint64_t> Add(const WaitingRequest& request);

  /// Removes and returns the id of the request to start next, or nullopt if the
  /// queue is empty. Ids of requests past their start deadline are appended to
  /// `expired`.
  std::optional<std::uint64_t> Next(TimePoint now,
                                    std::vector<std::uint64_t>& expired);

  /// Removes a request that was cancelled; unknown ids are ignored.
  void Remove(std::uint64_t id);

  std::size_t Size() const { return this->requests.size(); }

 private:
  /// Whether the request is a root, its priority, and its sequence number.
  using OrderKey = std::tuple<bool, std::uint32_t, std::uint64_t>;

  std::size_t capacity;
  std::uint64_t next_sequence = 0;
  std::map<OrderKey, WaitingRequest> requests;
};

}  // namespace daisywinch

#endif  // DAISYWINCH_STATE_SLOT_QUEUE_H
