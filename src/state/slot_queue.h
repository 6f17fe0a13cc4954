#ifndef DAISYWINCH_STATE_SLOT_QUEUE_H
#define DAISYWINCH_STATE_SLOT_QUEUE_H

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <tuple>
#include <vector>

#include "state/clock.h"
#include "state/running_trees.h"

namespace daisywinch {

/// A request that is queued for a slot of a target.
struct WaitingRequest {
  std::uint64_t id = 0;
  /// The request begins a call tree, so that refusing it wastes no work.
  bool is_root = false;
  CallTree tree;
  /// Time after which the request is refused rather than started.
  TimePoint start_deadline;
};

/// Bounded priority queue of the requests for one target; answers overload of a
/// target that serves trees with short and with long latency objectives.
///
/// The order is by the priority of the call tree. Within a priority, requests
/// whose tree can still meet its latency objective come first, by the time at
/// which it is missed; thus started trees precede later roots of their kind.
/// Then follow the others: nested calls, which have cost work already, before
/// roots, and first in, first out. A request waits at most until its start
/// deadline, whatever precedes it.
class SlotQueue {
 public:
  explicit SlotQueue(std::size_t capacity) : capacity(capacity) {}

  void SetCapacity(std::size_t new_capacity) { this->capacity = new_capacity; }

  /// Adds a request. If the queue was full, returns the id of the request that
  /// was dropped, which may be the new one; otherwise nullopt.
  std::optional<std::uint64_t> Add(const WaitingRequest& request,
                                   TimePoint now);

  /// Removes and returns the id of the request to start next, or nullopt if the
  /// queue is empty. Ids of requests past their start deadline are appended to
  /// `expired`.
  std::optional<std::uint64_t> Next(TimePoint now,
                                    std::vector<std::uint64_t>& expired);

  /// Removes a request that was cancelled; unknown ids are ignored.
  void Remove(std::uint64_t id);

  std::size_t Size() const { return this->requests.size(); }

 private:
  /// Priority, whether the objective is missed, the time at which it is (none
  /// once it is missed), whether the request is a root, and its sequence
  /// number.
  using OrderKey =
      std::tuple<std::uint32_t, bool, TimePoint, bool, std::uint64_t>;

  OrderKey KeyFor(const WaitingRequest& request, TimePoint now);

  std::size_t capacity;
  std::uint64_t next_sequence = 0;
  std::map<OrderKey, WaitingRequest> requests;
};

}  // namespace daisywinch

#endif  // DAISYWINCH_STATE_SLOT_QUEUE_H
