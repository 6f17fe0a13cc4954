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

/// A request that waits for a target.
struct QueuedRequest {
  std::uint64_t id = 0;
  RequestClass request_class = RequestClass::kNormal;
  std::string customer;
  TimePoint arrived_at;
  /// Time after which the answer would come too late.
  TimePoint start_deadline;
};

/// Bounded queue in front of one target.
///
/// The most important class starts first, and within a class the customer
/// that has used least for its weight. When the queue is full the least
/// important class is shed first, and within it the customer furthest over
/// its fair share. While a queue stands, a customer's newest request starts
/// first and old ones are shed: a request that has waited long is likely to
/// fail anyway ("Controlling Queue Delay", Nichols, Jacobson 2012; adaptive
/// LIFO, "Fail at Scale", Maurer 2015).
class AdmissionQueue {
 public:
  /// `shares` outlives the queue.
  explicit AdmissionQueue(const FairShare& shares);

  void SetCapacity(std::size_t new_capacity) { this->capacity = new_capacity; }

  /// Adds a request; returns the requests shed for it, which may include it.
  std::vector<std::uint64_t> Add(const QueuedRequest& request, TimePoint now);

  /// Takes the request to start next. Requests that waited too long are moved
  /// to `expired`.
  std::optional<std::uint64_t> Next(TimePoint now,
                                    std::vector<std::uint64_t>& expired);

  /// Removes a request that nobody waits for any more.
  void Remove(std::uint64_t id);

  std::size_t Size() const { return this->size; }

  /// Whether requests have waited without a break for longer than a burst
  /// explains.
  bool IsStanding(TimePoint now) const;

 private:
  /// Requests of one class by customer, oldest first.
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
