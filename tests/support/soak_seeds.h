#ifndef DAISYWINCH_TESTS_SUPPORT_SOAK_SEEDS_H
#define DAISYWINCH_TESTS_SUPPORT_SOAK_SEEDS_H

#include <cstdint>
#include <vector>

namespace daisywinch::test {

/// The seeds that the environment variable DAISYWINCH_SOAK_SEEDS names, such as
/// "100-149" or "7"; `default_seeds` if it is not set.
std::vector<std::uint64_t> ChooseSeeds(
    const std::vector<std::uint64_t>& default_seeds);

}  // namespace daisywinch::test

#endif  // DAISYWINCH_TESTS_SUPPORT_SOAK_SEEDS_H
