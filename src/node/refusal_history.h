#ifndef DAISYWINCH_NODE_REFUSAL_HISTORY_H
#define DAISYWINCH_NODE_REFUSAL_HISTORY_H

#include <deque>
#include <string>

#include "state/clock.h"
#include "state/refusal.h"

namespace daisywinch {

/// One refusal, as "explain" shows it.
struct RefusalRecord {
  TimePoint time;
  std::string customer;
  std::string route;
  RefusalReason reason = RefusalReason::kNone;
  std::string root_id;
};

/// Remembers the last refusals of a node.
class RefusalHistory {
 public:
  void Add(const RefusalRecord& record);

  /// The newest refusals last.
  const std::deque<RefusalRecord>& Records() const { return this->records; }

 private:
  std::deque<RefusalRecord> records;
};

}  // namespace daisywinch

#endif  // DAISYWINCH_NODE_REFUSAL_HISTORY_H
