#ifndef DAISYWINCH_TESTS_SUPPORT_FAKE_CLOCK_H
#define DAISYWINCH_TESTS_SUPPORT_FAKE_CLOCK_H

#include "state/clock.h"

namespace daisywinch::test {

/// Clock that advances only when a test calls Advance().
class FakeClock : public Clock {
 public:
  TimePoint Now() const override { return this->now; }
  void Advance(Duration time) { this->now += time; }

 private:
  TimePoint now{std::chrono::hours(1)};
};

}  // namespace daisywinch::test

#endif  // DAISYWINCH_TESTS_SUPPORT_FAKE_CLOCK_H
