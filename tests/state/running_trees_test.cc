// Which call tree a nested call belongs to, by its deadline.
#include "state/running_trees.h"

#include <boost/test/unit_test.hpp>

namespace daisywinch {

namespace {

using std::chrono::milliseconds;

const TimePoint kStart = TimePoint(std::chrono::hours(1));
const CallTree kUrgent = {0, kStart + milliseconds(250)};
const CallTree kOther = {2, kStart + milliseconds(1500)};

}  // namespace

BOOST_AUTO_TEST_SUITE(running_trees)

// A nested call with the tree of another run would jump the queue of a target.
BOOST_AUTO_TEST_CASE(nested_call_belongs_to_the_run_with_the_nearest_deadline) {
  RunningTrees trees;
  trees.RunStarted(kStart + milliseconds(1000), kUrgent);
  trees.RunStarted(kStart + milliseconds(1100), kOther);
  for (const int offset : {-2, 0, 5, 20}) {
    BOOST_TEST((trees.Find(kStart + milliseconds(1000 + offset)) == kUrgent));
    BOOST_TEST((trees.Find(kStart + milliseconds(1100 + offset)) == kOther));
  }
}

BOOST_AUTO_TEST_CASE(call_without_a_run_near_its_deadline_has_no_known_tree) {
  RunningTrees trees;
  BOOST_TEST(!trees.Find(kStart).has_value());
  trees.RunStarted(kStart + milliseconds(1000), kUrgent);
  BOOST_TEST(!trees.Find(kStart + milliseconds(1200)).has_value());
  BOOST_TEST(!trees.Find(kStart + milliseconds(800)).has_value());
}

BOOST_AUTO_TEST_CASE(ended_run_is_forgotten) {
  RunningTrees trees;
  const TimePoint deadline = kStart + milliseconds(1000);
  trees.RunStarted(deadline, kUrgent);
  trees.RunStarted(deadline, kOther);
  trees.RunEnded(deadline, kUrgent);
  BOOST_TEST((trees.Find(deadline) == kOther));
  trees.RunEnded(deadline, kOther);
  BOOST_TEST(!trees.Find(deadline).has_value());
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace daisywinch
