#ifndef DAISYWINCH_STATE_LEAVING_RUNS_H
#define DAISYWINCH_STATE_LEAVING_RUNS_H

#include <cstdint>
#include <deque>
#include <string>
#include <unordered_map>

#include "state/clock.h"
#include "state/mesh_view.h"

namespace daisywinch {

/// Runs of targets that have stated in a response that they leave, as far as an
/// ingress knows.
///
/// A run that leaves stays out of use until it has ended, whatever its record
/// says and however long that takes. The record of a later run shows the end,
/// or its gate reports it. The gate of a run that leaves is therefore asked
/// from time to time, with a call that it refuses while the run lives.
///
/// Not thread-safe.
class LeavingRuns {
 public:
  /// Records that a run states that it leaves; returns whether that is news.
  /// Statements of an earlier run than a known one are ignored.
  bool RecordLeaving(const std::string& target_id,
                     std::int64_t born,
                     TimePoint now);
  /// Records that the gate has observed the end of a run; returns whether the
  /// run was known to leave.
  bool RecordEnd(const std::string& target_id, std::int64_t born);

  /// Whether the registered run of the target, or a later one, leaves.
  bool IsLeaving(const MeshTarget& target) const;
  /// Whether a call may ask the gate of a target that leaves whether the run
  /// has ended.
  bool IsCheckDue(const MeshTarget& target, TimePoint now) const;
  /// Records that such a call is sent.
  void RecordCheck(const MeshTarget& target, TimePoint now);

 private:
  struct Run {
    std::int64_t born = 0;
    TimePoint check_due_at;
  };

  std::unordered_map<std::string, Run> runs;
  /// The keys of `runs`, from the first to the last that was added.
  std::deque<std::string> order;
};

}  // namespace daisywinch

#endif  // DAISYWINCH_STATE_LEAVING_RUNS_H
