#define BOOST_TEST_MODULE daisywinch
#include <cstdlib>

#include <boost/test/unit_test.hpp>

namespace {

/// Fixes the seed of the property-based tests, so that their results are
/// reproducible. RC_PARAMS in the environment overrides it.
struct FixedSeed {
  FixedSeed() { ::setenv("RC_PARAMS", "seed=20 max_success=60", 0); }
};

BOOST_TEST_GLOBAL_CONFIGURATION(FixedSeed);

}  // namespace
