#include "state/running_trees.h"

#include <iterator>
#include <utility>

namespace daisywinch {

namespace {

/// Time by which the deadline of a nested call, as it is computed here, may
/// differ from that of its run: time limits are sent in whole milliseconds, and
/// the messages to and from the target take time.
constexpr std::chrono::milliseconds kTolerance{50};

Duration Distance(TimePoint left, TimePoint right) {
  return left < right ? right - left : left - right;
}

}  // namespace

void RunningTrees::RunStarted(TimePoint deadline, const CallTree& tree) {
  this->runs.emplace(deadline, tree);
}

void RunningTrees::RunEnded(TimePoint deadline, const CallTree& tree) {
  const auto range = this->runs.equal_range(deadline);
  for (auto run = range.first; run != range.second; ++run) {
    if (run->second == tree) {
      this->runs.erase(run);
      return;
    }
  }
}

std::optional<CallTree> RunningTrees::Find(TimePoint call_deadline) const {
  auto nearest = this->runs.lower_bound(call_deadline);
  if (nearest == this->runs.end() ||
      (nearest != this->runs.begin() &&
       Distance(std::prev(nearest)->first, call_deadline) <
           Distance(nearest->first, call_deadline))) {
    if (nearest == this->runs.begin()) {
      return std::nullopt;
    }
    nearest = std::prev(nearest);
  }
  if (Distance(nearest->first, call_deadline) > kTolerance) {
    return std::nullopt;
  }
  return nearest->second;
}

}  // namespace daisywinch
