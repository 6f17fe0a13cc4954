#ifndef DAISYWINCH_NODE_CALL_METRICS_H
#define DAISYWINCH_NODE_CALL_METRICS_H

#include <cstdint>
#include <map>
#include <string>
#include <tuple>

#include <boost/histogram.hpp>

#include "state/clock.h"
#include "state/configuration.h"

namespace daisywinch {

/// Counts and latency histograms of the calls of one ingress, by customer and
/// request class.
class CallMetrics {
 public:
  CallMetrics();

  /// Records a finished call. `reason` is the number of a RefusalReason, or 0
  /// if the target responded. `total` is the time from the request to its
  /// response, `added` the part of it that was not spent at the target; both
  /// are recorded only if `reason` is 0.
  void Record(const std::string& customer,
              RequestClass request_class,
              std::uint32_t reason,
              Duration total,
              Duration added);

  /// Returns the metrics in the Prometheus text exposition format.
  std::string ToPrometheusText() const;

 private:
  using Axis = boost::histogram::axis::variable<double>;
  using Histogram = decltype(boost::histogram::make_histogram(Axis()));
  using Label = std::pair<std::string, RequestClass>;

  static Histogram MakeHistogram();

  std::map<Label, Histogram> latency;
  std::map<std::tuple<std::string, RequestClass, std::uint32_t>, std::uint64_t>
      call_counts;
  Histogram added_latency;
};

}  // namespace daisywinch

#endif  // DAISYWINCH_NODE_CALL_METRICS_H
