#include "coordination/peer_table.h"

#include <boost/test/unit_test.hpp>

#include "coordination/fleet_view.h"
#include "support/fake_clock.h"
#include "support/test_fleet.h"

namespace daisywinch::test {

namespace {

VmList MakeList(std::uint64_t version, const std::vector<std::string>& names) {
  VmList list;
  list.version = version;
  for (const std::string& name : names) {
    Vm vm;
    vm.name = name;
    vm.data_centre = name.substr(0, 1);
    list.vms.push_back(vm);
  }
  return list;
}

struct PeerFixture {
  PeerFixture() : own("a1", "a", 11, 1), other("a2", "a", 22, 2) {
    this->own.SetVmList(MakeList(1, {"a1", "a2"}));
    this->other.SetVmList(MakeList(1, {"a1", "a2"}));
  }

  /// One heartbeat from "a1" to "a2" and its echo.
  bool Exchange() {
    const Heartbeat heartbeat =
        this->own.MakeHeartbeat("a2", this->clock.Now());
    this->other.TakeHeartbeat(heartbeat);
    return this->own.TakeEcho(this->other.MakeEcho(heartbeat));
  }

  FakeClock clock;
  PeerTable own;
  PeerTable other;
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(peer_table, PeerFixture)

BOOST_AUTO_TEST_CASE(minting_needs_a_fresh_witness) {
  BOOST_TEST(!this->own.MayMint(this->clock.Now()));
  BOOST_TEST(this->Exchange());
  BOOST_TEST(this->own.MayMint(this->clock.Now()));
  this->clock.Advance(kMintFreshness);
  BOOST_TEST(!this->own.MayMint(this->clock.Now()));
}

BOOST_AUTO_TEST_CASE(witness_with_a_newer_list_does_not_count) {
  this->other.SetVmList(MakeList(2, {"a1", "a2", "a3"}));
  BOOST_TEST(this->Exchange());
  BOOST_TEST(!this->own.MayMint(this->clock.Now()));
  this->own.SetVmList(MakeList(2, {"a1", "a2", "a3"}));
  BOOST_TEST(this->Exchange());
  BOOST_TEST(this->own.MayMint(this->clock.Now()));
}

BOOST_AUTO_TEST_CASE(freshness_counts_from_the_sending_of_the_heartbeat) {
  const Heartbeat heartbeat = this->own.MakeHeartbeat("a2", this->clock.Now());
  const Heartbeat echo = this->other.MakeEcho(heartbeat);
  // The process pauses while the echo waits for it.
  this->clock.Advance(kMintFreshness);
  BOOST_TEST(this->own.TakeEcho(echo));
  BOOST_TEST(!this->own.MayMint(this->clock.Now()));
}

BOOST_AUTO_TEST_CASE(recorded_echo_of_a_predecessor_is_not_taken) {
  const Heartbeat first = this->own.MakeHeartbeat("a2", this->clock.Now());
  const Heartbeat recorded = this->other.MakeEcho(first);
  BOOST_TEST(this->own.TakeEcho(recorded));
  BOOST_TEST(!this->own.TakeEcho(recorded));
  PeerTable successor("a2", "a", 33, 3);
  successor.SetVmList(MakeList(1, {"a1", "a2"}));
  const Heartbeat next = this->own.MakeHeartbeat("a2", this->clock.Now());
  BOOST_TEST(!this->own.TakeEcho(recorded));
  BOOST_TEST(this->own.TakeEcho(successor.MakeEcho(next)));
  BOOST_TEST(this->own.IncarnationOf("a2") == 33);
}

BOOST_AUTO_TEST_CASE(silent_peer_is_suspected_but_not_after_an_own_pause) {
  this->Exchange();
  this->clock.Advance(std::chrono::minutes(5));
  this->own.MakeHeartbeat("a2", this->clock.Now());
  BOOST_TEST(this->own.Suspected(this->clock.Now()).empty());
  for (int round = 0; round < 3; ++round) {
    this->clock.Advance(kHeartbeatInterval);
    this->own.MakeHeartbeat("a2", this->clock.Now());
  }
  BOOST_TEST(this->own.Suspected(this->clock.Now()).contains("a2"));
  this->Exchange();
  BOOST_TEST(this->own.Suspected(this->clock.Now()).empty());
}

BOOST_AUTO_TEST_CASE(news_of_who_applied_a_list_spreads) {
  BOOST_TEST(this->own.Knowledge().not_applied == 1);
  this->Exchange();
  BOOST_TEST(this->own.Knowledge().not_applied == 0);
  this->own.SetVmList(MakeList(2, {"a1", "a2"}));
  BOOST_TEST(this->own.Knowledge().not_applied == 1);
  this->Exchange();
  BOOST_TEST(this->own.Knowledge().not_applied == 1);
}

BOOST_AUTO_TEST_CASE(newer_version_of_a_peer_is_remembered_until_it_came) {
  this->own.SetConfigurationVersion(1);
  this->other.SetConfigurationVersion(2);
  BOOST_TEST(!this->own.IsBehind());
  BOOST_TEST(this->Exchange());
  BOOST_TEST(this->own.IsBehind());
  this->own.SetConfigurationVersion(2);
  BOOST_TEST(!this->own.IsBehind());
}

BOOST_AUTO_TEST_CASE(highest_version_wins_whatever_the_order) {
  SnapshotHolder snapshots;
  FleetView view(snapshots);
  const auto text = [](int version) {
    return boost::json::serialize(
        WriteConfiguration(MakeConfiguration(StandardAnswers(version))));
  };
  BOOST_TEST((view.OfferConfiguration(text(2)) == Acceptance::kInForce));
  BOOST_TEST((view.OfferConfiguration(text(1)) == Acceptance::kOlder));
  BOOST_TEST((view.OfferConfiguration(text(2)) == Acceptance::kSame));
  BOOST_TEST((view.OfferConfiguration("{") == Acceptance::kInvalid));
  BOOST_TEST((view.OfferConfiguration("[1]") == Acceptance::kInvalid));
  BOOST_TEST(view.ConfigurationVersion() == 2u);
  BOOST_TEST((view.OfferConfiguration(text(3)) == Acceptance::kInForce));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace daisywinch::test
