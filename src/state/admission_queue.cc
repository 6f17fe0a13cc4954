#include "state/admission_queue.h"

#include <algorithm>

namespace daisywinch {

namespace {

constexpr std::chrono::milliseconds kStandingTime{100};
/// Longest wait of work that is not important while a queue stands.
constexpr std::chrono::milliseconds kOldestWhileStanding{200};

}  // namespace

AdmissionQueue::AdmissionQueue(const FairShare& shares) : shares(shares) {}

std::vector<std::uint64_t> AdmissionQueue::Add(const QueuedRequest& request,
                                               TimePoint now) {
  if (this->size == 0) {
    this->empty_at = now;
  }
  Lanes& lanes = this->classes[static_cast<std::size_t>(request.request_class)];
  lanes[request.customer].push_back(request);
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
  for (Lanes& lanes : this->classes) {
    if (lanes.empty()) {
      continue;
    }
    const auto lane = std::min_element(
        lanes.begin(), lanes.end(), [&](const auto& left, const auto& right) {
          return this->shares.NormalizedUsage(left.first, now) <
                 this->shares.NormalizedUsage(right.first, now);
        });
    std::deque<QueuedRequest>& requests = lane->second;
    std::uint64_t id = 0;
    if (this->IsStanding(now)) {
      id = requests.back().id;
      requests.pop_back();
    } else {
      id = requests.front().id;
      requests.pop_front();
    }
    --this->size;
    this->EraseIfEmpty(lanes, lane);
    return id;
  }
  return std::nullopt;
}

void AdmissionQueue::Remove(std::uint64_t id) {
  for (Lanes& lanes : this->classes) {
    for (auto lane = lanes.begin(); lane != lanes.end(); ++lane) {
      std::deque<QueuedRequest>& requests = lane->second;
      const auto found = std::find_if(
          requests.begin(), requests.end(),
          [id](const QueuedRequest& request) { return request.id == id; });
      if (found != requests.end()) {
        requests.erase(found);
        --this->size;
        this->EraseIfEmpty(lanes, lane);
        return;
      }
    }
  }
}

bool AdmissionQueue::IsStanding(TimePoint now) const {
  return this->size > 0 && now - this->empty_at > kStandingTime;
}

void AdmissionQueue::RemoveExpired(TimePoint now,
                                   std::vector<std::uint64_t>& expired) {
  const bool standing = this->IsStanding(now);
  for (std::size_t index = 0; index < this->classes.size(); ++index) {
    const bool has_age_bound = standing && static_cast<RequestClass>(index) !=
                                               RequestClass::kImportant;
    Lanes& lanes = this->classes[index];
    for (auto lane = lanes.begin(); lane != lanes.end();) {
      const auto is_expired = [&](const QueuedRequest& request) {
        const bool too_late = now > request.latest_start;
        const bool too_old =
            has_age_bound && now - request.arrived_at > kOldestWhileStanding;
        return too_late || too_old;
      };
      for (const QueuedRequest& request : lane->second) {
        if (is_expired(request)) {
          expired.push_back(request.id);
        }
      }
      this->size -= std::erase_if(lane->second, is_expired);
      lane = lane->second.empty() ? lanes.erase(lane) : std::next(lane);
    }
  }
}

std::uint64_t AdmissionQueue::ShedOne(TimePoint now) {
  const auto lanes =
      std::find_if(this->classes.rbegin(), this->classes.rend(),
                   [](const Lanes& candidate) { return !candidate.empty(); });
  const auto lane = std::max_element(
      lanes->begin(), lanes->end(), [&](const auto& left, const auto& right) {
        return this->shares.NormalizedUsage(left.first, now) <
               this->shares.NormalizedUsage(right.first, now);
      });
  // The oldest has the least time left to be of use.
  const std::uint64_t id = lane->second.front().id;
  lane->second.pop_front();
  --this->size;
  this->EraseIfEmpty(*lanes, lane);
  return id;
}

void AdmissionQueue::EraseIfEmpty(Lanes& lanes, Lanes::iterator lane) {
  if (lane->second.empty()) {
    lanes.erase(lane);
  }
}

}  // namespace daisywinch
