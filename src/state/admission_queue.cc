#include "state/admission_queue.h"

#include <algorithm>

namespace daisywinch {

namespace {

constexpr std::chrono::milliseconds kStandingTime{100};
/// Longest wait of a request that is not important while the queue is standing.
constexpr std::chrono::milliseconds kMaxWaitWhileStanding{200};

}  // namespace

AdmissionQueue::AdmissionQueue(const FairShare& shares) : shares(shares) {}

std::vector<std::uint64_t> AdmissionQueue::Add(const QueuedRequest& request,
                                               TimePoint now) {
  if (this->size == 0) {
    this->last_empty_at = now;
  }
  CustomerQueues& queues =
      this->classes[static_cast<std::size_t>(request.request_class)];
  queues[request.customer].push_back(request);
  ++this->size;
  std::vector<std::uint64_t> shed;
  while (this->size > this->capacity) {
    shed.push_back(this->ShedOne(now));
  }
  return shed;
}

std::optional<std::uint64_t> AdmissionQueue::Next(
    TimePoint now,
    std::vector<std::uint64_t>& expired) {
  this->RemoveExpired(now, expired);
  for (CustomerQueues& queues : this->classes) {
    if (queues.empty()) {
      continue;
    }
    const auto queue = std::min_element(
        queues.begin(), queues.end(), [&](const auto& left, const auto& right) {
          return this->shares.NormalizedUsage(left.first, now) <
                 this->shares.NormalizedUsage(right.first, now);
        });
    std::deque<QueuedRequest>& requests = queue->second;
    std::uint64_t id = 0;
    if (this->IsStanding(now)) {
      id = requests.back().id;
      requests.pop_back();
    } else {
      id = requests.front().id;
      requests.pop_front();
    }
    --this->size;
    this->EraseIfEmpty(queues, queue);
    return id;
  }
  return std::nullopt;
}

void AdmissionQueue::Remove(std::uint64_t id) {
  for (CustomerQueues& queues : this->classes) {
    for (auto queue = queues.begin(); queue != queues.end(); ++queue) {
      std::deque<QueuedRequest>& requests = queue->second;
      const auto found = std::find_if(
          requests.begin(), requests.end(),
          [id](const QueuedRequest& request) { return request.id == id; });
      if (found != requests.end()) {
        requests.erase(found);
        --this->size;
        this->EraseIfEmpty(queues, queue);
        return;
      }
    }
  }
}

bool AdmissionQueue::IsStanding(TimePoint now) const {
  return this->size > 0 && now - this->last_empty_at > kStandingTime;
}

void AdmissionQueue::RemoveExpired(TimePoint now,
                                   std::vector<std::uint64_t>& expired) {
  const bool standing = this->IsStanding(now);
  for (std::size_t index = 0; index < this->classes.size(); ++index) {
    const bool has_age_bound = standing && static_cast<RequestClass>(index) !=
                                               RequestClass::kImportant;
    CustomerQueues& queues = this->classes[index];
    for (auto queue = queues.begin(); queue != queues.end();) {
      const auto is_expired = [&](const QueuedRequest& request) {
        const bool too_late = now > request.start_deadline;
        const bool too_old =
            has_age_bound && now - request.arrived_at > kMaxWaitWhileStanding;
        return too_late || too_old;
      };
      for (const QueuedRequest& request : queue->second) {
        if (is_expired(request)) {
          expired.push_back(request.id);
        }
      }
      this->size -= std::erase_if(queue->second, is_expired);
      queue = queue->second.empty() ? queues.erase(queue) : std::next(queue);
    }
  }
}

std::uint64_t AdmissionQueue::ShedOne(TimePoint now) {
  const auto queues = std::find_if(
      this->classes.rbegin(), this->classes.rend(),
      [](const CustomerQueues& candidate) { return !candidate.empty(); });
  const auto queue = std::max_element(
      queues->begin(), queues->end(), [&](const auto& left, const auto& right) {
        return this->shares.NormalizedUsage(left.first, now) <
               this->shares.NormalizedUsage(right.first, now);
      });
  // The oldest request has the least time left before its deadline.
  const std::uint64_t id = queue->second.front().id;
  queue->second.pop_front();
  --this->size;
  this->EraseIfEmpty(*queues, queue);
  return id;
}

void AdmissionQueue::EraseIfEmpty(CustomerQueues& queues,
                                  CustomerQueues::iterator queue) {
  if (queue->second.empty()) {
    queues.erase(queue);
  }
}

}  // namespace daisywinch
