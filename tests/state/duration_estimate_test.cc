#include <boost/test/unit_test.hpp>

#include "state/duration_estimate.h"

namespace daisywinch::test {

using std::chrono::milliseconds;

BOOST_AUTO_TEST_SUITE(duration_estimate)

BOOST_AUTO_TEST_CASE(nothing_is_known_at_first) {
  BOOST_TEST(!DurationEstimate().UpperBound().has_value());
}

BOOST_AUTO_TEST_CASE(first_duration_may_be_exceeded_threefold) {
  DurationEstimate estimate;
  estimate.Record(milliseconds(100));
  BOOST_TEST((estimate.UpperBound() == milliseconds(300)));
}

BOOST_AUTO_TEST_CASE(equal_durations_leave_little_doubt) {
  DurationEstimate estimate;
  for (int count = 0; count < 50; ++count) {
    estimate.Record(milliseconds(1500));
  }
  BOOST_TEST((estimate.UpperBound() >= milliseconds(1500)));
  BOOST_TEST((estimate.UpperBound() < milliseconds(1510)));
}

BOOST_AUTO_TEST_CASE(bound_covers_durations_that_vary) {
  DurationEstimate estimate;
  for (int count = 0; count < 100; ++count) {
    estimate.Record(milliseconds(count % 2 == 0 ? 50 : 150));
  }
  BOOST_TEST((estimate.UpperBound() > milliseconds(150)));
  BOOST_TEST((estimate.UpperBound() < milliseconds(400)));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace daisywinch::test
