#ifndef DAISYWINCH_STATE_TARGET_NOTICES_H
#define DAISYWINCH_STATE_TARGET_NOTICES_H

#include <cstdint>
#include <optional>
#include <string>

#include "state/clock.h"
#include "state/mesh_view.h"

namespace daisywinch {

/// What a target states about itself in a response.
struct TargetNotice {
  /// Requests per second that the target accepts from all nodes together;
  /// nullopt if it states no limit.
  std::optional<double> max_rate;
  bool is_leaving = false;
};

/// Tracks what the local target states about itself in its responses.
///
/// A maximum rate holds until a response to a later request lacks it. Responses
/// to requests that were sent before the last statement don't revoke it, as
/// responses on different connections may be received out of order.
///
/// That the target leaves holds for the rest of its run. The run has ended when
/// another one is registered. Without such a record, it takes a sign that the
/// process may have ended, and then a response that certainly comes from the
/// target and lacks the statement.
class TargetNotices {
 public:
  /// Applies the record of the target; forgets what another run stated.
  void UpdateRecord(const MeshTarget& record);
  /// Applies the notice in a response to a request that was sent at `sent_at`.
  /// `is_genuine` says whether the response certainly comes from the target: it
  /// is signed, or a healthy response to a health check that names the target.
  void Record(const TargetNotice& notice,
              bool is_genuine,
              TimePoint sent_at,
              TimePoint now);
  /// Applies that a run of the target has stated to another node that it
  /// leaves. Ignored if that run is known to have ended.
  void RecordReport(std::int64_t run_born, TimePoint now);
  /// Records a sign that the process of the target may have ended.
  void RecordPossibleRestart(TimePoint now);

  std::optional<double> MaxRate() const { return this->max_rate; }
  bool IsLeaving() const { return this->is_leaving; }
  /// Whether the registered run stated that it leaves and has ended since.
  bool HasRunEnded() const { return this->has_run_ended; }
  /// Whether a health check should show if the statements still hold, as no
  /// other response has shown it for a while.
  bool NeedsCheck(TimePoint now) const;

 private:
  std::string id;
  std::int64_t born = -1;
  std::optional<double> max_rate;
  TimePoint max_rate_stated_at;
  bool is_leaving = false;
  TimePoint leaving_stated_at;
  bool has_run_ended = false;
  /// Time of the last sign that the process may have ended.
  std::optional<TimePoint> possible_restart_at;
  TimePoint last_response_at;
};

}  // namespace daisywinch

#endif  // DAISYWINCH_STATE_TARGET_NOTICES_H
