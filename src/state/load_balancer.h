#ifndef DAISYWINCH_STATE_LOAD_BALANCER_H
#define DAISYWINCH_STATE_LOAD_BALANCER_H

#include <cstdint>
#include <random>
#include <set>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

#include "state/admission_level.h"
#include "state/clock.h"
#include "state/configuration.h"
#include "state/snapshot.h"

namespace daisywinch {

/// State of a gate, as it reports it with each response.
struct GateReport {
  int in_flight = 0;
  int queued = 0;
  int limit = 1;
  /// Admission level for the customer of the call.
  double level = AdmissionLevel::kMaxLevel;
};

/// Selects the target for each call of one ingress.
///
/// Takes the less loaded of two random targets ("The Power of Two Choices in
/// Randomized Load Balancing", Mitzenmacher 2001). Targets in the local data
/// centre are preferred.
class LoadBalancer {
 public:
  LoadBalancer(std::string data_centre, std::uint64_t seed);

  /// Returns the target for a call; null if there is none outside `excluded`.
  ///
  /// A call with an idempotency key always goes to the target that rendezvous
  /// hashing assigns to the key, in any data centre, so that its gate
  /// recognizes duplicates. It is not moved to another target.
  const Vm* Choose(const Snapshot& snapshot,
                   std::string_view service,
                   const std::string& customer,
                   RequestClass request_class,
                   std::string_view idempotency_key,
                   const std::set<std::string>& excluded,
                   TimePoint now);

  void CallStarted(const std::string& vm);
  void CallEnded(const std::string& vm);
  void RecordReport(const std::string& vm,
                    const std::string& customer,
                    const GateReport& report,
                    TimePoint now);
  /// Records that a target could not be reached. It is avoided for a while,
  /// with exponential backoff.
  void RecordFailure(const std::string& vm, TimePoint now);

  /// Whether to send a call to a target that may shed it. The decision is
  /// random, with the admission probability from the last report of the target.
  bool ShouldSend(const std::string& vm,
                  const std::string& customer,
                  RequestClass request_class,
                  TimePoint now);

 private:
  struct CustomerLevel {
    double level = AdmissionLevel::kMaxLevel;
    TimePoint last_report_at;
  };

  struct TargetState {
    int local_in_flight = 0;
    /// Calls of other ingresses at the time of the last report.
    int others_in_flight = 0;
    int limit = 1;
    /// Admission levels by customer.
    std::unordered_map<std::string, CustomerLevel> levels;
    int consecutive_failures = 0;
    TimePoint backoff_until;
  };

  const Vm* ChooseByHash(const std::vector<Vm>& targets,
                         std::string_view idempotency_key) const;
  const Vm* ChooseOfTwo(const std::vector<const Vm*>& candidates);
  double UtilizationOf(const std::string& vm) const;
  double AdmissionProbabilityOf(const std::string& vm,
                                const std::string& customer,
                                RequestClass request_class,
                                TimePoint now) const;
  bool IsInBackoff(const std::string& vm, TimePoint now) const;

  std::string data_centre;
  std::mt19937_64 random;
  std::unordered_map<std::string, TargetState> states;
};

}  // namespace daisywinch

#endif  // DAISYWINCH_STATE_LOAD_BALANCER_H
