#include <boost/test/unit_test.hpp>

#include "state/recent_maximum.h"

namespace daisywinch::test {

using std::chrono::milliseconds;
using std::chrono::seconds;

BOOST_AUTO_TEST_SUITE(recent_maximum)

BOOST_AUTO_TEST_CASE(longest_duration_is_kept_for_ten_to_twenty_seconds) {
  const TimePoint start(seconds(100));
  RecentMaximum maximum;
  BOOST_TEST((maximum.Get(start) == Duration::zero()));
  maximum.Record(milliseconds(300), start);
  maximum.Record(milliseconds(100), start + seconds(9));
  BOOST_TEST((maximum.Get(start + seconds(9)) == milliseconds(300)));
  maximum.Record(milliseconds(200), start + seconds(11));
  BOOST_TEST((maximum.Get(start + seconds(11)) == milliseconds(300)));
  BOOST_TEST((maximum.Get(start + seconds(22)) == milliseconds(200)));
  BOOST_TEST((maximum.Get(start + seconds(31)) == Duration::zero()));
  maximum.Record(milliseconds(50), start + seconds(40));
  BOOST_TEST((maximum.Get(start + seconds(40)) == milliseconds(50)));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace daisywinch::test
