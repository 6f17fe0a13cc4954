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
/// A statement holds until a response to a later request lacks it, or until
/// another run of the target is registered. Responses to requests that were
/// sent before the last statement don't revoke it, as responses on different
/// connections may be received out of order.
class TargetNotices {
 public:
  /// Applies the record of the target; forgets what another run stated.
  void UpdateRecord(const MeshTarget& record);
  /// Applies the notice in a response to a request that was sent at `sent_at`.
  void Record(const TargetNotice& notice, TimePoint sent_at, TimePoint now);

  std::optional<double> MaxRate() const { return this->max_rate; }
  bool IsLeaving() const { return this->is_leaving; }
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
  TimePoint last_response_at;
};

}  // namespace daisywinch

#endif  // DAISYWINCH_STATE_TARGET_NOTICES_H
