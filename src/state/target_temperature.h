#ifndef DAISYWINCH_STATE_TARGET_TEMPERATURE_H
#define DAISYWINCH_STATE_TARGET_TEMPERATURE_H

#include <optional>
#include <string>

#include "state/clock.h"
#include "state/mesh_view.h"

namespace daisywinch {

/// Whether the target beside this node is cold, from its entry, its answers to
/// health checks, and what the gate has seen itself.
///
/// A target of which nothing is known counts as cold.
class TargetTemperature {
 public:
  /// Takes the target's entry; another run of it is unknown at first.
  void TakeEntry(const MeshTarget& entry, TimePoint now);
  /// Takes the time that the target says it stays cold.
  void TakeHealth(Duration cold_left, TimePoint now);
  /// The target refused a connection or dropped the idle ones: it may have
  /// started again.
  void TakeRestartSign(TimePoint now);
  /// Something is odd; the target is asked, and counts as it did until then.
  void Doubt() { this->wants_check = true; }

  bool IsCold(TimePoint now) const;
  bool WantsCheck() const { return this->wants_check; }
  /// When the target turns warm; nothing while that is unknown.
  std::optional<TimePoint> ColdUntil() const;

 private:
  std::string id;
  std::int64_t born = -1;
  Duration entry_cold_left = Duration::zero();
  bool is_known = false;
  bool wants_check = true;
  TimePoint cold_until;
};

}  // namespace daisywinch

#endif  // DAISYWINCH_STATE_TARGET_TEMPERATURE_H
