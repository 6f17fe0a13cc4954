// Tests how crashes of targets and the requests that cause them are recognized.
#include <cstdint>
#include <random>
#include <set>
#include <string>
#include <utility>
#include <vector>

#include <boost/test/unit_test.hpp>

#include "state/crash_detector.h"
#include "state/fatal_requests.h"
#include "state/request_digest.h"

namespace daisywinch {

namespace {

using std::chrono::milliseconds;

const TimePoint kStart = TimePoint(std::chrono::hours(1));

MeshTarget MakeTarget(const std::string& id, const std::string& data_centre) {
  MeshTarget target;
  target.id = id;
  target.data_centre = data_centre;
  return target;
}

TargetCrash MakeCrash(std::uint64_t id, std::set<RequestDigest> running) {
  TargetCrash crash;
  crash.id = id;
  crash.running = std::move(running);
  return crash;
}

/// Exchanges the reports of two nodes.
void Exchange(FatalRequests& left, FatalRequests& right, TimePoint now) {
  right.Merge(left.MakeReport(now), now);
  left.Merge(right.MakeReport(now), now);
}

}  // namespace

BOOST_AUTO_TEST_SUITE(request_digest)

BOOST_AUTO_TEST_CASE(digest_depends_on_each_part_and_its_place) {
  BOOST_TEST(DigestOf({"GET", "/a"}) == DigestOf({"GET", "/a"}));
  BOOST_TEST(DigestOf({"GET", "/a"}) != DigestOf({"GET", "/b"}));
  BOOST_TEST(DigestOf({"GET", "/a"}) != DigestOf({"/a", "GET"}));
  BOOST_TEST(DigestOf({"GET/", "a"}) != DigestOf({"GET", "/a"}));
  BOOST_TEST(DigestOf({"GET", ""}) != DigestOf({"GET"}));
  BOOST_TEST(ToText(0x1f) == "000000000000001f");
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(crash_detector)

BOOST_AUTO_TEST_CASE(crash_is_lost_responses_and_a_refused_connection) {
  CrashDetector detector;
  BOOST_TEST(!detector.RecordProcessEnd(kStart));
  detector.RecordLostResponse(1, kStart, kStart + milliseconds(90));
  detector.RecordLostResponse(2, kStart + milliseconds(50),
                              kStart + milliseconds(90));
  BOOST_TEST(detector.RecordProcessEnd(kStart + milliseconds(100)));
  BOOST_TEST(!detector.RecordProcessEnd(kStart + milliseconds(110)));
  // Connections of the process may be closed a little later.
  detector.RecordLostResponse(3, kStart + milliseconds(60),
                              kStart + milliseconds(120));
  BOOST_TEST((detector.TakeCrash(kStart + milliseconds(150)) ==
              std::set<RequestDigest>{1, 2, 3}));
  detector.RecordLostResponse(4, kStart + milliseconds(70),
                              kStart + milliseconds(160));
  BOOST_TEST(!detector.RecordProcessEnd(kStart + milliseconds(200)));
}

// A response that was lost for another reason doesn't make a later restart of
// the target a crash.
BOOST_AUTO_TEST_CASE(lost_response_alone_is_no_crash) {
  CrashDetector detector;
  detector.RecordLostResponse(1, kStart, kStart + milliseconds(90));
  BOOST_TEST(!detector.RecordProcessEnd(kStart + std::chrono::seconds(3)));
}

BOOST_AUTO_TEST_CASE(record_of_another_run_shows_a_crash) {
  CrashDetector detector;
  MeshTarget target = MakeTarget("i-1", "east");
  target.born = 5;
  BOOST_TEST(!detector.UpdateRecord(target, kStart));
  detector.RecordLostResponse(1, kStart, kStart + milliseconds(90));
  target.sequence = 9;
  BOOST_TEST(!detector.UpdateRecord(target, kStart + milliseconds(200)));
  target.born = 6;
  BOOST_TEST(detector.UpdateRecord(target, kStart + milliseconds(900)));
}

BOOST_AUTO_TEST_CASE(requests_of_a_crash_are_bounded_to_the_last_ones) {
  CrashDetector detector;
  for (RequestDigest request = 1; request <= 300; ++request) {
    detector.RecordLostResponse(request, kStart + milliseconds(request),
                                kStart + milliseconds(400));
  }
  detector.RecordProcessEnd(kStart + milliseconds(400));
  const std::set<RequestDigest> running =
      detector.TakeCrash(kStart + milliseconds(450));
  BOOST_TEST(running.size() == 64);
  BOOST_TEST(*running.begin() == 237);
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(fatal_requests)

// Guards against one request that ends target after target.
BOOST_AUTO_TEST_CASE(request_that_ran_in_three_crashes_is_fatal) {
  FatalRequests requests;
  requests.RecordCrash(MakeCrash(1, {7, 20, 21}), kStart);
  requests.RecordCrash(MakeCrash(2, {7, 22}), kStart + milliseconds(100));
  BOOST_TEST(!requests.IsFatal(7, kStart + milliseconds(100)));
  requests.RecordCrash(MakeCrash(3, {7, 23, 24}), kStart + milliseconds(150));
  BOOST_TEST(requests.IsFatal(7, kStart + milliseconds(150)));
  BOOST_TEST(requests.Verdicts(kStart + milliseconds(150)).size() == 1);
}

// Requests that ran beside a fatal one are sent again at the same time, to the
// same target, and run beside it again.
BOOST_AUTO_TEST_CASE(request_that_was_sent_again_beside_a_fatal_one_is_not) {
  FatalRequests requests;
  requests.RecordCrash(MakeCrash(1, {7, 20, 21}), kStart);
  requests.RecordCrash(MakeCrash(2, {7, 20, 21}), kStart);
  requests.RecordCrash(MakeCrash(3, {7, 20, 22}), kStart);
  requests.RecordCrash(MakeCrash(4, {7, 23}), kStart);
  BOOST_TEST(requests.IsFatal(7, kStart));
  BOOST_TEST(!requests.IsFatal(20, kStart));
  // An answer of any target clears it.
  requests.RecordAnswered(20, kStart + milliseconds(300));
  BOOST_TEST(requests.CrashCount(20) == 0);
  BOOST_TEST(requests.IsFatal(7, kStart + milliseconds(300)));
}

// Several targets may lose power at the same time while each of them runs a
// request that many callers send.
BOOST_AUTO_TEST_CASE(popular_request_is_not_fatal_when_many_targets_crash) {
  FatalRequests local;
  FatalRequests remote;
  remote.RecordAnswered(50, kStart - milliseconds(200));
  for (std::uint64_t crash = 1; crash <= 5; ++crash) {
    local.RecordCrash(MakeCrash(crash, {50, 60 + crash}), kStart);
  }
  Exchange(local, remote, kStart + milliseconds(300));
  BOOST_TEST(!local.IsFatal(50, kStart + milliseconds(300)));
  BOOST_TEST(!remote.IsFatal(50, kStart + milliseconds(300)));
}

BOOST_AUTO_TEST_CASE(reports_are_merged_in_any_order_and_repeatedly) {
  std::vector<FatalRequests> nodes(4);
  for (std::size_t node = 0; node < 3; ++node) {
    nodes[node].RecordCrash(MakeCrash(node + 1, {7, 20 + node}), kStart);
  }
  TimePoint now = kStart;
  for (int round = 0; round < 3; ++round) {
    for (std::size_t node = 0; node + 1 < nodes.size(); ++node) {
      now += milliseconds(7);
      Exchange(nodes[node], nodes[node + 1], now);
    }
  }
  for (FatalRequests& node : nodes) {
    BOOST_TEST(node.IsFatal(7, now));
    BOOST_TEST(node.CrashCount(20) <= 1);
    // Nothing is new in what is known.
    BOOST_TEST(!node.Merge(nodes[0].MakeReport(now), now + milliseconds(3)));
  }
}

BOOST_AUTO_TEST_CASE(verdict_is_forgotten_and_renewed_by_one_crash) {
  FatalRequests requests;
  for (std::uint64_t crash = 1; crash <= 3; ++crash) {
    requests.RecordCrash(MakeCrash(crash, {7, 20 + crash}), kStart);
  }
  BOOST_TEST(requests.IsFatal(7, kStart + std::chrono::seconds(119)));
  const TimePoint later = kStart + std::chrono::seconds(121);
  BOOST_TEST(!requests.IsFatal(7, later));
  requests.RecordCrash(MakeCrash(4, {7, 30}), later);
  BOOST_TEST(requests.IsFatal(7, later));
  // A target has been repaired.
  const TimePoint repaired = later + std::chrono::seconds(121);
  requests.RecordAnswered(7, repaired);
  requests.RecordCrash(MakeCrash(5, {7, 31}), repaired);
  BOOST_TEST(!requests.IsFatal(7, repaired));
}

// Targets that crash for other reasons, one by one or all of a data centre,
// take random requests with them, some of which are sent again or are popular.
BOOST_AUTO_TEST_CASE(crashes_for_other_reasons_lead_to_no_verdict) {
  constexpr int kSeeds = 50;
  constexpr std::size_t kTargets = 6;
  for (int seed = 1; seed <= kSeeds; ++seed) {
    std::mt19937_64 random(seed);
    std::vector<FatalRequests> nodes(kTargets);
    std::vector<std::set<RequestDigest>> running(kTargets);
    RequestDigest next_digest = 1000;
    std::uint64_t next_crash = 1;
    std::vector<RequestDigest> sent_again;
    TimePoint now = kStart;
    for (int step = 0; step < 600; ++step, now += milliseconds(50)) {
      for (std::size_t target = 0; target < kTargets; ++target) {
        for (const RequestDigest digest : running[target]) {
          nodes[target].RecordAnswered(digest, now);
        }
        running[target].clear();
        for (int request = 0; request < 8; ++request) {
          const bool is_popular = random() % 4 == 0;
          running[target].insert(is_popular ? 1 + random() % 10
                                            : ++next_digest);
        }
      }
      for (const RequestDigest digest : sent_again) {
        running[random() % kTargets].insert(digest);
      }
      sent_again.clear();
      const bool is_data_centre = random() % 100 == 0;
      for (std::size_t target = 0; target < kTargets; ++target) {
        const bool is_crash =
            (is_data_centre && target < kTargets / 2) || random() % 100 == 0;
        if (is_crash) {
          sent_again.insert(sent_again.end(), running[target].begin(),
                            running[target].end());
          nodes[target].RecordCrash(MakeCrash(next_crash++, running[target]),
                                    now);
          running[target].clear();
        }
      }
      if (step % 10 == 0) {
        for (std::size_t target = 1; target < kTargets; ++target) {
          Exchange(nodes[0], nodes[target], now);
        }
        for (std::size_t target = 0; target < kTargets; ++target) {
          BOOST_TEST(nodes[target].Verdicts(now).empty());
        }
      }
    }
  }
}

BOOST_AUTO_TEST_CASE(memory_of_crashes_is_bounded) {
  FatalRequests requests;
  RequestDigest next_digest = 1;
  for (std::uint64_t crash = 1; crash <= 200; ++crash) {
    std::set<RequestDigest> running;
    for (int request = 0; request < 64; ++request) {
      running.insert(next_digest++);
    }
    requests.RecordCrash(MakeCrash(crash, running), kStart);
  }
  const CrashReport report = requests.MakeReport(kStart);
  std::size_t reported = 0;
  for (const TargetCrash& crash : report.crashes) {
    reported += crash.running.size();
  }
  BOOST_TEST(report.crashes.size() <= 16);
  BOOST_TEST(reported <= 512);
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace daisywinch
