#ifndef DAISYWINCH_COORDINATION_PEER_TABLE_H
#define DAISYWINCH_COORDINATION_PEER_TABLE_H

#include <cstdint>
#include <deque>
#include <map>
#include <random>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "coordination/mint_fraction_controller.h"
#include "state/clock.h"
#include "state/vm_list.h"

namespace daisywinch {

/// Time between two rounds of heartbeats.
constexpr std::chrono::milliseconds kHeartbeatInterval{500};

/// What a node tells of itself with each heartbeat.
struct NodeState {
  std::string vm;
  std::uint64_t incarnation = 0;
  std::uint64_t configuration_version = 0;
  std::uint64_t vm_list_version = 0;
  bool draining = false;
  /// A bit for each VM of the sender's data centre in the order of the list:
  /// those known to have applied that list.
  std::vector<bool> applied;
};

/// A heartbeat and what it asks to have echoed.
struct Heartbeat {
  NodeState state;
  std::uint64_t nonce = 0;
};

/// The other nodes as this one sees them, by heartbeats.
///
/// An incarnation counts once it has echoed a nonce of this process, so a
/// recorded message of a predecessor is never taken for its successor.
class PeerTable {
 public:
  PeerTable(std::string local_vm,
            std::string data_centre,
            std::uint64_t incarnation,
            std::uint64_t seed);

  void SetVmList(const VmList& list);
  void SetConfigurationVersion(std::uint64_t version) {
    this->configuration_version = version;
  }
  std::uint64_t VmListVersion() const { return this->vm_list_version; }
  void SetDraining() { this->draining = true; }

  /// Peers that are sent a heartbeat this round: the witnesses, and one node
  /// elsewhere chosen at random.
  std::vector<std::string> ChooseHeartbeatPeers();
  Heartbeat MakeHeartbeat(const std::string& peer, TimePoint now);
  /// The echo of a heartbeat that came.
  Heartbeat MakeEcho(const Heartbeat& received) const;

  /// Takes what a peer tells of itself in a heartbeat.
  void HandleHeartbeat(const Heartbeat& received);
  /// Takes the echo of an own heartbeat; false if it is not one.
  bool HandleEcho(const Heartbeat& echo);

  /// Whether half of the witnesses have lately answered, with no newer VM
  /// list than this node's.
  bool MayMint(TimePoint now) const;
  VmListRollout ListRollout() const;
  /// Whether a peer has told of a newer configuration or VM list.
  bool IsBehind() const;

  /// Peers that were sent heartbeats and have not answered for long.
  std::set<std::string> SuspectedVms(TimePoint now) const;
  /// Incarnation that has echoed a nonce; 0 if none has.
  std::uint64_t IncarnationOf(std::string_view vm) const;
  /// Nodes of the own data centre that are not suspected, this one included.
  std::vector<std::string> LiveDataCentreNodes(TimePoint now) const;

 private:
  struct SentHeartbeat {
    std::uint64_t nonce = 0;
    TimePoint sent_at;
  };

  struct Peer {
    std::uint64_t incarnation = 0;
    /// Heartbeats since the last echo, oldest first.
    std::deque<SentHeartbeat> unanswered;
    /// Sending time of the newest heartbeat that was echoed.
    TimePoint last_echoed_sent_at;
    bool has_echoed = false;
    /// The peer's list was not newer than this node's at its last echo.
    bool is_valid_witness = false;
  };

  NodeState LocalState() const;
  void MergeState(const NodeState& state);

  std::string local_vm;
  std::string data_centre;
  std::uint64_t incarnation;
  std::mt19937_64 random;
  std::uint64_t configuration_version = 0;
  std::uint64_t vm_list_version = 0;
  bool draining = false;
  /// Highest versions that peers have told of.
  std::uint64_t newest_configuration_version = 0;
  std::uint64_t newest_vm_list_version = 0;
  /// VMs of the own data centre in the order of the list.
  std::vector<std::string> data_centre_vms;
  std::vector<bool> applied;
  std::vector<std::string> witnesses;
  std::vector<std::string> other_vms;
  std::map<std::string, Peer, std::less<>> peers;
};

}  // namespace daisywinch

#endif  // DAISYWINCH_COORDINATION_PEER_TABLE_H
