#ifndef DAISYWINCH_STATE_MESH_LOAD_BALANCER_H
#define DAISYWINCH_STATE_MESH_LOAD_BALANCER_H

#include <cstdint>
#include <random>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>

#include "state/clock.h"
#include "state/mesh_view.h"

namespace daisywinch {

/// What a gate says of its target with each reply.
struct TargetLoad {
  int in_flight = 0;
  int queued = 0;
  /// Requests that the target may run at once.
  int limit = 1;
  bool is_cold = false;
  /// Mean time that the target takes for a request.
  Duration service_time = Duration::zero();
};

/// How a call to a gate ended, as far as the choice of targets goes.
enum class GateResult {
  kServed,
  /// The target answered that it failed, or spoilt its answer.
  kFailed,
  /// The gate could not be reached or did not answer.
  kUnreachable,
  /// The gate refused the call without sending it on.
  kRefused,
};

/// Chooses the target for each call of one entry by the time that the call
/// would take there: the target's own pace, the expected wait for a slot
/// ("An Approximation Formula for the Queue with Multiple Servers", Sakasegawa
/// 1977), the way to another data centre, and what lately failed.
class MeshLoadBalancer {
 public:
  MeshLoadBalancer(std::string data_centre, std::uint64_t seed);

  /// The target for a call; null if there is none outside `excluded`.
  ///
  /// `objective` is the time that is left for an answer of full worth: the
  /// more there is, the longer a call stays in its data centre.
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

 private:
  struct TargetState {
    int local_in_flight = 0;
    /// Calls of other entries at the last report.
    int others_in_flight = 0;
    TargetLoad load;
    bool has_load = false;
    TimePoint last_report_at;
    /// Part of the last calls that failed, from 0 to 1.
    double failure_fraction = 0;
    TimePoint last_failure_at;
    int consecutive_unreachable = 0;
    TimePoint backoff_until;
  };

  double ExpectedSeconds(const MeshTarget& target,
                         double remote_penalty,
                         TimePoint now);

  std::string data_centre;
  std::mt19937_64 random;
  std::unordered_map<std::string, TargetState> states;
};

}  // namespace daisywinch

#endif  // DAISYWINCH_STATE_MESH_LOAD_BALANCER_H
