#ifndef DAISYWINCH_STATE_COLD_STATE_TRACKER_H
#define DAISYWINCH_STATE_COLD_STATE_TRACKER_H

#include <optional>
#include <string>

#include "state/clock.h"
#include "state/mesh_view.h"

namespace daisywinch {

/// Tracks whether the local target is cold, from its record in the platform's
/// store, its responses to health checks, and signs of a restart that the gate
/// observes.
///
/// A target whose state is unknown is regarded as cold.
class ColdStateTracker {
 public:
  /// Applies the record of the target. If the record is of another run, the
  /// state is unknown until the next health check.
  void UpdateRecord(const MeshTarget& record, TimePoint now);
  /// Applies the time for which the target stays cold, from its response to a
  /// health check.
  void RecordHealth(Duration cold_left, TimePoint now);
  /// The target refused a connection or closed idle ones, so it may have been
  /// restarted.
  void RecordPossibleRestart(TimePoint now);
  /// A connection ended before the response on it was complete. The target may
  /// have been restarted, and there may be no idle connection to show it.
  void RecordLostResponse(TimePoint now) { this->RecordPossibleRestart(now); }
  /// Requests a health check; the state stays the same until then.
  void RequestCheck() { this->needs_check = true; }

  bool IsCold(TimePoint now) const;
  bool NeedsCheck() const { return this->needs_check; }
  /// Time at which the target becomes warm; nullopt while the state is unknown.
  std::optional<TimePoint> ColdUntil() const;

 private:
  std::string id;
  std::int64_t born = -1;
  Duration record_cold_left = Duration::zero();
  bool is_known = false;
  bool needs_check = true;
  TimePoint cold_until;
};

}  // namespace daisywinch

#endif  // DAISYWINCH_STATE_COLD_STATE_TRACKER_H
