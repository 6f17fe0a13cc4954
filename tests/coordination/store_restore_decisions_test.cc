// Decisions about a store that was restored from an older copy, with a clock
// that only advances explicitly.
#include <chrono>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

#include <boost/test/unit_test.hpp>

#include "coordination/mesh_directory.h"
#include "coordination/store_feed.h"
#include "state/store_position.h"

namespace daisywinch {

namespace {

using std::chrono::milliseconds;
using std::chrono::seconds;

const TimePoint kStart = TimePoint(std::chrono::hours(1));
/// Time in which operators and targets write their records again.
constexpr seconds kRewriteTime{2};
/// Time after which a record that a restored store still holds is valid.
constexpr seconds kHoldTime{10};

MeshTarget MakeTarget(std::uint64_t sequence, bool is_leaving = false) {
  MeshTarget target;
  target.id = "t-1";
  target.born = 1000;
  target.sequence = sequence;
  target.leaving = is_leaving;
  return target;
}

struct RestoreFixture {
  bool IsUsed() const {
    return this->directory.MakeView()->Targets().contains("t-1");
  }
  bool IsLeaving() const {
    return this->directory.MakeView()->Targets().at("t-1").leaving;
  }
  bool IsEvacuated() const { return this->directory.IsEvacuated("east"); }

  /// Applies a list of a new era that contains the given targets.
  void ApplyList(const std::vector<MeshTarget>& targets,
                 const StorePosition& position,
                 TimePoint now) {
    std::set<std::string> ids;
    for (const MeshTarget& target : targets) {
      ids.insert(target.id);
      this->directory.ApplyListedTarget(target, position, now);
    }
    this->directory.RetainTargets(ids, position, now);
  }

