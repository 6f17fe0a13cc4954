#ifndef DAISYWINCH_STATE_STOP_SCHEDULE_H
#define DAISYWINCH_STATE_STOP_SCHEDULE_H

#include "state/clock.h"

namespace daisywinch {

/// What a stopping node takes: new requests for its local target, and nested
/// calls of that target.
///
/// A new request is taken only if it can't outlast the node, by its deadline:
/// how long its tree takes is not known in advance, however long others took,
/// and a tree that loses its later calls fails after it has done most of its
/// work. Nested calls belong to requests in progress, so at first they are
/// taken whatever their deadline.
class StopSchedule {
 public:
  /// The node exits `time_left` after `started`; requests that have no response
  /// by `answers_end` are cancelled.
  StopSchedule(TimePoint started, Duration time_left, TimePoint answers_end);

  /// Whether the local target may start a request that arrives after the stop
  /// signal. Its nested calls end before its deadline and are taken then.
  bool MayStartRequest(TimePoint request_deadline) const {
    return request_deadline <= this->answers_end;
  }

  /// Whether a nested call that arrives now may be passed on.
  bool MayTakeCall(TimePoint now, TimePoint call_deadline) const {
    return now < this->any_call_until || call_deadline <= this->answers_end;
  }

 private:
  TimePoint any_call_until;
  TimePoint answers_end;
};

}  // namespace daisywinch

#endif  // DAISYWINCH_STATE_STOP_SCHEDULE_H
