#include <cstdlib>
#include <iomanip>
#include <iostream>
#include <string>

#include "bench/experiments.h"

/// Runs all experiments, or those named as arguments; the exit status tells
/// whether every figure met its target.
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
    for (const daisywinch::bench::Figure& figure : experiment.run()) {
      all_met = all_met && figure.IsMet();
      const char* verdict = figure.is_baseline ? "beside "
                            : figure.IsMet()   ? "met    "
                                               : "MISSED ";
      std::cout << "  " << verdict << std::setw(9) << std::setprecision(4)
                << figure.value;
      if (!figure.is_baseline) {
        std::cout << (figure.is_lower_bound ? " >= " : " <= ") << figure.target;
      }
      std::cout << "  " << figure.name << std::endl;
    }
  }
  return all_met ? EXIT_SUCCESS : EXIT_FAILURE;
}
