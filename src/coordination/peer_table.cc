#include "coordination/peer_table.h"

#include <algorithm>
#include <utility>

namespace daisywinch {

namespace {

constexpr std::size_t kMaxWitnesses = 6;
/// A peer is suspected when it has echoed none of this many heartbeats and this
/// time has passed since the first of them.
constexpr std::size_t kSuspicionHeartbeats = 3;
constexpr std::chrono::milliseconds kSuspicionTimeout{1200};
/// Heartbeats per peer whose echo is still accepted.
constexpr std::size_t kMaxUnanswered = 8;

}  // namespace

PeerTable::PeerTable(std::string local_vm,
                     std::string data_centre,
                     std::uint64_t incarnation,
                     std::uint64_t seed)
    : local_vm(std::move(local_vm)),
      data_centre(std::move(data_centre)),
      incarnation(incarnation),
      random(seed) {}

void PeerTable::SetVmList(const VmList& list) {
  this->vm_list_version = list.version;
  this->data_centre_vms.clear();
  this->other_vms.clear();
  std::set<std::string> listed;
  for (const Vm& vm : list.vms) {
    listed.insert(vm.name);
    if (vm.data_centre == this->data_centre) {
      this->data_centre_vms.push_back(vm.name);
    }
    if (vm.name != this->local_vm) {
      this->other_vms.push_back(vm.name);
    }
  }
  std::erase_if(this->peers, [&listed](const auto& peer) {
    return !listed.contains(peer.first);
  });
  this->applied.assign(this->data_centre_vms.size(), false);
  const auto local = std::find(this->data_centre_vms.begin(),
                               this->data_centre_vms.end(), this->local_vm);
  this->witnesses.clear();
  if (local == this->data_centre_vms.end()) {
    return;
  }
  const std::size_t position = local - this->data_centre_vms.begin();
  this->applied[position] = true;
  const std::size_t count = this->data_centre_vms.size();
  for (std::size_t offset = 1; offset < count && offset <= kMaxWitnesses;
       ++offset) {
    this->witnesses.push_back(
        this->data_centre_vms[(position + offset) % count]);
  }
}

std::vector<std::string> PeerTable::ChooseHeartbeatPeers() {
  std::vector<std::string> chosen = this->witnesses;
  if (!this->other_vms.empty()) {
    std::uniform_int_distribution<std::size_t> distribution(
        0, this->other_vms.size() - 1);
    const std::string& random_peer =
        this->other_vms[distribution(this->random)];
    if (std::find(chosen.begin(), chosen.end(), random_peer) == chosen.end()) {
      chosen.push_back(random_peer);
    }
  }
  return chosen;
}

NodeState PeerTable::LocalState() const {
  return {this->local_vm,        this->incarnation, this->configuration_version,
          this->vm_list_version, this->draining,    this->applied};
}

Heartbeat PeerTable::MakeHeartbeat(const std::string& name, TimePoint now) {
  std::deque<SentHeartbeat>& unanswered = this->peers[name].unanswered;
  unanswered.push_back({this->random(), now});
  if (unanswered.size() > kMaxUnanswered) {
    unanswered.pop_front();
  }
  return {this->LocalState(), unanswered.back().nonce};
}

Heartbeat PeerTable::MakeEcho(const Heartbeat& received) const {
  return {this->LocalState(), received.nonce};
}

void PeerTable::HandleHeartbeat(const Heartbeat& received) {
  this->MergeState(received.state);
}

void PeerTable::MergeState(const NodeState& state) {
  this->newest_configuration_version =
      std::max(this->newest_configuration_version, state.configuration_version);
  this->newest_vm_list_version =
      std::max(this->newest_vm_list_version, state.vm_list_version);
  const bool is_comparable =
      state.vm_list_version == this->vm_list_version &&
      state.applied.size() == this->applied.size() &&
      std::find(this->data_centre_vms.begin(), this->data_centre_vms.end(),
                state.vm) != this->data_centre_vms.end();
  if (!is_comparable) {
    return;
  }
  for (std::size_t index = 0; index < this->applied.size(); ++index) {
    this->applied[index] = this->applied[index] || state.applied[index];
  }
}

bool PeerTable::HandleEcho(const Heartbeat& echo) {
  const auto found = this->peers.find(echo.state.vm);
  if (found == this->peers.end()) {
    return false;
  }
  Peer& peer = found->second;
  const auto sent = std::find_if(peer.unanswered.begin(), peer.unanswered.end(),
                                 [&echo](const SentHeartbeat& heartbeat) {
                                   return heartbeat.nonce == echo.nonce;
                                 });
  if (sent == peer.unanswered.end()) {
    return false;
  }
  peer.incarnation = echo.state.incarnation;
  peer.last_echoed_sent_at = sent->sent_at;
  peer.has_echoed = true;
  peer.unanswered.erase(peer.unanswered.begin(), std::next(sent));
  peer.is_valid_witness = echo.state.vm_list_version <= this->vm_list_version;
  this->MergeState(echo.state);
  return true;
}

bool PeerTable::MayMint(TimePoint now) const {
  const bool is_listed =
      std::find(this->data_centre_vms.begin(), this->data_centre_vms.end(),
                this->local_vm) != this->data_centre_vms.end();
  const std::ptrdiff_t fresh = std::count_if(
      this->witnesses.begin(), this->witnesses.end(),
      [&](const std::string& name) {
        const auto peer = this->peers.find(name);
        return peer != this->peers.end() && peer->second.has_echoed &&
               peer->second.is_valid_witness &&
               now - peer->second.last_echoed_sent_at < kWitnessTimeout;
      });
  return is_listed && static_cast<std::size_t>(fresh) >=
                          WitnessQuorum(this->witnesses.size());
}

VmListRollout PeerTable::ListRollout() const {
  const std::ptrdiff_t behind =
      std::count(this->applied.begin(), this->applied.end(), false);
  return {static_cast<std::size_t>(behind), this->witnesses.size()};
}

bool PeerTable::IsBehind() const {
  return this->newest_configuration_version > this->configuration_version ||
         this->newest_vm_list_version > this->vm_list_version;
}

std::set<std::string> PeerTable::SuspectedVms(TimePoint now) const {
  std::set<std::string> names;
  for (const auto& [name, peer] : this->peers) {
    // Elapsed time alone would make a node that was paused itself suspect all
    // its peers when it resumes.
    const bool is_silent =
        peer.unanswered.size() >= kSuspicionHeartbeats &&
        now - peer.unanswered.front().sent_at > kSuspicionTimeout;
    if (is_silent) {
      names.insert(name);
    }
  }
  return names;
}

std::uint64_t PeerTable::IncarnationOf(std::string_view vm) const {
  const auto found = this->peers.find(vm);
  return found == this->peers.end() ? 0 : found->second.incarnation;
}

std::vector<std::string> PeerTable::LiveDataCentreNodes(TimePoint now) const {
  const std::set<std::string> suspected = this->SuspectedVms(now);
  std::vector<std::string> live;
  for (const std::string& name : this->data_centre_vms) {
    if (!suspected.contains(name)) {
      live.push_back(name);
    }
  }
  return live;
}

}  // namespace daisywinch
