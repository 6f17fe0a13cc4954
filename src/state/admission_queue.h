#ifndef DAISYWINCH_STATE_ADMISSION_QUEUE_H
#define DAISYWINCH_STATE_ADMISSION_QUEUE_H

#include <array>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

#include "state/clock.h"
#include "state/configuration.h"
#include "state/fair_share.h"

namespace daisywinch {

/// A request that is queued for a target.
struct QueuedRequest {
  std::uint64_t id = 0;
  RequestClass request_class = RequestClass::kNormal;
  std::string customer;
  TimePoint arrived_at;
  /// Latest start at which the response still arrives in time.
  TimePoint start_deadline;
};

/// Bounded queue of requests for one target.
///
/// Requests are started by class, the most important one first, and within a
/// class from the customer with the least recent usage for its weight. When the
/// queue is full, a request of the least important class is shed, and within
/// the class one of the customer that exceeds its fair share most.
///
/// While the queue is standing, a customer's newest request is started first
/// and old requests are shed, because a request that has waited long is likely
/// to miss its deadline anyway. See "Controlling Queue Delay", Nichols,
/// Jacobson 2012, and adaptive LIFO in "Fail at Scale", Maurer 2015.
class AdmissionQueue {
 public:
  /// `shares` must outlive the queue.
  explicit AdmissionQueue(const FairShare& shares);

  void SetCapacity(std::size_t new_capacity) { this->capacity = new_capacity; }

  /// Adds a request. Returns the ids of the requests that were shed to make
  /// room, which may include the new one.
  std::vector<std::uint64_t> Add(const QueuedRequest& request, TimePoint now);

  /// Removes and returns the id of the request to start next, or nullopt if the
  /// queue is empty. Ids of requests that waited too long are appended to
  /// `expired`.
  std::optional<std::uint64_t> Next(TimePoint now,
                                    std::vector<std::uint64_t>& expired);

  /// Removes a request that was cancelled; unknown ids are ignored.
  void Remove(std::uint64_t id);

  std::size_t Size() const { return this->size; }

  /// Whether the queue has been non-empty for longer than a short burst
  /// explains.
  bool IsStanding(TimePoint now) const;

 private:
  /// Queued requests of one class by customer, oldest first.
  using CustomerQueues = std::map<std::string, std::deque<QueuedRequest>>;

  void RemoveExpired(TimePoint now, std::vector<std::uint64_t>& expired);
  std::uint64_t ShedOne(TimePoint now);
  void EraseIfEmpty(CustomerQueues& queues, CustomerQueues::iterator queue);

  const FairShare& shares;
  std::array<CustomerQueues, kRequestClassCount> classes;
  std::size_t capacity = 1;
  std::size_t size = 0;
  /// Last time at which the queue was empty.
  TimePoint last_empty_at;
};

}  // namespace daisywinch

#endif  // DAISYWINCH_STATE_ADMISSION_QUEUE_H
