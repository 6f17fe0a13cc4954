#ifndef DAISYWINCH_STATE_CRASH_DETECTOR_H
#define DAISYWINCH_STATE_CRASH_DETECTOR_H

#include <cstdint>
#include <deque>
#include <optional>
#include <set>
#include <string>

#include "state/clock.h"
#include "state/mesh_view.h"
#include "state/request_digest.h"

namespace daisywinch {

/// Recognizes crashes of the local target and the requests that it was running.
///
/// A lost response alone is no crash: the connection may have been reset, or
/// the target may have broken off. A crash is recognized if responses were lost
/// and the target then refuses a connection or turns out to be another run.
class CrashDetector {
 public:
  /// Records that the connection ended before the response to a request that
  /// was sent at `sent_at`.
  void RecordLostResponse(RequestDigest digest,
                          TimePoint sent_at,
                          TimePoint now);
  /// Applies the record of the target; returns whether it shows a crash.
  bool UpdateRecord(const MeshTarget& record, TimePoint now);
  /// Records a sign that the process of the target has ended, such as a refused
  /// connection; returns whether this shows a crash, which TakeCrash() returns
  /// as soon as all lost responses have been recorded.
  bool RecordProcessEnd(TimePoint now);

  /// Returns the requests that were running in the crash that was recognized,
  /// and forgets them. They may be empty.
  std::set<RequestDigest> TakeCrash(TimePoint now);

 private:
  struct LostResponse {
    RequestDigest digest = 0;
    TimePoint sent_at;
    TimePoint lost_at;
  };

  void RemoveOld(TimePoint now);

  std::deque<LostResponse> lost_responses;
  /// A crash was recognized and not taken yet.
  bool is_recognized = false;
  /// Time at which the last crash was taken.
  std::optional<TimePoint> taken_at;
  std::string id;
  std::int64_t born = -1;
};

}  // namespace daisywinch

#endif  // DAISYWINCH_STATE_CRASH_DETECTOR_H
