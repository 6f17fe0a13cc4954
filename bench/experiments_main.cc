#include <cstdlib>
#include <iomanip>
#include <iostream>
#include <string>

#include "bench/experiments.h"

/// Runs all experiments, or those named as arguments. Fails if a metric misses
/// its target.
int main(int argc, char** argv) {
  bool all_met = true;
  for (const daisywinch::bench::Experiment& experiment :
       daisywinch::bench::AllExperiments()) {
    bool chosen = argc == 1;
    for (int argument = 1; argument < argc; ++argument) {
      chosen = chosen || experiment.name == argv[argument];
    }
    if (!chosen) {
      continue;
    }
    std::cout << experiment.name << ": " << experiment.question << std::endl;
    for (const daisywinch::bench::Metric& metric : experiment.run()) {
      all_met = all_met && metric.IsMet();
      const char* verdict = metric.is_baseline ? "info   "
                            : metric.IsMet()   ? "met    "
                                               : "MISSED ";
      std::cout << "  " << verdict << std::setw(9) << std::setprecision(4)
                << metric.value;
      if (!metric.is_baseline) {
        std::cout << (metric.is_lower_bound ? " >= " : " <= ") << metric.target;
      }
      std::cout << "  " << metric.name << std::endl;
    }
  }
  return all_met ? EXIT_SUCCESS : EXIT_FAILURE;
}
