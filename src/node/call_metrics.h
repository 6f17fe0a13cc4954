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

/// Counts and latency histograms of the calls of one entry, for each customer
/// and class, in the Prometheus text format.
class CallMetrics {
 public:
  CallMetrics();

  /// Records a finished call. `reason` is 0 when the target answered.
  void Record(const std::string& customer,
              RequestClass request_class,
              std::uint32_t reason,
              Duration total,
              Duration added);

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
