#include "state/slot_queue.h"

#include <algorithm>
#include <iterator>

namespace daisywinch {

SlotQueue::OrderKey SlotQueue::KeyFor(const WaitingRequest& request,
                                      TimePoint now) {
  const bool is_missed = request.tree.objective_end <= now;
  return {request.tree.priority, is_missed,
          is_missed ? TimePoint() : request.tree.objective_end, request.is_root,
          this->next_sequence++};
}

std::optional<std::uint64_t> SlotQueue::Add(const WaitingRequest& request,
                                            TimePoint now) {
  this->requests.emplace(this->KeyFor(request, now), request);
  if (this->requests.size() <= this->capacity) {
    return std::nullopt;
  }
  const auto last = std::prev(this->requests.end());
  const std::uint64_t id = last->second.id;
  this->requests.erase(last);
  return id;
}

std::optional<std::uint64_t> SlotQueue::Next(
    TimePoint now,
    std::vector<std::uint64_t>& expired) {
  while (!this->requests.empty()) {
    const auto first = this->requests.begin();
    const WaitingRequest request = first->second;
    const bool was_missed = std::get<1>(first->first);
    this->requests.erase(first);
    if (now >= request.start_deadline) {
      expired.push_back(request.id);
    } else if (!was_missed && request.tree.objective_end <= now) {
      this->requests.emplace(this->KeyFor(request, now), request);
    } else {
      return request.id;
    }
  }
  return std::nullopt;
}

void SlotQueue::Remove(std::uint64_t id) {
  const auto found = std::find_if(
      this->requests.begin(), this->requests.end(),
      [id](const std::pair<const OrderKey, WaitingRequest>& entry) {
        return entry.second.id == id;
      });
  if (found != this->requests.end()) {
    this->requests.erase(found);
  }
}

}  // namespace daisywinch
