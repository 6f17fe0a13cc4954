// What nodes believe of a run of a target that states that it leaves, on a
// clock that only advances explicitly.
#include <rapidcheck.h>

#include <cstdint>
#include <optional>
#include <string>

#include <boost/test/unit_test.hpp>

#include "state/leaving_runs.h"
#include "state/target_notices.h"

namespace daisywinch {

namespace {

using std::chrono::milliseconds;

const TimePoint kStart = TimePoint(std::chrono::hours(1));
constexpr char kId[] = "i-1";

MeshTarget MakeRecord(std::int64_t born) {
  MeshTarget target;
  target.id = kId;
  target.address = {"10.0.0.1", 9000};
  target.born = born;
  return target;
}

/// A target and its gate, as an ingress meets them. Responses of a run that
/// leaves say so, but not those to health checks, nor broken ones.
class LeavingModel {
 public:
  LeavingModel() { this->RegisterRun(); }

  void Step() {
    this->now += milliseconds(*rc::gen::inRange(0, 3000));
    switch (*rc::gen::inRange(0, 9)) {
      case 0:
        // A run that isn't registered is not told apart from the one before.
        this->run_leaves |= this->registered_born == this->born;
        break;
      case 1:
        this->RestartTarget();
        break;
      case 2:
        this->RestartGate();
        break;
      case 3:
        this->RegisterRun();
        break;
      case 4:
        this->gate.RecordPossibleRestart(this->now);
        break;
      case 5:
        // A run that leaves isn't healthy, so the response is no proof.
        this->gate.Record({}, !this->run_leaves, this->now, this->now);
        break;
      case 6:
        // A broken response.
        this->gate.Record({}, false, this->now, this->now);
        break;
      default:
        this->Call();
    }
  }

 private:
  void RestartTarget() {
    ++this->born;
    this->run_leaves = false;
    this->gate.RecordPossibleRestart(this->now);
  }

  void RestartGate() {
    this->gate = TargetNotices();
    this->gate.UpdateRecord(MakeRecord(this->registered_born));
  }

  void RegisterRun() {
    this->registered_born = this->born;
    this->gate.UpdateRecord(MakeRecord(this->born));
  }

  /// Sends a call, if the ingress chooses the target, to the gate and from
  /// there to the target.
  void Call() {
    const MeshTarget target = MakeRecord(this->registered_born);
    const bool is_leaving = this->ingress.IsLeaving(target);
    if (is_leaving && !this->ingress.IsCheckDue(target, this->now)) {
      return;
    }
    if (is_leaving) {
      this->ingress.RecordCheck(target, this->now);
      this->gate.RecordReport(target.born, this->now);
    }
    if (this->gate.IsLeaving()) {
      this->ingress.RecordLeaving(kId, target.born, this->now);
      return;
    }
    if (this->gate.HasRunEnded()) {
      this->ingress.RecordEnd(kId, target.born);
    }
    RC_ASSERT(this->passed_on_born != this->born);
    this->gate.Record({std::nullopt, this->run_leaves}, true, this->now,
                      this->now);
    // The reply may be lost, and with it what it states.
    const bool is_passed_on = *rc::gen::inRange(0, 4) > 0;
    if (this->run_leaves && is_passed_on) {
      this->ingress.RecordLeaving(kId, target.born, this->now);
      this->passed_on_born = this->born;
    }
  }

  TimePoint now = kStart;
  /// Start of the run that the target's process is, and of the one in its
  /// record.
  std::int64_t born = 1;
  std::int64_t registered_born = 1;
  bool run_leaves = false;
  TargetNotices gate;
  LeavingRuns ingress;
  /// The run of which the ingress has passed on a response that states that it
  /// leaves.
  std::optional<std::int64_t> passed_on_born;
};

}  // namespace

BOOST_AUTO_TEST_SUITE(leaving_runs)

// Guards against a target that leaves and gets requests again, after a restart
// of its gate, a response that doesn't state it, or some time.
BOOST_AUTO_TEST_CASE(run_that_leaves_gets_no_requests_whatever_is_lost) {
  const bool holds = rc::check([] {
    LeavingModel model;
    for (int step = 0; step < 200; ++step) {
      model.Step();
    }
  });
  BOOST_TEST(holds);
}

// Guards against a target that is out of use for good, because it restarted
// while the store was away.
BOOST_AUTO_TEST_CASE(run_ends_with_a_restart_that_the_gate_observes) {
  TargetNotices gate;
  gate.UpdateRecord(MakeRecord(5));
  gate.Record({std::nullopt, true}, true, kStart, kStart);
  const TimePoint restart = kStart + milliseconds(500);
  // Without a sign of a restart, no response shows that the run has ended.
  gate.Record({}, true, restart, restart);
  BOOST_TEST(gate.IsLeaving());
  gate.RecordPossibleRestart(restart);
  gate.Record({}, true, kStart + milliseconds(400), restart);
  gate.Record({}, false, restart, restart);
  BOOST_TEST(gate.IsLeaving());
  BOOST_TEST(!gate.HasRunEnded());
  gate.Record({}, true, restart, restart);
  BOOST_TEST(!gate.IsLeaving());
  BOOST_TEST(gate.HasRunEnded());
  // Other nodes still know the run before.
  gate.RecordReport(5, restart);
  BOOST_TEST(!gate.IsLeaving());
  gate.RecordReport(6, restart);
  BOOST_TEST(gate.IsLeaving());
}

BOOST_AUTO_TEST_CASE(later_run_of_a_target_does_not_leave) {
  LeavingRuns runs;
  BOOST_TEST(runs.RecordLeaving(kId, 5, kStart));
  BOOST_TEST(!runs.RecordLeaving(kId, 5, kStart));
  BOOST_TEST(!runs.RecordLeaving(kId, 4, kStart));
  BOOST_TEST(runs.IsLeaving(MakeRecord(4)));
  BOOST_TEST(runs.IsLeaving(MakeRecord(5)));
  BOOST_TEST(!runs.IsLeaving(MakeRecord(6)));
  BOOST_TEST(!runs.RecordEnd(kId, 4));
  BOOST_TEST(runs.RecordEnd(kId, 5));
  BOOST_TEST(!runs.IsLeaving(MakeRecord(5)));
}

// The memory of runs doesn't grow without bound.
BOOST_AUTO_TEST_CASE(oldest_run_is_forgotten_first) {
  LeavingRuns runs;
  runs.RecordLeaving(kId, 5, kStart);
  for (int other = 0; other < 4095; ++other) {
    runs.RecordLeaving("other-" + std::to_string(other), 1, kStart);
  }
  BOOST_TEST(runs.IsLeaving(MakeRecord(5)));
  runs.RecordLeaving("other", 1, kStart);
  BOOST_TEST(!runs.IsLeaving(MakeRecord(5)));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace daisywinch
