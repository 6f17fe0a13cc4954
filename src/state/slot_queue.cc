#include "state/slot_queue.h"

#include <algorithm>
#include <iterator>

namespace daisywinch {

std::optional<std::uint64_t> SlotQueue::Add(const WaitingRequest& request) {
  this->requests.emplace(
      OrderKey(request.is_root, request.priority, this->next_sequence++),
      request);
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
    this->requests.erase(first);
    if (now < request.start_deadline) {
      return request.id;
    }
    expired.push_back(request.id);
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
