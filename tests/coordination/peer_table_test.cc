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
  PeerFixture() : local("a1", "a", 11, 1), remote("a2", "a", 22, 2) {
    this->local.SetVmList(MakeList(1, {"a1", "a2"}));
    this->remote.SetVmList(MakeList(1, {"a1", "a2"}));
  }

  /// Sends a heartbeat from "a1" to "a2" and handles its echo. Returns whether
  /// the echo was accepted.
  bool Exchange() {
    const Heartbeat heartbeat =
        this->local.MakeHeartbeat("a2", this->clock.Now());
    this->remote.HandleHeartbeat(heartbeat);
    return this->local.HandleEcho(this->remote.MakeEcho(heartbeat));
  }

  FakeClock clock;
  PeerTable local;
  PeerTable remote;
};

}  // namespace

BOOST_FIXTURE_TEST_SUITE(peer_table, PeerFixture)

BOOST_AUTO_TEST_CASE(minting_requires_a_recent_witness_echo) {
  BOOST_TEST(!this->local.MayMint(this->clock.Now()));
  BOOST_TEST(this->Exchange());
  BOOST_TEST(this->local.MayMint(this->clock.Now()));
  this->clock.Advance(kWitnessTimeout);
  BOOST_TEST(!this->local.MayMint(this->clock.Now()));
}

BOOST_AUTO_TEST_CASE(witness_with_a_newer_list_does_not_count) {
  this->remote.SetVmList(MakeList(2, {"a1", "a2", "a3"}));
  BOOST_TEST(this->Exchange());
  BOOST_TEST(!this->local.MayMint(this->clock.Now()));
  this->local.SetVmList(MakeList(2, {"a1", "a2", "a3"}));
  BOOST_TEST(this->Exchange());
  BOOST_TEST(this->local.MayMint(this->clock.Now()));
}

BOOST_AUTO_TEST_CASE(witness_timeout_starts_when_the_heartbeat_is_sent) {
  const Heartbeat heartbeat =
      this->local.MakeHeartbeat("a2", this->clock.Now());
  const Heartbeat echo = this->remote.MakeEcho(heartbeat);
  // The echo waits in the receive buffer while the process is paused.
  this->clock.Advance(kWitnessTimeout);
  BOOST_TEST(this->local.HandleEcho(echo));
  BOOST_TEST(!this->local.MayMint(this->clock.Now()));
}

BOOST_AUTO_TEST_CASE(replayed_echo_of_a_previous_incarnation_is_rejected) {
  const Heartbeat first = this->local.MakeHeartbeat("a2", this->clock.Now());
  const Heartbeat recorded = this->remote.MakeEcho(first);
  BOOST_TEST(this->local.HandleEcho(recorded));
  BOOST_TEST(!this->local.HandleEcho(recorded));
  PeerTable successor("a2", "a", 33, 3);
  successor.SetVmList(MakeList(1, {"a1", "a2"}));
  const Heartbeat next = this->local.MakeHeartbeat("a2", this->clock.Now());
  BOOST_TEST(!this->local.HandleEcho(recorded));
  BOOST_TEST(this->local.HandleEcho(successor.MakeEcho(next)));
  BOOST_TEST(this->local.IncarnationOf("a2") == 33);
}

BOOST_AUTO_TEST_CASE(silent_peer_is_suspected_but_not_after_a_local_pause) {
  this->Exchange();
  this->clock.Advance(std::chrono::minutes(5));
  this->local.MakeHeartbeat("a2", this->clock.Now());
  BOOST_TEST(this->local.SuspectedVms(this->clock.Now()).empty());
  for (int round = 0; round < 3; ++round) {
    this->clock.Advance(kHeartbeatInterval);
    this->local.MakeHeartbeat("a2", this->clock.Now());
  }
  BOOST_TEST(this->local.SuspectedVms(this->clock.Now()).contains("a2"));
  this->Exchange();
  BOOST_TEST(this->local.SuspectedVms(this->clock.Now()).empty());
}

BOOST_AUTO_TEST_CASE(applied_bits_spread_with_heartbeats) {
  BOOST_TEST(this->local.ListRollout().nodes_not_applied == 1);
  this->Exchange();
  BOOST_TEST(this->local.ListRollout().nodes_not_applied == 0);
  this->local.SetVmList(MakeList(2, {"a1", "a2"}));
  BOOST_TEST(this->local.ListRollout().nodes_not_applied == 1);
  this->Exchange();
  BOOST_TEST(this->local.ListRollout().nodes_not_applied == 1);
}

BOOST_AUTO_TEST_CASE(node_is_behind_until_it_has_the_newest_version_of_a_peer) {
  this->local.SetConfigurationVersion(1);
  this->remote.SetConfigurationVersion(2);
  BOOST_TEST(!this->local.IsBehind());
  BOOST_TEST(this->Exchange());
  BOOST_TEST(this->local.IsBehind());
  this->local.SetConfigurationVersion(2);
  BOOST_TEST(!this->local.IsBehind());
}

BOOST_AUTO_TEST_CASE(older_and_invalid_documents_are_not_applied) {
  SnapshotHolder snapshots;
  FleetView view(snapshots);
  const auto text = [](int version) {
    return boost::json::serialize(
        WriteConfiguration(MakeConfiguration(StandardAnswers(version))));
  };
  BOOST_TEST((view.OfferConfiguration(text(2)) == OfferResult::kApplied));
  BOOST_TEST((view.OfferConfiguration(text(1)) == OfferResult::kOlderVersion));
  BOOST_TEST((view.OfferConfiguration(text(2)) == OfferResult::kSameVersion));
  BOOST_TEST((view.OfferConfiguration("{") == OfferResult::kInvalid));
  BOOST_TEST((view.OfferConfiguration("[1]") == OfferResult::kInvalid));
  BOOST_TEST(view.ConfigurationVersion() == 2u);
  BOOST_TEST((view.OfferConfiguration(text(3)) == OfferResult::kApplied));
}

BOOST_AUTO_TEST_SUITE_END()

}  // namespace daisywinch::test
