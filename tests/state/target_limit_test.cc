#include "state/target_limit.h"

#include <algorithm>
#include <random>

#include <boost/test/unit_test.hpp>

#include "support/fake_clock.h"

namespace daisywinch::test {

namespace {

constexpr std::chrono::milliseconds kServiceTime{10};
constexpr int kSlots = 100;
constexpr int kColdSlots = 10;
constexpr std::chrono::seconds kWarmUp{2};

/// Simulates a target that warms up under load and always gets as many
/// concurrent requests as the limit allows.
struct LimitFixture {
  LimitFixture() {
    Service service;
    service.slots = kSlots;
    service.cold_slots = kColdSlots;
    service.warm_up = kWarmUp;
    this->limit.Configure(service);
  }

  int Capacity() const {
    if (!this->is_loaded) {
      return kColdSlots;
    }
    const double fraction =
        std::chrono::duration<double>(this->clock.Now() - this->cold_since) /
        std::chrono::duration<double>(kWarmUp);
    return kColdSlots +
           static_cast<int>(std::min(1.0, fraction) * (kSlots - kColdSlots));
  }

  void Restart() {
    this->is_loaded = false;
    this->instance += "'";
  }

  /// Runs one round, in which every admitted request succeeds.
  void RunRound(double slowdown = 1) {
    const int in_flight = this->limit.Limit();
    if (!this->is_loaded) {
      this->is_loaded = true;
      this->cold_since = this->clock.Now();
    }
    this->max_excess = std::max(this->max_excess, in_flight - this->Capacity());
    const double overload =
        std::max(1.0, static_cast<double>(in_flight) / this->Capacity());
    const Duration latency = std::chrono::duration_cast<Duration>(
        kServiceTime * slowdown * overload * overload);
    TargetSample sample;
    sample.route = "route";
    sample.started_at = this->clock.Now();
    sample.latency = latency;
    sample.in_flight = in_flight;
    sample.instance = this->instance;
    this->clock.Advance(latency);
    for (int request = 0; request < in_flight; ++request) {
      this->limit.RecordResponse(sample, this->clock.Now());
    }
  }

  void RunFor(Duration time, double slowdown = 1) {
    const TimePoint end = this->clock.Now() + time;
    while (this->clock.Now() < end) {
      this->RunRound(slowdown);
    }
  }

  FakeClock clock;
  TargetLimit limit;
  std::string instance = "a";
  bool is_loaded = false;
  TimePoint cold_since;
  int max_excess = -kSlots;
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(target_limit, LimitFixture)

BOOST_AUTO_TEST_CASE(cold_target_never_exceeds_its_capacity) {
  BOOST_TEST(this->limit.Limit() == kColdSlots);
  this->RunFor(2 * kWarmUp);
  BOOST_TEST(this->max_excess <= 0);
  BOOST_TEST(this->limit.Limit() == kSlots);
}

BOOST_AUTO_TEST_CASE(idle_time_does_not_warm_up) {
  this->RunRound();
  this->clock.Advance(std::chrono::minutes(10));
  this->RunRound();
  BOOST_TEST(this->limit.Limit() < kSlots / 4);
}

BOOST_AUTO_TEST_CASE(restarted_target_is_cold_again) {
  this->RunFor(2 * kWarmUp);
  this->Restart();
  this->RunRound();
  BOOST_TEST(this->limit.Limit() == kColdSlots);
  this->RunFor(2 * kWarmUp);
  BOOST_TEST(this->limit.Limit() == kSlots);
  BOOST_TEST(this->limit.ColdCount() == 2);
}

BOOST_AUTO_TEST_CASE(cold_target_is_detected_by_its_latency) {
  this->RunFor(2 * kWarmUp);
  this->is_loaded = false;
  this->RunRound();
  BOOST_TEST(this->limit.Limit() == kColdSlots);
  this->max_excess = -kSlots;
  this->is_loaded = false;
  this->RunFor(2 * kWarmUp);
  BOOST_TEST(this->max_excess <= 0);
  BOOST_TEST(this->limit.Limit() == kSlots);
}

BOOST_AUTO_TEST_CASE(shedding_target_counts_as_cold) {
  this->RunFor(2 * kWarmUp);
  for (int shed = 0; shed < 3; ++shed) {
    this->limit.RecordShed(this->clock.Now());
  }
  BOOST_TEST(this->limit.Limit() == kColdSlots);
}

BOOST_AUTO_TEST_CASE(broken_connection_counts_as_cold) {
  this->RunFor(2 * kWarmUp);
  this->limit.RecordDisconnect(this->clock.Now());
  BOOST_TEST(this->limit.Limit() == kColdSlots);
}

BOOST_AUTO_TEST_CASE(limit_recovers_when_slowness_is_not_overload) {
  this->RunFor(2 * kWarmUp);
  // Three times slower regardless of the load, so that a lower limit doesn't
  // help.
  this->RunFor(std::chrono::seconds(10), 3);
  BOOST_TEST(this->limit.Limit() > kSlots * 9 / 10);
  this->RunFor(std::chrono::seconds(5));
  BOOST_TEST(this->limit.Limit() > kSlots * 9 / 10);
}

BOOST_AUTO_TEST_CASE(limit_recovers_after_a_large_slowdown) {
  this->RunFor(2 * kWarmUp);
  this->RunFor(std::chrono::seconds(10), 20);
  BOOST_TEST(this->limit.Limit() > kSlots * 9 / 10);
}

BOOST_AUTO_TEST_CASE(limit_converges_below_the_configured_slots) {
  // The target slows down above 40 concurrent requests, although it is
  // configured with 100 slots.
  ConcurrencyLimit concurrency_limit;
  concurrency_limit.SetBounds(5, kSlots);
  const auto latency_at = [](int in_flight) {
    const double overload = std::max(1.0, in_flight / 40.0);
    return std::chrono::duration_cast<Duration>(kServiceTime * overload *
                                                overload);
  };
  // A phase with low load, so that the minimum latency is known.
  for (int request = 0; request < 50; ++request) {
    concurrency_limit.RecordLatency("route", latency_at(10), 10,
                                    this->clock.Now());
    this->clock.Advance(kServiceTime);
  }
  int lowest = kSlots;
  for (int round = 0; round < 300; ++round) {
    const int in_flight = concurrency_limit.Limit();
    this->clock.Advance(latency_at(in_flight));
    for (int request = 0; request < in_flight; ++request) {
      concurrency_limit.RecordLatency("route", latency_at(in_flight), in_flight,
                                      this->clock.Now());
    }
    lowest = std::min(lowest, concurrency_limit.Limit());
  }
  BOOST_TEST(concurrency_limit.Limit() < 75);
  BOOST_TEST(lowest > 25);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace daisywinch::test
