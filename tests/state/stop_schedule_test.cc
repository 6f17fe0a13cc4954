#include <boost/test/unit_test.hpp>

#include "state/stop_schedule.h"

namespace daisywinch {

namespace {

using std::chrono::milliseconds;

const TimePoint kStart = TimePoint(std::chrono::hours(1));
constexpr milliseconds kStep{50};

}  // namespace

BOOST_AUTO_TEST_SUITE(stop_schedule)

// Calls were taken that usually end in time, and cut when they took longer.
BOOST_AUTO_TEST_CASE(late_calls_are_taken_only_if_their_deadline_fits) {
  // A request that was sent by then may be cut at the end.
  constexpr milliseconds kExcusedTime{3000};
  for (const milliseconds time_left :
       {milliseconds(1000), milliseconds(2700), milliseconds(5700),
        milliseconds(30000)}) {
    const TimePoint answers_end = kStart + time_left - milliseconds(100);
    const StopSchedule schedule(kStart, time_left, answers_end);
    for (TimePoint now = kStart; now < kStart + time_left; now += kStep) {
      BOOST_TEST(schedule.MayTakeCall(now, answers_end));
      const bool takes_any =
          schedule.MayTakeCall(now, answers_end + milliseconds(1));
      if (now >= kStart + kExcusedTime) {
        BOOST_TEST(!takes_any);
      }
      if (now <
          kStart + std::min<Duration>(kExcusedTime - kStep, time_left / 2)) {
        BOOST_TEST(takes_any);
      }
    }
  }
}

// A tree that was begun after the signal lost its later calls.
BOOST_AUTO_TEST_CASE(requests_are_started_only_if_their_deadline_fits) {
  const TimePoint answers_end = kStart + milliseconds(5600);
  const StopSchedule schedule(kStart, milliseconds(5700), answers_end);
  BOOST_TEST(schedule.MayStartRequest(answers_end));
  BOOST_TEST(!schedule.MayStartRequest(answers_end + milliseconds(1)));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace daisywinch
