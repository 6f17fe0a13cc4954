#include "node/call_metrics.h"

#include <utility>
#include <vector>

namespace daisywinch {

namespace {

/// Edges of the histogram's bins in seconds; the first one is the lower edge of
/// the first bin.
const std::vector<double>& BinBounds() {
  static const std::vector<double> bounds = {
      0,     0.0001, 0.0002, 0.0004, 0.0006, 0.00079, 0.001, 0.002, 0.005,
      0.010, 0.020,  0.050,  0.100,  0.200,  0.500,   1.0,   2.0,   5.0};
  return bounds;
}

double ToSeconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

std::string FormatBound(double bound) {
  std::string text = std::to_string(bound);
  text.erase(text.find_last_not_of('0') + 1);
  if (text.back() == '.') {
    text.pop_back();
  }
  return text;
}

template <typename Histogram>
std::string FormatHistogram(const std::string& name,
                            const std::string& labels,
                            const Histogram& histogram) {
  const std::string separator = labels.empty() ? "" : ",";
  const int bin_count = histogram.axis().size();
  double sum = histogram.at(-1);
  std::string text;
  for (int bin = 0; bin < bin_count; ++bin) {
    sum += histogram.at(bin);
    text += name;
    text += "_bucket{";
    text += labels;
    text += separator;
    text += "le=\"" + FormatBound(histogram.axis().bin(bin).upper()) + "\"} ";
    text += std::to_string(static_cast<std::uint64_t>(sum)) + "\n";
  }
  sum += histogram.at(bin_count);
  const std::string count = std::to_string(static_cast<std::uint64_t>(sum));
  text += name + "_bucket{" + labels + separator + "le=\"+Inf\"} " + count +
          "\n" + name + "_count{" + labels + "} " + count + "\n";
  return text;
}

}  // namespace

CallMetrics::Histogram CallMetrics::MakeHistogram() {
  return boost::histogram::make_histogram(Axis(BinBounds()));
}

CallMetrics::CallMetrics() : added_latency(MakeHistogram()) {}

void CallMetrics::Record(const std::string& customer,
                         RequestClass request_class,
                         std::uint32_t reason,
                         Duration total,
                         Duration added) {
  ++this->call_counts[{customer, request_class, reason}];
  if (reason != 0) {
    return;
  }
  const Label label(customer, request_class);
  auto found = this->latency.find(label);
  if (found == this->latency.end()) {
    found = this->latency.emplace(label, MakeHistogram()).first;
  }
  found->second(ToSeconds(total));
  this->added_latency(ToSeconds(added));
}

std::string CallMetrics::ToPrometheusText() const {
  std::string text =
      "# HELP daisywinch_calls_total Calls by customer, class and reason; "
      "reason 0 is an answer of the target.\n"
      "# TYPE daisywinch_calls_total counter\n";
  for (const auto& [key, count] : this->call_counts) {
    const auto& [customer, request_class, reason] = key;
    text += "daisywinch_calls_total{customer=\"" + customer + "\",class=\"" +
            std::string(ToString(request_class)) + "\",reason=\"" +
            std::to_string(reason) + "\"} " + std::to_string(count) + "\n";
  }
  text +=
      "# HELP daisywinch_call_seconds Time from the request to the answer.\n"
      "# TYPE daisywinch_call_seconds histogram\n";
  for (const auto& [label, histogram] : this->latency) {
    text += FormatHistogram("daisywinch_call_seconds",
                            "customer=\"" + label.first + "\",class=\"" +
                                std::string(ToString(label.second)) + "\"",
                            histogram);
  }
  text +=
      "# HELP daisywinch_added_seconds Time added to the target's own.\n"
      "# TYPE daisywinch_added_seconds histogram\n";
  text += FormatHistogram("daisywinch_added_seconds", "", this->added_latency);
  return text;
}

}  // namespace daisywinch