  MeshDirectory directory;
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(store_restore_targets, RestoreFixture)

BOOST_AUTO_TEST_CASE(target_that_the_copy_lacks_is_kept_until_it_writes_again) {
  this->directory.ApplyTarget(MakeTarget(3), {1, 90});
  this->directory.MarkStoreRestored(kStart);
  this->ApplyList({}, {2, 80}, kStart);
  BOOST_TEST(this->IsUsed());
  this->directory.ApplyTarget(MakeTarget(3), {2, 81});
  this->directory.ApplyOverdue(kStart + kHoldTime);
  BOOST_TEST(this->IsUsed());
}

BOOST_AUTO_TEST_CASE(target_that_the_copy_lacks_is_dropped_if_it_stays_silent) {
  this->directory.ApplyTarget(MakeTarget(3), {1, 90});
  this->directory.MarkStoreRestored(kStart);
  this->ApplyList({}, {2, 80}, kStart);
  BOOST_TEST(this->directory.ApplyOverdue(kStart + kRewriteTime));
  BOOST_TEST(!this->IsUsed());
}

BOOST_AUTO_TEST_CASE(removed_target_does_not_return_with_an_older_copy) {
  this->directory.ApplyTarget(MakeTarget(3), {1, 70});
  this->directory.ApplyTarget(MakeTarget(4, true), {1, 90});
  this->directory.RemoveTarget("t-1", {1, 95}, kStart);
  this->directory.MarkStoreRestored(kStart + seconds(1));
  this->ApplyList({MakeTarget(3)}, {2, 80}, kStart + seconds(1));
  BOOST_TEST(!this->IsUsed());
  // The record expires, as nobody renews it.
  this->directory.RemoveTarget("t-1", {2, 85}, kStart + seconds(6));
  this->directory.ApplyOverdue(kStart + seconds(1) + kHoldTime);
  BOOST_TEST(!this->IsUsed());
}

BOOST_AUTO_TEST_CASE(removed_target_stays_removed_when_a_list_is_read_twice) {
  this->directory.ApplyTarget(MakeTarget(3), {1, 70});
  this->directory.RemoveTarget("t-1", {1, 95}, kStart);
  this->directory.MarkStoreRestored(kStart);
  this->ApplyList({MakeTarget(3)}, {2, 80}, kStart);
  this->ApplyList({MakeTarget(3)}, {2, 82}, kStart + seconds(1));
  BOOST_TEST(!this->IsUsed());
  this->ApplyList({}, {2, 84}, kStart + seconds(2));
  this->directory.ApplyOverdue(kStart + kHoldTime);
  BOOST_TEST(!this->IsUsed());
}

// The record of an alive target changes only when its state changes, so no
// further change may ever be seen.
BOOST_AUTO_TEST_CASE(expired_target_returns_if_its_record_stays) {
  this->directory.ApplyTarget(MakeTarget(3), {1, 70});
  this->directory.RemoveTarget("t-1", {1, 95}, kStart);
  this->directory.MarkStoreRestored(kStart);
  this->ApplyList({MakeTarget(3)}, {2, 80}, kStart);
  this->ApplyList({MakeTarget(3)}, {2, 82}, kStart + seconds(9));
  BOOST_TEST(this->directory.ApplyOverdue(kStart + kHoldTime));
  BOOST_TEST(this->IsUsed());
}

BOOST_AUTO_TEST_CASE(expired_target_returns_when_it_writes_again) {
  this->directory.ApplyTarget(MakeTarget(3), {1, 70});
  this->directory.RemoveTarget("t-1", {1, 95}, kStart);
  this->directory.MarkStoreRestored(kStart);
  this->ApplyList({MakeTarget(3)}, {2, 80}, kStart);
  this->directory.ApplyTarget(MakeTarget(3), {2, 81});
  BOOST_TEST(this->IsUsed());
}

BOOST_AUTO_TEST_CASE(expired_target_that_wrote_before_the_list_returns) {
  this->directory.ApplyTarget(MakeTarget(3), {1, 70});
  this->directory.RemoveTarget("t-1", {1, 95}, kStart);
  this->directory.MarkStoreRestored(kStart);
  this->ApplyList({MakeTarget(4)}, {2, 81}, kStart);
  BOOST_TEST(this->IsUsed());
}

BOOST_AUTO_TEST_CASE(restarted_target_under_the_same_id_is_used) {
  this->directory.ApplyTarget(MakeTarget(30), {1, 70});
  this->directory.RemoveTarget("t-1", {1, 95}, kStart);
  this->directory.MarkStoreRestored(kStart);
  MeshTarget restarted = MakeTarget(1);
  restarted.born = 2000;
  this->ApplyList({restarted}, {2, 81}, kStart);
  BOOST_TEST(this->IsUsed());
}

BOOST_AUTO_TEST_CASE(leaving_target_stays_leaving_with_an_older_copy) {
  this->directory.ApplyTarget(MakeTarget(4, true), {1, 90});
  this->directory.MarkStoreRestored(kStart);
  this->ApplyList({MakeTarget(3)}, {2, 80}, kStart);
  BOOST_TEST(this->IsLeaving());
  this->directory.ApplyTarget(MakeTarget(5, true), {2, 82});
  this->directory.ApplyOverdue(kStart + kHoldTime);
  BOOST_TEST(this->IsLeaving());
}

BOOST_AUTO_TEST_CASE(leaving_target_that_states_it_is_ready_again_is_ready) {
  this->directory.ApplyTarget(MakeTarget(4, true), {1, 90});
  this->directory.MarkStoreRestored(kStart);
  this->ApplyList({MakeTarget(3)}, {2, 80}, kStart);
  this->directory.ApplyTarget(MakeTarget(5), {2, 82});
  BOOST_TEST(!this->IsLeaving());
}

// Revisions of the old era don't count in the new one.
BOOST_AUTO_TEST_CASE(removal_in_the_new_era_at_a_lower_revision_is_applied) {
  this->directory.ApplyTarget(MakeTarget(3), {1, 90});
  this->directory.MarkStoreRestored(kStart);
  this->ApplyList({MakeTarget(3)}, {2, 50}, kStart);
  this->directory.RemoveTarget("t-1", {2, 51}, kStart + kRewriteTime);
  BOOST_TEST(!this->IsUsed());
}

BOOST_AUTO_TEST_CASE(each_of_two_restorations_starts_its_own_grace) {
  this->directory.ApplyTarget(MakeTarget(3), {1, 90});
  this->directory.MarkStoreRestored(kStart);
  this->ApplyList({}, {2, 80}, kStart);
  this->directory.ApplyTarget(MakeTarget(3), {2, 81});
  const TimePoint second = kStart + seconds(4);
  this->directory.MarkStoreRestored(second);
  this->ApplyList({}, {3, 75}, second);
  this->directory.ApplyOverdue(second + milliseconds(1500));
  BOOST_TEST(this->IsUsed());
  this->directory.ApplyOverdue(second + kRewriteTime);
  BOOST_TEST(!this->IsUsed());
}

BOOST_AUTO_TEST_CASE(removed_target_stays_removed_over_two_restorations) {
  this->directory.ApplyTarget(MakeTarget(3), {1, 70});
  this->directory.RemoveTarget("t-1", {1, 95}, kStart);
  this->directory.MarkStoreRestored(kStart);
  this->ApplyList({MakeTarget(3)}, {2, 80}, kStart);
  this->directory.MarkStoreRestored(kStart + seconds(8));
  this->ApplyList({MakeTarget(3)}, {3, 75}, kStart + seconds(8));
  this->directory.ApplyOverdue(kStart + kHoldTime);
  BOOST_TEST(!this->IsUsed());
}

BOOST_AUTO_TEST_CASE(new_node_takes_the_list_as_it_is) {
  this->ApplyList({MakeTarget(3)}, {2, 80}, kStart);
  BOOST_TEST(this->IsUsed());
  this->ApplyList({}, {2, 81}, kStart);
  BOOST_TEST(!this->IsUsed());
}

// A relay may forward a change before this node has listed the new era.
BOOST_AUTO_TEST_CASE(list_does_not_undo_a_later_change) {
  this->directory.ApplyTarget(MakeTarget(3), {1, 90});
  this->directory.MarkStoreRestored(kStart);
  const TimePoint later = kStart + kRewriteTime;
  this->directory.RemoveTarget("t-1", {2, 85}, later);
  this->ApplyList({MakeTarget(3)}, {2, 80}, later);
  this->directory.ApplyOverdue(later + kHoldTime);
  BOOST_TEST(!this->IsUsed());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_FIXTURE_TEST_SUITE(store_restore_operators, RestoreFixture)

BOOST_AUTO_TEST_CASE(configuration_never_goes_back) {
  const auto version = [](std::uint64_t number) {
    return std::make_shared<const MeshConfiguration>(
        number, std::vector<MeshRoute>(), std::vector<MeshService>(),
        std::vector<MeshCustomer>(), CallerLimits());
  };
  this->directory.ApplyConfiguration(version(7));
  this->directory.MarkStoreRestored(kStart);
  BOOST_TEST(!this->directory.ApplyConfiguration(version(5)));
  BOOST_TEST(this->directory.ConfigurationVersion() == 7);
  BOOST_TEST(!this->directory.ApplyConfiguration(version(7)));
  BOOST_TEST(this->directory.ApplyConfiguration(version(9)));
  BOOST_TEST(this->directory.ConfigurationVersion() == 9);
}

BOOST_AUTO_TEST_CASE(evacuation_that_the_copy_lacks_is_kept_until_rewritten) {
  this->directory.SetEvacuated("east", true, {1, 90});
  this->directory.MarkStoreRestored(kStart);
  this->directory.ReplaceEvacuated({}, {2, 80}, kStart);
  this->directory.ApplyOverdue(kStart + seconds(5));
  BOOST_TEST(this->IsEvacuated());
  this->directory.SetEvacuated("east", true, {2, 81});
  this->directory.ApplyOverdue(kStart + kHoldTime);
  BOOST_TEST(this->IsEvacuated());
}

BOOST_AUTO_TEST_CASE(evacuation_that_nobody_writes_again_ends) {
  this->directory.SetEvacuated("east", true, {1, 90});
  this->directory.MarkStoreRestored(kStart);
  this->directory.ReplaceEvacuated({}, {2, 80}, kStart);
  this->directory.ReplaceEvacuated({}, {2, 84}, kStart + seconds(8));
  BOOST_TEST(this->directory.ApplyOverdue(kStart + kHoldTime));
  BOOST_TEST(!this->IsEvacuated());
}

BOOST_AUTO_TEST_CASE(finished_evacuation_does_not_return_with_an_older_copy) {
  this->directory.SetEvacuated("east", true, {1, 70});
  this->directory.SetEvacuated("east", false, {1, 90});
  this->directory.MarkStoreRestored(kStart);
  this->directory.ReplaceEvacuated({{"east", 70}}, {2, 80}, kStart);
  this->directory.ApplyOverdue(kStart + seconds(5));
  BOOST_TEST(!this->IsEvacuated());
  this->directory.SetEvacuated("east", false, {2, 83});
  this->directory.ApplyOverdue(kStart + kHoldTime);
  BOOST_TEST(!this->IsEvacuated());
}

BOOST_AUTO_TEST_CASE(evacuation_that_the_store_keeps_holds_after_all) {
  this->directory.SetEvacuated("east", true, {1, 70});
  this->directory.SetEvacuated("east", false, {1, 90});
  this->directory.MarkStoreRestored(kStart);
  this->directory.ReplaceEvacuated({{"east", 60}}, {2, 80}, kStart);
  BOOST_TEST(!this->IsEvacuated());
  BOOST_TEST(this->directory.ApplyOverdue(kStart + kHoldTime));
  BOOST_TEST(this->IsEvacuated());
}

BOOST_AUTO_TEST_CASE(evacuation_written_after_the_finished_one_is_applied) {
  this->directory.SetEvacuated("east", true, {1, 70});
  this->directory.SetEvacuated("east", false, {1, 75});
  this->directory.MarkStoreRestored(kStart);
  this->directory.ReplaceEvacuated({{"east", 81}}, {2, 82}, kStart);
  BOOST_TEST(this->IsEvacuated());
}

BOOST_AUTO_TEST_CASE(change_of_an_evacuation_in_the_new_era_decides_at_once) {
  this->directory.SetEvacuated("east", true, {1, 70});
  this->directory.SetEvacuated("east", false, {1, 90});
  this->directory.MarkStoreRestored(kStart);
  this->directory.ReplaceEvacuated({{"east", 70}}, {2, 80}, kStart);
  this->directory.SetEvacuated("east", true, {2, 81});
  BOOST_TEST(this->IsEvacuated());
  this->directory.SetEvacuated("east", false, {2, 82});
  BOOST_TEST(!this->IsEvacuated());
}

BOOST_AUTO_TEST_SUITE_END()

BOOST_AUTO_TEST_SUITE(store_feed)

BOOST_AUTO_TEST_CASE(lower_revision_of_a_later_era_is_the_later_change) {
  StoreFeed feed;
  feed.ApplyState("relay-1", {true, {{"op/", {1, 90}}}}, kStart);
  feed.ApplyState("relay-2", {true, {{"op/", {2, 50}}}}, kStart);
  const StorePosition expected = {2, 50};
  BOOST_TEST((feed.LastChange("op/", kStart) == expected));
}

BOOST_AUTO_TEST_CASE(relay_of_an_earlier_era_is_no_live_feed) {
  StoreFeed feed;
  feed.ApplyState("relay-1", {true, {{"op/", {1, 90}}}}, kStart);
  BOOST_TEST(feed.HasLiveFeed(1, kStart));
  BOOST_TEST(!feed.HasLiveFeed(2, kStart));
  feed.ApplyState("relay-2", {true, {{"op/", {2, 50}}}}, kStart);
  BOOST_TEST(feed.HasLiveFeed(2, kStart));
  BOOST_TEST(feed.HasLiveFeed(1, kStart));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace daisywinch
