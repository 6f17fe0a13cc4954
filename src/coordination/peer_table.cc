#include "coordination/peer_table.h"

#include <algorithm>
#include <utility>

namespace daisywinch {

namespace {

constexpr std::size_t kMostWitnesses = 6;
/// Heartbeats without an echo, and the time since the first of them, after
/// which a peer is suspected.
constexpr std::size_t kSilentRounds = 3;
constexpr std::chrono::milliseconds kSuspicionTime{1200};
/// Heartbeats whose echo is still taken.
constexpr std::size_t kMostUnanswered = 8;

}  // namespace

PeerTable::PeerTable(std::string own_vm,
                     std::string data_centre,
                     std::uint64_t incarnation,
                     std::uint64_t seed)
    : own_vm(std::move(own_vm)),
      data_centre(std::move(data_centre)),
      incarnation(incarnation),
      random(seed) {}

void PeerTable::SetVmList(const VmList& list) {
  this->vm_list_version = list.version;
  this->neighbours.clear();
  this->others.clear();
  std::set<std::string> listed;
  for (const Vm& vm : list.vms) {
    listed.insert(vm.name);
    if (vm.data_centre == this->data_centre) {
      this->neighbours.push_back(vm.name);
    }
    if (vm.name != this->own_vm) {
      this->others.push_back(vm.name);
    }
  }
  std::erase_if(this->peers, [&listed](const auto& peer) {
    return !listed.contains(peer.first);
  });
  this->applied.assign(this->neighbours.size(), false);
  const auto own =
      std::find(this->neighbours.begin(), this->neighbours.end(), this->own_vm);
  this->witnesses.clear();
  if (own == this->neighbours.end()) {
    return;
  }
  const std::size_t position = own - this->neighbours.begin();
  this->applied[position] = true;
  const std::size_t count = this->neighbours.size();
  for (std::size_t step = 1; step < count && step <= kMostWitnesses; ++step) {
    this->witnesses.push_back(this->neighbours[(position + step) % count]);
  }
}

std::vector<std::string> PeerTable::ChoosePeers() {
  std::vector<std::string> chosen = this->witnesses;
  if (!this->others.empty()) {
    std::uniform_int_distribution<std::size_t> draw(0, this->others.size() - 1);
    const std::string& other = this->others[draw(this->random)];
    if (std::find(chosen.begin(), chosen.end(), other) == chosen.end()) {
      chosen.push_back(other);
    }
  }
  return chosen;
}

NodeState PeerTable::OwnState() const {
  return {this->own_vm,          this->incarnation, this->configuration_version,
          this->vm_list_version, this->draining,    this->applied};
}

Heartbeat PeerTable::MakeHeartbeat(const std::string& name, TimePoint now) {
  std::deque<SentHeartbeat>& unanswered = this->peers[name].unanswered;
  unanswered.push_back({this->random(), now});
  if (unanswered.size() > kMostUnanswered) {
    unanswered.pop_front();
  }
  return {this->OwnState(), unanswered.back().nonce};
}

Heartbeat PeerTable::MakeEcho(const Heartbeat& received) const {
  return {this->OwnState(), received.nonce};
}

void PeerTable::TakeHeartbeat(const Heartbeat& received) {
  this->TakeState(received.state);
}

void PeerTable::TakeState(const NodeState& state) {
  this->newest_configuration_version =
      std::max(this->newest_configuration_version, state.configuration_version);
  this->newest_vm_list_version =
      std::max(this->newest_vm_list_version, state.vm_list_version);
  const bool is_comparable =
      state.vm_list_version == this->vm_list_version &&
      state.applied.size() == this->applied.size() &&
      std::find(this->neighbours.begin(), this->neighbours.end(), state.vm) !=
          this->neighbours.end();
  if (!is_comparable) {
    return;
  }
  for (std::size_t index = 0; index < this->applied.size(); ++index) {
    this->applied[index] = this->applied[index] || state.applied[index];
  }
}

bool PeerTable::TakeEcho(const Heartbeat& echo) {
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
  peer.answered_at = sent->sent_at;
  peer.has_answered = true;
  peer.unanswered.erase(peer.unanswered.begin(), std::next(sent));
  peer.is_witness_valid = echo.state.vm_list_version <= this->vm_list_version;
  this->TakeState(echo.state);
  return true;
}

bool PeerTable::MayMint(TimePoint now) const {
  const bool is_listed =
      std::find(this->neighbours.begin(), this->neighbours.end(),
                this->own_vm) != this->neighbours.end();
  const std::ptrdiff_t fresh = std::count_if(
      this->witnesses.begin(), this->witnesses.end(),
      [&](const std::string& name) {
        const auto peer = this->peers.find(name);
        return peer != this->peers.end() && peer->second.has_answered &&
               peer->second.is_witness_valid &&
               now - peer->second.answered_at < kMintFreshness;
      });
  return is_listed && static_cast<std::size_t>(fresh) >=
                          WitnessQuorum(this->witnesses.size());
}

ListKnowledge PeerTable::Knowledge() const {
  const std::ptrdiff_t behind =
      std::count(this->applied.begin(), this->applied.end(), false);
  return {static_cast<std::size_t>(behind), this->witnesses.size()};
}

bool PeerTable::IsBehind() const {
  return this->newest_configuration_version > this->configuration_version ||
         this->newest_vm_list_version > this->vm_list_version;
}

std::set<std::string> PeerTable::Suspected(TimePoint now) const {
  std::set<std::string> names;
  for (const auto& [name, peer] : this->peers) {
    // The number of heartbeats keeps a node that was itself paused from
    // suspecting everyone when it wakes.
    const bool is_silent =
        peer.unanswered.size() >= kSilentRounds &&
        now - peer.unanswered.front().sent_at > kSuspicionTime;
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

std::vector<std::string> PeerTable::LiveNeighbours(TimePoint now) const {
  const std::set<std::string> suspected = this->Suspected(now);
  std::vector<std::string> live;
  for (const std::string& name : this->neighbours) {
    if (!suspected.contains(name)) {
      live.push_back(name);
    }
  }
  return live;
}

}  // namespace daisywinch
