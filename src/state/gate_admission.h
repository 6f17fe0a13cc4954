#ifndef DAISYWINCH_STATE_GATE_ADMISSION_H
#define DAISYWINCH_STATE_GATE_ADMISSION_H

#include <cstdint>
#include <optional>
#include <vector>

#include "state/clock.h"
#include "state/running_trees.h"
#include "state/slot_queue.h"
#include "state/target_rate_limiter.h"

namespace daisywinch {

/// A call that asks for a slot of the target.
struct GateCall {
  /// Chosen by the caller; unique among the calls that wait.
  std::uint64_t id = 0;
  /// The call begins a call tree, so that refusing it wastes no work.
  bool is_root = false;
  CallTree tree;
  /// Time left until the latency objective is missed.
  Duration objective = Duration::zero();
  /// Time at which the caller gives up.
  TimePoint deadline;
};

/// Decides which calls a target runs, which ones wait and which ones are
/// refused; answers bursts that exceed the target's slots, targets that are
/// cold, and targets that state a maximum rate.
///
/// Limits the concurrent requests, and their rate while the target is cold or
/// states a maximum rate. Measures what the target can take, for the admission
/// of root requests. Knows nothing of connections; the gate starts the calls
/// and sets the timers.
class GateAdmission {
 public:
  GateAdmission();

  /// Sets the number of requests that the target can run concurrently.
  void SetSlots(int slots);
  /// Sets the requests per second that the target can handle while it is cold;
  /// 0 means no limit.
  void SetColdRate(double requests_per_second);
  /// Sets whether the target is cold, and the requests per second that it
  /// states to accept, if it does. To be called before each decision.
  void SetState(bool is_cold, std::optional<double> stated_rate);

  /// Sets whether calls only wait, because the state of the target isn't known.
  void SetHeld(bool new_is_held) { this->is_held = new_is_held; }
  /// Counts a health check, which the target gets beside the calls.
  void RecordHealthCheck(TimePoint now) { this->rate_limiter.RecordSent(now); }

  /// Starts the call if a slot is free and no call waits; returns whether it
  /// did.
  bool TryStart(TimePoint now);
  /// Adds a call to the queue. Returns the id of the call that has to be
  /// refused because the queue is full, which may be the new one.
  std::optional<std::uint64_t> Enqueue(const GateCall& call, TimePoint now);
  /// Time until which a call may wait; then it is refused.
  TimePoint StartDeadline(const GateCall& call, TimePoint now) const;
  /// Calls that leave the queue.
  struct Released {
    std::vector<std::uint64_t> started;
    std::vector<std::uint64_t> expired;
  };
  /// Starts queued calls while there is room.
  Released ReleaseQueued(TimePoint now);
  /// Removes a queued call that was cancelled or has expired.
  void Remove(std::uint64_t id) { this->queue.Remove(id); }
  /// Records that a started call has ended. `service_time` is the time that the
  /// target took to answer it; empty if it gave no answer.
  void RecordEnd(std::optional<Duration> service_time);
  /// Earliest time at which the rate limit may let a queued call start; nullopt
  /// while the rate limit isn't what calls wait for.
  std::optional<TimePoint> NextPacedStart(TimePoint now);

  /// Maximum number of concurrent requests.
  int Limit() const { return this->limit; }
  /// Mean number of concurrent requests that the target can sustain. A rate
  /// limit may allow fewer than there are slots.
  double UsableSlots() const;
  /// Requests per second that the target may get; nullopt if their rate isn't
  /// limited.
  std::optional<double> RateLimit() const;
  /// Time that a call which arrives now would wait for the rate limit.
  Duration PacingDelay(TimePoint now) {
    return this->rate_limiter.SendDelay(this->queue.Size(), now);
  }
  int InFlight() const { return this->in_flight; }
  std::size_t Queued() const { return this->queue.Size(); }
  bool IsCold() const { return this->is_cold; }
  /// Moving average of the service time of answered requests.
  Duration MeanServiceTime() const { return this->mean_service_time; }

 private:
  bool HasRoom(TimePoint now);
  void OccupySlot(TimePoint now);
  /// Applies the rate limit and the slots to the limiter and the queue.
  void UpdateLimits();

  int limit = 1;
  int in_flight = 0;
  bool is_cold = true;
  bool is_held = false;
  SlotQueue queue;
  /// Requests per second while the target is cold; 0 means no limit.
  double cold_rate = 0;
  std::optional<double> stated_rate;
  TargetRateLimiter rate_limiter;
  Duration mean_service_time;
};

}  // namespace daisywinch

#endif  // DAISYWINCH_STATE_GATE_ADMISSION_H
