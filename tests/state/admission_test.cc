#include <boost/test/unit_test.hpp>

#include "state/admission_level.h"
#include "state/admission_queue.h"
#include "state/fair_share.h"
#include "support/fake_clock.h"

namespace daisywinch::test {

namespace {

using Ids = std::vector<std::uint64_t>;

struct QueueFixture {
  QueueFixture() : queue(shares) { this->queue.SetCapacity(4); }

  Ids Add(std::uint64_t id,
          RequestClass request_class,
          const std::string& customer = "school",
          Duration time_left = std::chrono::seconds(1)) {
    const TimePoint now = this->clock.Now();
    return this->queue.Add({id, request_class, customer, now, now + time_left},
                           now);
  }

  std::uint64_t Next() {
    return this->queue.Next(this->clock.Now(), this->expired).value_or(0);
  }

  FakeClock clock;
  FairShare shares;
  AdmissionQueue queue;
  Ids expired;
};

constexpr RequestClass kImportant = RequestClass::kImportant;
constexpr RequestClass kNormal = RequestClass::kNormal;
constexpr RequestClass kBackground = RequestClass::kBackground;

}  // namespace

BOOST_FIXTURE_TEST_SUITE(admission, QueueFixture)

BOOST_AUTO_TEST_CASE(most_important_class_starts_first) {
  this->Add(1, kBackground);
  this->Add(2, kNormal);
  this->Add(3, kImportant);
  BOOST_TEST(this->Next() == 3);
  BOOST_TEST(this->Next() == 2);
  BOOST_TEST(this->Next() == 1);
  BOOST_TEST(this->Next() == 0);
}

BOOST_AUTO_TEST_CASE(important_work_is_shed_last) {
  this->Add(1, kImportant);
  this->Add(2, kNormal);
  this->Add(3, kImportant);
  this->Add(4, kBackground);
  BOOST_TEST((this->Add(5, kImportant) == Ids{4}));
  BOOST_TEST((this->Add(6, kImportant) == Ids{2}));
  // The new request is less important than all queued ones.
  BOOST_TEST((this->Add(7, kNormal) == Ids{7}));
  BOOST_TEST((this->Add(8, kImportant) == Ids{1}));
}

BOOST_AUTO_TEST_CASE(customer_furthest_over_its_share_is_shed) {
  const TimePoint now = this->clock.Now();
  this->shares.SetWeight("school", 10);
  this->shares.SetWeight("clinic", 100);
  this->shares.AddUsage("school", 50, now);
  this->shares.AddUsage("clinic", 100, now);
  this->Add(1, kNormal, "clinic");
  this->Add(2, kNormal, "school");
  this->Add(3, kNormal, "clinic");
  this->Add(4, kNormal, "clinic");
  BOOST_TEST((this->Add(5, kNormal, "clinic") == Ids{2}));
  BOOST_TEST(!this->shares.IsUnderShare("school", now));
  BOOST_TEST(this->shares.IsUnderShare("clinic", now));
}

BOOST_AUTO_TEST_CASE(customer_that_used_least_starts_first) {
  this->shares.SetWeight("school", 10);
  this->shares.SetWeight("clinic", 10);
  this->shares.AddUsage("school", 5, this->clock.Now());
  this->Add(1, kNormal, "school");
  this->Add(2, kNormal, "clinic");
  BOOST_TEST(this->Next() == 2);
}

BOOST_AUTO_TEST_CASE(usage_decays_over_time) {
  this->shares.SetWeight("school", 10);
  this->shares.AddUsage("school", 500, this->clock.Now());
  this->clock.Advance(std::chrono::seconds(20));
  BOOST_TEST(this->shares.NormalizedUsage("school", this->clock.Now()) < 1e-3);
}

BOOST_AUTO_TEST_CASE(request_past_its_start_deadline_is_not_started) {
  this->Add(1, kImportant, "school", std::chrono::milliseconds(10));
  this->Add(2, kBackground);
  this->clock.Advance(std::chrono::milliseconds(11));
  BOOST_TEST(this->Next() == 2);
  BOOST_TEST((this->expired == Ids{1}));
}

BOOST_AUTO_TEST_CASE(standing_queue_starts_the_newest_and_sheds_the_old) {
  this->Add(1, kNormal);
  this->clock.Advance(std::chrono::milliseconds(150));
  this->Add(2, kNormal);
  this->Add(3, kNormal);
  BOOST_TEST(this->Next() == 3);
  this->clock.Advance(std::chrono::milliseconds(60));
  BOOST_TEST(this->Next() == 2);
  BOOST_TEST((this->expired == Ids{1}));
}

BOOST_AUTO_TEST_CASE(short_queue_is_first_in_first_out) {
  this->Add(1, kNormal);
  this->Add(2, kNormal);
  BOOST_TEST(this->Next() == 1);
  this->queue.Remove(2);
  BOOST_TEST(this->queue.Size() == 0);
}

BOOST_AUTO_TEST_CASE(level_converges_to_the_capacity) {
  // The offered load is three times the capacity; the ingress sends the
  // admitted fraction of it.
  AdmissionLevel level;
  constexpr int kOffered = 300;
  constexpr int kCapacity = 100;
  for (int round = 0; round < 200; ++round) {
    const int sent = static_cast<int>(
        kOffered * AdmissionProbability(level.Level(), kBackground));
    for (int call = 0; call < sent; ++call) {
      level.RecordOffered(kBackground, this->clock.Now());
      if (call >= kCapacity) {
        level.RecordShed(kBackground, this->clock.Now());
      }
    }
    if (sent < kCapacity) {
      level.RecordIdle(this->clock.Now());
    }
    this->clock.Advance(std::chrono::milliseconds(60));
  }
  const double probability = AdmissionProbability(level.Level(), kBackground);
  BOOST_TEST(probability > 0.28);
  BOOST_TEST(probability < 0.45);
  BOOST_TEST(AdmissionProbability(level.Level(), kNormal) == 1.0);
}

BOOST_AUTO_TEST_CASE(class_that_is_not_shed_stays_admitted) {
  AdmissionLevel level;
  for (int round = 0; round < 200; ++round) {
    level.RecordOffered(kNormal, this->clock.Now());
    level.RecordShed(kNormal, this->clock.Now());
    this->clock.Advance(std::chrono::milliseconds(60));
  }
  BOOST_TEST(AdmissionProbability(level.Level(), kBackground) == 0.0);
  BOOST_TEST(AdmissionProbability(level.Level(), kNormal) < 0.1);
  BOOST_TEST(AdmissionProbability(level.Level(), kNormal) > 0.0);
  BOOST_TEST(AdmissionProbability(level.Level(), kImportant) == 1.0);
}

BOOST_AUTO_TEST_CASE(important_class_recovers_while_background_is_shed) {
  AdmissionLevel level;
  level.RecordOffered(kImportant, this->clock.Now());
  for (int round = 0; round < 30; ++round) {
    level.RecordShed(kImportant, this->clock.Now());
    this->clock.Advance(std::chrono::milliseconds(60));
  }
  BOOST_TEST(AdmissionProbability(level.Level(), kImportant) < 1.0);
  for (int round = 0; round < 70; ++round) {
    level.RecordOffered(kBackground, this->clock.Now());
    level.RecordShed(kBackground, this->clock.Now());
    this->clock.Advance(std::chrono::milliseconds(60));
  }
  BOOST_TEST(AdmissionProbability(level.Level(), kImportant) == 1.0);
}

BOOST_AUTO_TEST_CASE(level_recovers_when_idle) {
  AdmissionLevel level;
  for (int round = 0; round < 200; ++round) {
    level.RecordOffered(kImportant, this->clock.Now());
    level.RecordShed(kImportant, this->clock.Now());
    this->clock.Advance(std::chrono::milliseconds(60));
  }
  BOOST_TEST(level.Level() < 0.2);
  for (int round = 0; round < 70; ++round) {
    level.RecordIdle(this->clock.Now());
    this->clock.Advance(std::chrono::milliseconds(60));
  }
  BOOST_TEST(level.Level() == AdmissionLevel::kMaxLevel);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace daisywinch::test
