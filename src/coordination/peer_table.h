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

/// Time between rounds of heartbeats.
constexpr std::chrono::milliseconds kHeartbeatInterval{500};

/// State of a node that each of its heartbeats carries.
struct NodeState {
  std::string vm;
  std::uint64_t incarnation = 0;
  std::uint64_t configuration_version = 0;
  std::uint64_t vm_list_version = 0;
  bool draining = false;
  /// Whether each VM of the sender's data centre, in the order of the sender's
  /// VM list, is known to have applied that list.
  std::vector<bool> applied;
};

/// A heartbeat, or the echo of one with the same nonce.
struct Heartbeat {
  NodeState state;
  std::uint64_t nonce = 0;
};

/// State of the other nodes as learned from heartbeats: failure detection,
/// document versions, and permission to mint.
///
/// The incarnation of a peer is accepted only when it has echoed a nonce of
/// this process, so a replayed message of an earlier process on that VM is
/// never mistaken for one of the current process.
///
/// The witnesses of a node are the next VMs of its data centre in the order of
/// the VM list, which wraps around. A node mints only while a quorum of them
/// confirms that they have no newer VM list.
class PeerTable {
 public:
  /// `incarnation` identifies this process; `seed` seeds nonces and the choice
  /// of peers.
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

  /// Chooses the peers to send a heartbeat to in this round: the witnesses, and
  /// one peer of any data centre at random.
  std::vector<std::string> ChooseHeartbeatPeers();
  /// Makes a heartbeat for a peer and records its nonce as unanswered.
  Heartbeat MakeHeartbeat(const std::string& peer, TimePoint now);
  /// Makes the echo of a received heartbeat.
  Heartbeat MakeEcho(const Heartbeat& received) const;

  /// Merges the state of a received heartbeat.
  void HandleHeartbeat(const Heartbeat& received);
  /// Processes an echo. Returns false if it does not match an unanswered
  /// heartbeat of this process to that peer.
  bool HandleEcho(const Heartbeat& echo);

  /// Whether this node is listed, and a quorum of its witnesses has echoed a
  /// heartbeat sent within kWitnessTimeout and has no newer VM list than this
  /// node.
  bool MayMint(TimePoint now) const;
  /// Progress of this node's VM list in its data centre.
  VmListRollout ListRollout() const;
  /// Whether a peer has a newer configuration or VM list.
  bool IsBehind() const;

  /// Peers that have not echoed several heartbeats in a row.
  std::set<std::string> SuspectedVms(TimePoint now) const;
  /// Confirmed incarnation of a peer; 0 if it has not echoed a nonce yet.
  std::uint64_t IncarnationOf(std::string_view vm) const;
  /// Nodes of the local data centre that are not suspected, including this one.
  std::vector<std::string> LiveDataCentreNodes(TimePoint now) const;

 private:
  struct SentHeartbeat {
    std::uint64_t nonce = 0;
    TimePoint sent_at;
  };

  struct Peer {
    std::uint64_t incarnation = 0;
    /// Heartbeats sent after the last one that was echoed, oldest first.
    std::deque<SentHeartbeat> unanswered;
    /// Send time of the newest heartbeat that was echoed. An echo that is
    /// processed late does not prolong the permission to mint.
    TimePoint last_echoed_sent_at;
    bool has_echoed = false;
    /// At the last echo, the peer's VM list was not newer than this node's.
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
  /// Highest versions in the states of peers.
  std::uint64_t newest_configuration_version = 0;
  std::uint64_t newest_vm_list_version = 0;
  /// VMs of the local data centre in the order of the list.
  std::vector<std::string> data_centre_vms;
  /// For each of data_centre_vms, whether it has applied the list.
  std::vector<bool> applied;
  std::vector<std::string> witnesses;
  /// All listed VMs except the local one.
  std::vector<std::string> other_vms;
  std::map<std::string, Peer, std::less<>> peers;
};

}  // namespace daisywinch

#endif  // DAISYWINCH_COORDINATION_PEER_TABLE_H
