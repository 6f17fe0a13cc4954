#ifndef DAISYWINCH_STATE_MESH_LOAD_BALANCER_H
#define DAISYWINCH_STATE_MESH_LOAD_BALANCER_H

#include <cstdint>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "state/clock.h"
#include "state/leaving_runs.h"
#include "state/mesh_view.h"

namespace daisywinch {

/// Load of a target, as its gate reports it with each reply.
struct TargetLoad {
  int in_flight = 0;
  int queued = 0;
  /// Maximum number of concurrent requests of the target.
  int limit = 1;
  bool is_cold = false;
  /// Requests per second that the target may get from all nodes; nullopt if
  /// their rate isn't limited.
  std::optional<double> max_rate;
  /// Time that a call would have waited for that limit.
  Duration pacing_delay = Duration::zero();
  /// Mean time that the target takes to process a request.
  Duration service_time = Duration::zero();
};

/// Result of a call to a gate, as far as it matters for load balancing.
enum class GateResult {
  kServed,
  /// The target responded with a failure or an invalid response.
  kFailed,
  /// The gate could not be reached or didn't reply.
  kUnreachable,
  /// The gate refused the call without forwarding it to the target.
  kRefused,
};

/// Selects the target for each call of one ingress by the least expected
/// completion time.
///
/// The expected time is the sum of the mean service time of the target, the
/// expected time in its queue ("An Approximation Formula for the Queue with
/// Multiple Servers", Sakasegawa 1977), the time that its rate limit delays a
/// call, and penalties for a target that is in another data centre, is cold, or
/// has failed recently.
class MeshLoadBalancer {
 public:
  MeshLoadBalancer(std::string data_centre, std::uint64_t seed);

  /// Returns the target for a call; null if there is none outside `excluded`
  /// that isn't leaving.
  ///
  /// `objective` is the time left until the latency objective of the call. The
  /// more time is left, the longer calls stay in the local data centre.
  const MeshTarget* Choose(const MeshView& view,
                           std::string_view service,
                           const std::set<std::string>& excluded,
                           Duration objective,
                           TimePoint now);

  void CallStarted(const std::string& target_id);
  void CallEnded(const std::string& target_id,
                 GateResult result,
                 TimePoint now);
  void RecordLoad(const std::string& target_id,
                  const TargetLoad& load,
                  TimePoint now);
  /// The runs of targets that leave. They are chosen only to ask their gates
  /// whether they have ended.
  LeavingRuns& Leaving() { return this->leaving_runs; }

 private:
  struct TargetState {
    int local_in_flight = 0;
    /// Calls of other ingresses at the time of the last report.
    int others_in_flight = 0;
    TargetLoad load;
    bool has_load = false;
    TimePoint last_report_at;
    /// Calls sent since the last report.
    int calls_since_report = 0;
    /// Moving average of the failures among the calls, from 0 to 1.
    double failure_fraction = 0;
    TimePoint last_failure_at;
    int consecutive_unreachable = 0;
    TimePoint backoff_until;
  };

  /// Whether the target may get a call now, at least one that asks its gate
  /// whether it still leaves.
  bool MayChoose(const MeshTarget& target, TimePoint now) const;
  /// The target with the least expected completion time, or a random one.
  const MeshTarget* FindBest(const std::vector<const MeshTarget*>& usable,
                             const std::set<std::string>& excluded,
                             double remote_penalty,
                             TimePoint now);
  /// Time that the rate limit of a target is expected to delay a call, in
  /// seconds.
  static double PacingSeconds(const TargetState& state, TimePoint now);
  double ExpectedSeconds(const MeshTarget& target,
                         double remote_penalty,
                         TimePoint now);

  std::string data_centre;
  std::mt19937_64 random;
  std::unordered_map<std::string, TargetState> states;
  LeavingRuns leaving_runs;
};

}  // namespace daisywinch

#endif  // DAISYWINCH_STATE_MESH_LOAD_BALANCER_H
