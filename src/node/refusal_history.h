#ifndef DAISYWINCH_NODE_REFUSAL_HISTORY_H
#define DAISYWINCH_NODE_REFUSAL_HISTORY_H

#include <deque>
#include <string>

#include "state/clock.h"
#include "state/refusal.h"

namespace daisywinch {

/// A refused request, as shown to operators by `/explain`.
struct RefusalRecord {
  TimePoint time;
  std::string customer;
  std::string route;
  RefusalReason reason = RefusalReason::kNone;
  /// ID of the root request; empty if the refusal came before it was assigned.
  std::string root_id;
};

/// The last refusals of a node, up to a fixed number, in memory.
class RefusalHistory {
 public:
  /// Adds a refusal and drops the oldest one if there are too many.
  void Add(const RefusalRecord& record);

  /// Refusals in chronological order.
  const std::deque<RefusalRecord>& Records() const { return this->records; }

 private:
  std::deque<RefusalRecord> records;
};

}  // namespace daisywinch

#endif  // DAISYWINCH_NODE_REFUSAL_HISTORY_H
