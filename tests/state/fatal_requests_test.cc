// Tests how crashes of targets and the requests that cause them are recognized.
#include <set>
#include <string>

#include <boost/test/unit_test.hpp>

#include "state/crash_detector.h"
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

}  // namespace daisywinch
