// Decisions of the mesh interface, with a clock that only advances explicitly.
#include <algorithm>
#include <cmath>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include <boost/test/unit_test.hpp>

#include "state/cold_state_tracker.h"
#include "state/duration.h"
#include "state/mesh_load_balancer.h"
#include "state/mesh_view.h"
#include "state/return_schedule.h"
#include "state/slot_queue.h"
#include "state/target_notices.h"
#include "state/target_rate_limiter.h"
#include "state/weighted_service_chooser.h"

namespace daisywinch {

namespace {

using std::chrono::milliseconds;

const TimePoint kStart = TimePoint(std::chrono::hours(1));

MeshTarget MakeTarget(const std::string& id, const std::string& data_centre) {
  MeshTarget target;
  target.id = id;
  target.address = {"10.0.0." + id.substr(2), 9000};
  target.service = "front";
  target.data_centre = data_centre;
  target.slots = 40;
  return target;
}

std::shared_ptr<const MeshView> MakeView(const std::vector<MeshTarget>& list,
                                         std::set<std::string> evacuated = {}) {
  std::map<std::string, MeshTarget> targets;
  for (const MeshTarget& target : list) {
    targets[target.id] = target;
  }
  return std::make_shared<const MeshView>(nullptr, targets, evacuated);
}

/// Counts the calls that each target receives; the calls don't end.
std::map<std::string, int> ChooseMany(MeshLoadBalancer& balancer,
                                      const MeshView& view,
                                      int calls,
                                      Duration objective) {
  std::map<std::string, int> counts;
  for (int call = 0; call < calls; ++call) {
    const MeshTarget* target =
        balancer.Choose(view, "front", {}, objective, kStart);
    balancer.CallStarted(target->id);
    ++counts[target->id];
  }
  return counts;
}

}  // namespace

BOOST_AUTO_TEST_SUITE(mesh_decisions)

BOOST_AUTO_TEST_CASE(durations_are_parsed_with_their_unit) {
  BOOST_TEST((ParseDuration("1500ms") == milliseconds(1500)));
  BOOST_TEST((ParseDuration("2.5s") == milliseconds(2500)));
  for (const char* text : {"", "ms", "5", "-1s", "1e99s", "nans", "1 s"}) {
    BOOST_TEST(!ParseDuration(text).has_value());
  }
}

BOOST_AUTO_TEST_CASE(requests_are_split_exactly_by_weight) {
  MeshRoute route;
  route.name = "look";
  route.traffic_split = {{"a", 70}, {"b", 20}, {"c", 10}};
  WeightedServiceChooser splitter;
  std::map<std::string, int> counts;
  for (int request = 1; request <= 1000; ++request) {
    ++counts[splitter.Choose(route)];
    BOOST_TEST(std::abs(counts["a"] - 0.7 * request) <= 1.01);
    BOOST_TEST(std::abs(counts["b"] - 0.2 * request) <= 1.01);
  }
  route.traffic_split = {{"b", 1}};
  BOOST_TEST(splitter.Choose(route) == "b");
}

BOOST_AUTO_TEST_CASE(rate_limit_holds_in_any_second) {
  for (const double rate : {1.0, 2.7, 9.5, 16.0, 113.9}) {
    TargetRateLimiter limiter;
    limiter.SetRate(rate);
    std::vector<TimePoint> sent;
    for (TimePoint now = kStart; now < kStart + std::chrono::seconds(4);
         now += milliseconds(3)) {
      if (limiter.CanSend(now)) {
        limiter.RecordSent(now);
        sent.push_back(now);
      }
    }
    const std::size_t in_a_second =
        static_cast<std::size_t>(std::max(1.0, std::ceil(rate)));
    for (std::size_t first = 0; first + in_a_second < sent.size(); ++first) {
      BOOST_TEST(
          (sent[first + in_a_second] - sent[first] >= std::chrono::seconds(1)));
    }
    BOOST_TEST(static_cast<double>(sent.size()) >= 0.9 * 4 * rate);
  }
}

BOOST_AUTO_TEST_CASE(rate_limit_below_one_request_per_second_holds) {
  TargetRateLimiter limiter;
  limiter.SetRate(0.25);
  BOOST_TEST(limiter.CanSend(kStart));
  limiter.RecordSent(kStart);
  BOOST_TEST(!limiter.CanSend(kStart + std::chrono::seconds(4)));
  BOOST_TEST(limiter.CanSend(kStart + std::chrono::seconds(5)));
  limiter.SetRate(0);
  BOOST_TEST(!limiter.CanSend(kStart + std::chrono::hours(1)));
  limiter.SetRate(std::nullopt);
  BOOST_TEST(limiter.CanSend(kStart));
}

BOOST_AUTO_TEST_CASE(send_delay_is_the_time_until_the_request_can_be_sent) {
  TargetRateLimiter limiter;
  limiter.SetRate(1);
  BOOST_TEST((limiter.SendDelay(0, kStart) == Duration::zero()));
  limiter.RecordSent(kStart);
  const Duration delay = limiter.SendDelay(0, kStart);
  BOOST_TEST((delay > std::chrono::seconds(1)));
  BOOST_TEST(limiter.CanSend(kStart + delay));
  // Requests that wait are sent first, and requests before a limit count.
  limiter.SetRate(10);
  for (int request = 0; request < 25; ++request) {
    limiter.RecordSent(kStart + milliseconds(request));
  }
  for (const std::size_t waiting : {0, 3, 9, 10, 35}) {
    const TimePoint arrival = kStart + milliseconds(100);
    TargetRateLimiter replayed = limiter;
    TimePoint now = arrival;
    for (std::size_t sent = 0; sent <= waiting; now += milliseconds(1)) {
      if (replayed.CanSend(now)) {
        replayed.RecordSent(now);
        ++sent;
      }
    }
    const Duration expected = now - milliseconds(1) - arrival;
    const Duration actual = limiter.SendDelay(waiting, arrival);
    BOOST_TEST((actual <= expected));
    BOOST_TEST((actual + milliseconds(5) >= expected));
  }
}

BOOST_AUTO_TEST_CASE(rate_that_a_target_states_holds_until_a_later_response) {
  TargetNotices notices;
  MeshTarget target = MakeTarget("i-1", "east");
  target.born = 5;
  notices.UpdateRecord(target);
  notices.Record({12.5, false}, true, kStart, kStart + milliseconds(50));
  // The response to an earlier request was delayed.
  notices.Record({}, true, kStart + milliseconds(20),
                 kStart + milliseconds(60));
  BOOST_TEST(notices.MaxRate().value_or(0) == 12.5);
  BOOST_TEST(!notices.NeedsCheck(kStart + milliseconds(500)));
  BOOST_TEST(notices.NeedsCheck(kStart + milliseconds(1100)));
  notices.Record({}, true, kStart + milliseconds(70),
                 kStart + milliseconds(80));
  BOOST_TEST(!notices.MaxRate().has_value());
}

BOOST_AUTO_TEST_CASE(statement_of_a_target_ends_with_its_run) {
  TargetNotices notices;
  MeshTarget target = MakeTarget("i-1", "east");
  notices.UpdateRecord(target);
  notices.Record({3.0, true}, true, kStart, kStart);
  target.sequence = 9;
  notices.UpdateRecord(target);
  BOOST_TEST(notices.IsLeaving());
  target.born = 77;
  notices.UpdateRecord(target);
  BOOST_TEST(!notices.IsLeaving());
  BOOST_TEST(!notices.MaxRate().has_value());
}

// Guards against a target that leaves and gets requests as soon as its gate has
// restarted, or is believed to leave when it has restarted itself.
BOOST_AUTO_TEST_CASE(run_that_leaves_gets_no_calls) {
  MeshTarget first = MakeTarget("i-1", "east");
  first.born = 5;
  const MeshTarget second = MakeTarget("i-2", "west");
  MeshLoadBalancer balancer("east", 1);
  balancer.Leaving().RecordLeaving("i-1", 5, kStart);
  BOOST_TEST(ChooseMany(balancer, *MakeView({first, second}), 500,
                        milliseconds(500))["i-1"] == 0);
  BOOST_TEST(balancer.Choose(*MakeView({first}), "front", {}, milliseconds(500),
                             kStart) == nullptr);
  first.born = 6;
  BOOST_TEST(ChooseMany(balancer, *MakeView({first, second}), 100,
                        milliseconds(500))["i-1"] > 0);
}

// Guards against a target that leaves slowly and gets requests again after some
// time. The only calls that it may get ask its gate, which refuses them.
BOOST_AUTO_TEST_CASE(gate_of_a_run_that_leaves_is_asked_now_and_then) {
  MeshTarget target = MakeTarget("i-1", "east");
  target.born = 5;
  const std::shared_ptr<const MeshView> view = MakeView({target});
  MeshLoadBalancer balancer("east", 1);
  balancer.Leaving().RecordLeaving("i-1", 5, kStart);
  int count = 0;
  for (TimePoint now = kStart; now < kStart + std::chrono::seconds(60);
       now += milliseconds(10)) {
    const bool is_chosen =
        balancer.Choose(*view, "front", {}, milliseconds(500), now) != nullptr;
    count += is_chosen ? 1 : 0;
    BOOST_TEST(balancer.Leaving().IsLeaving(target));
  }
  BOOST_TEST(count > 0);
  BOOST_TEST(count <= 12);
  BOOST_TEST(balancer.Leaving().RecordEnd("i-1", 5));
  BOOST_TEST(balancer.Choose(*view, "front", {}, milliseconds(500), kStart) !=
             nullptr);
}

BOOST_AUTO_TEST_CASE(calls_go_elsewhere_while_a_rate_limit_delays_them) {
  const std::shared_ptr<const MeshView> view =
      MakeView({MakeTarget("i-1", "east"), MakeTarget("i-2", "west")});
  MeshLoadBalancer balancer("east", 1);
  TargetLoad load;
  load.limit = 38;
  load.service_time = milliseconds(100);
  balancer.RecordLoad("i-2", load, kStart);
  load.max_rate = 10;
  balancer.RecordLoad("i-1", load, kStart);
  // One call fits, the next one would have to wait.
  BOOST_TEST(
      balancer.Choose(*view, "front", {}, milliseconds(500), kStart)->id ==
      "i-1");
  load.pacing_delay = milliseconds(400);
  balancer.RecordLoad("i-1", load, kStart);
  std::map<std::string, int> counts =
      ChooseMany(balancer, *view, 20, milliseconds(500));
  BOOST_TEST(counts["i-1"] <= 2);
}

/// Ids of the queued requests in the order in which they start.
std::vector<std::uint64_t> TakeAll(SlotQueue& queue, TimePoint now) {
  std::vector<std::uint64_t> order;
  std::vector<std::uint64_t> expired;
  while (const std::optional<std::uint64_t> id = queue.Next(now, expired)) {
    order.push_back(*id);
  }
  BOOST_TEST(expired.empty());
  return order;
}

BOOST_AUTO_TEST_CASE(queue_orders_by_priority_and_then_by_objective) {
  SlotQueue queue(10);
  const TimePoint later = kStart + std::chrono::seconds(1);
  const auto tree = [](std::uint32_t priority, int milliseconds_left) {
    return CallTree{priority, kStart + milliseconds(milliseconds_left)};
  };
  queue.Add({1, true, tree(2, 500), later}, kStart);
  queue.Add({2, true, tree(0, 500), later}, kStart);
  queue.Add({3, false, tree(2, 500), later}, kStart);
  queue.Add({4, true, tree(0, 500), later}, kStart);
  queue.Add({5, true, tree(2, 200), later}, kStart);
  queue.Add({6, true, tree(0, -1), later}, kStart);
  queue.Add({7, false, tree(0, -9), later}, kStart);
  BOOST_TEST((TakeAll(queue, kStart) ==
              std::vector<std::uint64_t>{2, 4, 7, 6, 5, 3, 1}));
}

// Roots with a short objective waited behind the nested calls of trees that had
// seconds left.
BOOST_AUTO_TEST_CASE(short_objective_precedes_nested_calls_of_long_ones) {
  SlotQueue queue(100);
  const TimePoint later = kStart + std::chrono::seconds(1);
  for (std::uint64_t id = 0; id < 50; ++id) {
    queue.Add({id, false, {1, kStart + milliseconds(1500)}, later}, kStart);
  }
  queue.Add({99, true, {1, kStart + milliseconds(250)}, later}, kStart);
  std::vector<std::uint64_t> expired;
  BOOST_TEST((queue.Next(kStart, expired) == 99U));
}

// A call that misses its objective while it waits would otherwise delay those
// that can still meet theirs.
BOOST_AUTO_TEST_CASE(call_that_misses_its_objective_in_the_queue_is_last) {
  SlotQueue queue(10);
  const TimePoint later = kStart + std::chrono::seconds(1);
  queue.Add({1, true, {1, kStart + milliseconds(10)}, later}, kStart);
  queue.Add({2, true, {1, kStart + milliseconds(900)}, later}, kStart);
  queue.Add({3, true, {2, kStart + milliseconds(900)}, later}, kStart);
  BOOST_TEST((TakeAll(queue, kStart + milliseconds(20)) ==
              std::vector<std::uint64_t>{2, 1, 3}));
}

BOOST_AUTO_TEST_CASE(full_queue_rejects_the_last_and_drops_expired_requests) {
  SlotQueue queue(1);
  const TimePoint soon = kStart + milliseconds(10);
  const CallTree urgent = {0, kStart + milliseconds(500)};
  const CallTree other = {2, kStart + milliseconds(500)};
  BOOST_TEST(!queue.Add({1, true, urgent, soon}, kStart).has_value());
  BOOST_TEST((queue.Add({2, true, other, soon}, kStart) == 2U));
  BOOST_TEST((queue.Add({3, false, urgent, soon}, kStart) == 1U));
  std::vector<std::uint64_t> expired;
  BOOST_TEST(!queue.Next(kStart + milliseconds(20), expired).has_value());
  BOOST_TEST((expired == std::vector<std::uint64_t>{3}));
}

BOOST_AUTO_TEST_CASE(leaving_evacuated_and_replaced_targets_are_not_usable) {
  MeshTarget leaving = MakeTarget("t-1", "east");
  leaving.leaving = true;
  MeshTarget old_run = MakeTarget("t-2", "east");
  MeshTarget new_run = MakeTarget("t-3", "east");
  new_run.address = old_run.address;
  new_run.born = old_run.born + 1;
  const std::shared_ptr<const MeshView> view = MakeView(
      {leaving, old_run, new_run, MakeTarget("t-4", "west")}, {"west"});
  BOOST_REQUIRE(view->UsableTargets("front").size() == 1);
  BOOST_TEST(view->UsableTargets("front").front()->id == "t-3");
  BOOST_TEST(view->UsableTargets("back").empty());
}

// Guards against calls that queue three deep for each slot of a local target
// while a target in another data centre is idle.
BOOST_AUTO_TEST_CASE(calls_spill_over_before_they_queue) {
  MeshLoadBalancer balancer("east", 1);
  const std::shared_ptr<const MeshView> view =
      MakeView({MakeTarget("t-1", "east"), MakeTarget("t-2", "west")});
  std::map<std::string, int> counts =
      ChooseMany(balancer, *view, 30, milliseconds(300));
  BOOST_TEST(counts["t-1"] >= 28);
  counts = ChooseMany(balancer, *view, 40, milliseconds(300));
  BOOST_TEST(counts["t-2"] >= 26);
}

BOOST_AUTO_TEST_CASE(unreachable_target_is_avoided_during_backoff) {
  MeshLoadBalancer balancer("east", 1);
  const std::shared_ptr<const MeshView> view =
      MakeView({MakeTarget("t-1", "east"), MakeTarget("t-2", "west")});
  balancer.CallStarted("t-1");
  balancer.CallEnded("t-1", GateResult::kUnreachable, kStart);
  for (int call = 0; call < 50; ++call) {
    BOOST_TEST(
        balancer.Choose(*view, "front", {}, milliseconds(300), kStart)->id ==
        "t-2");
  }
  const TimePoint later = kStart + std::chrono::seconds(20);
  BOOST_TEST(
      balancer.Choose(*view, "front", {"t-2"}, milliseconds(300), later)->id ==
      "t-1");
  BOOST_TEST(balancer.Choose(*view, "front", {"t-1", "t-2"}, milliseconds(300),
                             later) == nullptr);
}

BOOST_AUTO_TEST_CASE(every_target_is_explored) {
  MeshLoadBalancer balancer("east", 1);
  const std::shared_ptr<const MeshView> view =
      MakeView({MakeTarget("t-1", "east"), MakeTarget("t-2", "west")});
  int remote = 0;
  for (int call = 0; call < 2000; ++call) {
    const MeshTarget* target =
        balancer.Choose(*view, "front", {}, milliseconds(1000), kStart);
    remote += target->id == "t-2" ? 1 : 0;
  }
  BOOST_TEST(remote > 0);
  BOOST_TEST(remote < 60);
}

BOOST_AUTO_TEST_CASE(unknown_targets_are_cold_until_the_health_check) {
  ColdStateTracker tracker;
  MeshTarget record = MakeTarget("t-1", "east");
  record.born = 1;
  tracker.UpdateRecord(record, kStart);
  BOOST_TEST(tracker.IsCold(kStart));
  BOOST_TEST(tracker.NeedsCheck());
  tracker.RecordHealth(milliseconds(500), kStart);
  BOOST_TEST(tracker.IsCold(kStart + milliseconds(499)));
  BOOST_TEST(!tracker.IsCold(kStart + milliseconds(500)));
  // The same id, but a restarted target.
  record.born = 2;
  tracker.UpdateRecord(record, kStart + milliseconds(600));
  BOOST_TEST(tracker.IsCold(kStart + milliseconds(600)));
  tracker.RecordHealth(Duration::zero(), kStart + milliseconds(700));
  BOOST_TEST(!tracker.IsCold(kStart + milliseconds(700)));
  // The record says that the target is cold again.
  record.cold_left = milliseconds(900);
  tracker.UpdateRecord(record, kStart + milliseconds(800));
  BOOST_TEST(tracker.IsCold(kStart + milliseconds(1600)));
}

// Guards against a restarted target that counts as warm because the only sign
// was the loss of a response.
BOOST_AUTO_TEST_CASE(target_that_lost_a_response_is_cold_until_checked) {
  ColdStateTracker tracker;
  MeshTarget record = MakeTarget("t-1", "east");
  record.born = 1;
  tracker.UpdateRecord(record, kStart);
  tracker.RecordHealth(Duration::zero(), kStart);
  BOOST_TEST(!tracker.IsCold(kStart));
  tracker.RecordLostResponse(kStart + milliseconds(1));
  BOOST_TEST(tracker.IsCold(kStart + milliseconds(1)));
  BOOST_TEST(tracker.NeedsCheck());
  tracker.RecordHealth(Duration::zero(), kStart + milliseconds(2));
  BOOST_TEST(!tracker.IsCold(kStart + milliseconds(2)));
}

BOOST_AUTO_TEST_CASE(callers_return_late_but_within_the_objective) {
  ReturnSchedule schedule(1);
  const RootClass root_class = {"look", 2};
  constexpr milliseconds kObjective{2000};
  constexpr milliseconds kElapsed{100};
  constexpr milliseconds kTime{700};
  for (int request = 0; request < 50; ++request) {
    schedule.RecordServed(root_class, kTime);
  }
  Duration shortest = kObjective;
  Duration longest = Duration::zero();
  for (int refusal = 0; refusal < 200; ++refusal) {
    const Duration delay = schedule.DelayFor(root_class, kObjective, kElapsed);
    shortest = std::min(shortest, delay);
    longest = std::max(longest, delay);
  }
  BOOST_TEST((kElapsed + longest + kTime <= kObjective));
  // Later than half of the time that is left for a return, and spread.
  BOOST_TEST((shortest >= (kObjective - kElapsed - kTime) / 2));
  BOOST_TEST((longest - shortest >= milliseconds(200)));
}

// Customers just over their rate were told to return as late as after a burst,
// and were answered after the objective on a calm day.
BOOST_AUTO_TEST_CASE(customers_over_their_rate_return_early) {
  ReturnSchedule schedule(1);
  const RootClass root_class = {"look", 2};
  constexpr milliseconds kObjective{2000};
  schedule.RecordServed(root_class, milliseconds(300));
  for (int refusal = 0; refusal < 200; ++refusal) {
    const Duration delay = schedule.DelayOverRate(kObjective);
    BOOST_TEST((delay > Duration::zero()));
    BOOST_TEST((delay <= kObjective / 2));
  }
}

BOOST_AUTO_TEST_CASE(callers_of_an_unknown_class_return_within_the_objective) {
  ReturnSchedule schedule(1);
  for (int refusal = 0; refusal < 200; ++refusal) {
    const Duration delay =
        schedule.DelayFor({"look", 2}, milliseconds(500), milliseconds(1));
    BOOST_TEST((delay > Duration::zero()));
    BOOST_TEST((delay <= milliseconds(250)));
  }
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace daisywinch
