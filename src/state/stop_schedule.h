#ifndef DAISYWINCH_STATE_STOP_SCHEDULE_H
#define DAISYWINCH_STATE_STOP_SCHEDULE_H

#include "state/clock.h"

namespace daisywinch {

/// When a stopping node takes nested calls of its local target.
///
/// They belong to requests in progress, so they are taken for longer than root
/// requests. Towards the end, only those are taken that can't outlast the node,
/// by their deadline: how long a call takes is not known in advance, however
/// long others took.
class StopSchedule {
 public:
  /// The node exits `time_left` after `started`; requests that have no response
  /// by `answers_end` are cancelled.
  StopSchedule(TimePoint started, Duration time_left, TimePoint answers_end);

  /// Whether a call that arrives now may be passed on.
  bool MayTakeCall(TimePoint now, TimePoint call_deadline) const {
    return now < this->any_call_until || call_deadline <= this->answers_end;
  }

 private:
  TimePoint any_call_until;
  TimePoint answers_end;
};

}  // namespace daisywinch

#endif  // DAISYWINCH_STATE_STOP_SCHEDULE_H
