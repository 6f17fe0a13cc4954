#ifndef DAISYWINCH_STATE_FATAL_REQUESTS_H
#define DAISYWINCH_STATE_FATAL_REQUESTS_H

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <unordered_map>
#include <vector>

#include "state/clock.h"
#include "state/request_digest.h"

namespace daisywinch {

/// A crash of a target: its process ended while it ran requests.
struct TargetCrash {
  /// Chosen at random by the gate of the target.
  std::uint64_t id = 0;
  /// Requests that the target was running. The same request may have run at
  /// several targets that crashed.
  std::set<RequestDigest> running;
  Duration age = Duration::zero();
};

/// A request that a target has answered, so that it isn't what ends targets.
struct ClearedRequest {
  RequestDigest digest = 0;
  Duration age = Duration::zero();
};

/// What nodes tell each other about the crashes of targets.
struct CrashReport {
  std::vector<TargetCrash> crashes;
  std::vector<ClearedRequest> cleared;
};

/// Finds the requests that end each target that runs them, from the crashes of
/// all targets and the requests that ran there.
///
/// A request is fatal if several targets crashed while they ran it, if none has
/// answered it, if few of the crashes happened without it, and if no other
/// request explains the same crashes and more.
/// Requests that ran beside a fatal one and were sent again with it are cleared
/// as soon as a target answers them. A verdict is forgotten after some time, as
/// the targets may have been repaired; then one more crash renews it.
///
/// The state is a set of crashes and a set of cleared requests. Reports of
/// other nodes are merged into it in any order and any number of times. Not
/// thread-safe.
class FatalRequests {
 public:
  /// Records a crash of the local target.
  void RecordCrash(TargetCrash crash, TimePoint now);
  /// Records that the local target answered a request.
  void RecordAnswered(RequestDigest digest, TimePoint now);
  /// Applies the report of another node or of a relay. Returns whether it had
  /// anything new.
  bool Merge(const CrashReport& report, TimePoint now);
  /// Returns what other nodes should know; only the fatal requests of crashes
  /// that they explain.
  CrashReport MakeReport(TimePoint now);
  /// Whether other nodes should get a report at once, as the local target has
  /// crashed or cleared a request since the last one.
  bool HasUrgentReport() const { return this->is_urgent; }

  /// Whether the request is to be refused.
  bool IsFatal(RequestDigest digest, TimePoint now) const;
  /// Number of crashes of targets that were running the request, as far as it
  /// has not been cleared.
  std::size_t CrashCount(RequestDigest digest) const;
  /// Requests that are refused now, for logs and the status page.
  std::vector<RequestDigest> Verdicts(TimePoint now) const;

 private:
  struct Crash {
    std::set<RequestDigest> running;
    TimePoint at;
  };

  bool AddCrash(std::uint64_t id,
                std::set<RequestDigest> running,
                TimePoint at,
                TimePoint now);
  bool Clear(RequestDigest digest, TimePoint at);
  void Forget(TimePoint now);
  /// Computes the verdicts from the crashes.
  void Judge();
  /// Whether another request was running in all crashes in which this one was,
  /// and in more.
  bool IsExplainedByAnother(RequestDigest digest,
                            const std::set<std::uint64_t>& crash_ids) const;

  std::map<std::uint64_t, Crash> crashes;
  /// Ids of the crashes of targets that were running each request.
  std::unordered_map<RequestDigest, std::set<std::uint64_t>> crashes_by_request;
  /// Times at which requests were answered that had run in a crash.
  std::unordered_map<RequestDigest, TimePoint> cleared;
  /// Fatal requests and the times of their last crashes.
  std::unordered_map<RequestDigest, TimePoint> verdicts;
  /// Requests that the local target answered lately, from old to new.
  std::deque<RequestDigest> answered;
  std::unordered_map<RequestDigest, TimePoint> answered_at;
  bool is_urgent = false;
};

}  // namespace daisywinch

#endif  // DAISYWINCH_STATE_FATAL_REQUESTS_H
