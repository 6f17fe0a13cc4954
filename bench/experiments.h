#ifndef DAISYWINCH_BENCH_EXPERIMENTS_H
#define DAISYWINCH_BENCH_EXPERIMENTS_H

#include <functional>
#include <string>
#include <string_view>
#include <vector>

namespace daisywinch::bench {

/// A measured value and the target value that it must meet.
struct Metric {
  std::string name;
  double value = 0;
  double target = 0;
  /// Whether the value must be at least the target; otherwise at most.
  bool is_lower_bound = true;
  /// Whether the value is only printed for comparison and has no target.
  bool is_baseline = false;

  bool IsMet() const {
    return this->is_baseline      ? true
           : this->is_lower_bound ? this->value >= this->target
                                  : this->value <= this->target;
  }
};

/// An experiment that runs nodes and targets as processes of their own.
struct Experiment {
  /// Selects the experiment on the command line.
  std::string_view name;
  std::string_view question;
  std::vector<Metric> (*run)() = nullptr;
};

const std::vector<Experiment>& AllExperiments();

}  // namespace daisywinch::bench

#endif  // DAISYWINCH_BENCH_EXPERIMENTS_H
