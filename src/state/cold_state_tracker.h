#ifndef DAISYWINCH_STATE_COLD_STATE_TRACKER_H
#define DAISYWINCH_STATE_COLD_STATE_TRACKER_H

#include <optional>
#include <string>

#include "state/clock.h"
#include "state/mesh_view.h"

namespace daisywinch {

/// Whether the target beside this node is cold, from its record, its answers to
/// health checks, and what the gate has seen itself.
///
/// A target of which nothing is known counts as cold.
class ColdStateTracker {
 public:
  /// Takes the target's record; another run of it is unknown at first.
  void UpdateRecord(const MeshTarget& record, TimePoint now);
  /// Takes the time that the target says it stays cold.
  void RecordHealth(Duration cold_left, TimePoint now);
  /// The target refused a connection or dropped the idle ones: it may have
  /// started again.
  void RecordPossibleRestart(TimePoint now);
  /// Something is odd; the target is asked, and counts as it did until then.
  void RequestCheck() { this->needs_check = true; }

  bool IsCold(TimePoint now) const;
  bool NeedsCheck() const { return this->needs_check; }
  /// When the target turns warm; nothing while that is unknown.
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
