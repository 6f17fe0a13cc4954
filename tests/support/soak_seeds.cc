#include "support/soak_seeds.h"

#include <cstdlib>
#include <string>

namespace daisywinch::test {

std::vector<std::uint64_t> ChooseSeeds(
    const std::vector<std::uint64_t>& default_seeds) {
  const char* range = std::getenv("DAISYWINCH_SOAK_SEEDS");
  if (range == nullptr) {
    return default_seeds;
  }
  const std::string text = range;
  const std::size_t dash = text.find('-');
  std::vector<std::uint64_t> seeds;
  for (std::uint64_t seed = std::stoull(text);
       seed <= std::stoull(text.substr(dash + 1)); ++seed) {
    seeds.push_back(seed);
  }
  return seeds;
}

}  // namespace daisywinch::test
