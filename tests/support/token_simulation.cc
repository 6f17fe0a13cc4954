#include "support/token_simulation.h"

#include <algorithm>
#include <utility>

namespace daisywinch::test {

namespace {

constexpr std::chrono::milliseconds kTokenRequestInterval{100};
constexpr std::chrono::milliseconds kVmListDelay{300};

}  // namespace

/// One process of a node with its control state.
struct TokenSimulation::NodeProcess {
  NodeProcess(const std::string& name,
              const std::string& data_centre_name,
              std::uint64_t incarnation,
              TimePoint now)
      : name(name),
        incarnation(incarnation),
        peers(name, data_centre_name, incarnation, incarnation),
        mint_fractions(now),
        minters(incarnation),
        caches(name, data_centre_name, incarnation << 32) {}

  std::string name;
  std::uint64_t incarnation;
  PeerTable peers;
  MintFractionController mint_fractions;
  MinterSet minters;
  TokenCacheSet caches;
  std::shared_ptr<const Snapshot> snapshot;
  TimePoint next_heartbeat;
  TimePoint next_token_request;
};

void RateBoundChecker::RecordAdmission(TimePoint now) {
  const std::chrono::duration<double> gap = now - this->last;
  this->last = now;
  this->level = std::max(0.0, this->level - this->rate * gap.count()) + 1;
  this->max_excess = std::max(this->max_excess, this->level - this->burst);
  ++this->admitted_count;
}

TokenSimulation::TokenSimulation(
    const std::map<std::string, int>& data_centre_sizes,
    const std::vector<Customer>& customers,
    std::uint64_t seed)
    : random(seed) {
  int total = 0;
  for (const auto& [data_centre_name, count] : data_centre_sizes) {
    total += count;
  }
  this->configuration.version = 1;
  this->configuration.customers = customers;
  VmList list;
  list.version = 1;
  for (const auto& [data_centre_name, count] : data_centre_sizes) {
    DataCentre data_centre;
    data_centre.name = data_centre_name;
    data_centre.share = static_cast<double>(count) / total;
    this->configuration.data_centres.push_back(data_centre);
    for (int number = 1; number <= count; ++number) {
      Vm vm;
      vm.name = data_centre_name + std::to_string(number);
      vm.data_centre = data_centre_name;
      list.vms.push_back(vm);
      this->data_centre_of[vm.name] = data_centre_name;
    }
  }
  this->vm_lists.push_back(list);
  for (const Customer& customer : customers) {
    this->bound_checkers.emplace(
        customer.name, RateBoundChecker(customer.rate, customer.burst));
  }
  for (const Vm& vm : list.vms) {
    this->Start(vm.name, false);
  }
}

TokenSimulation::~TokenSimulation() = default;

void TokenSimulation::Start(const std::string& name, bool stale) {
  std::unique_ptr<NodeProcess>& node = this->nodes[name];
  node = std::make_unique<NodeProcess>(name, this->data_centre_of.at(name),
                                       this->next_incarnation++, this->Now());
  std::erase_if(this->messages,
                [&](const Message& message) { return message.to == name; });
  const std::size_t newest = this->vm_lists.size() - 1;
  const std::size_t oldest = newest - std::min<std::size_t>(newest, 2);
  this->ApplyVmList(*node, stale ? oldest : newest);
}

void TokenSimulation::Kill(const std::string& name) {
  this->nodes.erase(name);
}

void TokenSimulation::ApplyVmList(NodeProcess& node, std::size_t index) {
  const VmList& list = this->vm_lists[index];
  if (node.snapshot && node.snapshot->CurrentVmList().version >= list.version) {
    return;
  }
  node.snapshot = std::make_shared<const Snapshot>(this->configuration, list,
                                                   std::set<std::string>());
  node.peers.SetVmList(list);
  std::set<std::string> data_centre_vms;
  for (const Vm& vm : list.vms) {
    if (vm.data_centre == this->data_centre_of.at(node.name)) {
      data_centre_vms.insert(vm.name);
    }
  }
  const std::string& data_centre_name = this->data_centre_of.at(node.name);
  node.mint_fractions.SetPlannedFractions(
      ComputeMintFractions(*node.snapshot, node.name, data_centre_name),
      data_centre_vms, this->Now());
  node.minters.SetFractions(node.mint_fractions.Fractions(),
                            this->configuration, this->Now());
}

void TokenSimulation::PublishVmList(const VmList& list) {
  this->vm_lists.push_back(list);
  const std::size_t index = this->vm_lists.size() - 1;
  for (const auto& [name, node] : this->nodes) {
    // Each node receives the list from the platform after its own random delay.
    std::uniform_int_distribution<std::int64_t> delay_ms(
        0, 5 * kVmListDelay.count());
    this->messages.push_back(
        {name, name,
         this->Now() + std::chrono::milliseconds(delay_ms(this->random)),
         [this, index](NodeProcess& process) {
           this->ApplyVmList(process, index);
         }});
  }
}

void TokenSimulation::RemoveFromVmList(const std::string& name) {
  VmList list = this->vm_lists.back();
  ++list.version;
  std::erase_if(list.vms, [&](const Vm& vm) { return vm.name == name; });
  this->PublishVmList(list);
}

void TokenSimulation::AddNode(const std::string& name,
                              const std::string& data_centre_name) {
  VmList list = this->vm_lists.back();
  ++list.version;
  Vm vm;
  vm.name = name;
  vm.data_centre = data_centre_name;
  list.vms.push_back(vm);
  this->data_centre_of[name] = data_centre_name;
  this->PublishVmList(list);
  this->Start(name, false);
}

void TokenSimulation::SetDataCentreIsolated(const std::string& data_centre_name,
                                            bool is_isolated) {
  if (is_isolated) {
    this->isolated_data_centres.insert(data_centre_name);
  } else {
    this->isolated_data_centres.erase(data_centre_name);
  }
}

void TokenSimulation::SetNodeIsolated(const std::string& node,
                                      bool is_isolated) {
  if (is_isolated) {
    this->isolated_nodes.insert(node);
  } else {
    this->isolated_nodes.erase(node);
  }
}

void TokenSimulation::SetPaused(const std::string& node, bool is_paused) {
  if (is_paused) {
    this->paused_nodes.insert(node);
  } else {
    this->paused_nodes.erase(node);
  }
}

bool TokenSimulation::IsPaused(const std::string& node) const {
  return this->paused_nodes.contains(node);
}

bool TokenSimulation::IsPartitioned(const std::string& from,
                                    const std::string& to) const {
  if (from == to) {
    return false;
  }
  const std::string& from_data_centre = this->data_centre_of.at(from);
  const std::string& to_data_centre = this->data_centre_of.at(to);
  const bool is_between_data_centres =
      from_data_centre != to_data_centre &&
      (this->isolated_data_centres.contains(from_data_centre) ||
       this->isolated_data_centres.contains(to_data_centre));
  return is_between_data_centres || this->isolated_nodes.contains(from) ||
         this->isolated_nodes.contains(to);
}

void TokenSimulation::Send(const std::string& from,
                           const std::string& to,
                           const std::function<void(NodeProcess&)>& deliver) {
  ++this->message_count;
  std::uniform_real_distribution<double> chance(0, 1);
  const bool is_local = from == to;
  if (!is_local && (this->IsPartitioned(from, to) ||
                    chance(this->random) < this->faults.loss_probability)) {
    return;
  }
  const int copies =
      !is_local && chance(this->random) < this->faults.duplication_probability
          ? 2
          : 1;
  for (int copy = 0; copy < copies; ++copy) {
    const Duration delay = std::chrono::duration_cast<Duration>(
        this->faults.max_delay * chance(this->random));
    this->messages.push_back(
        {from, to, this->Now() + (is_local ? Duration::zero() : delay),
         deliver});
  }
}

void TokenSimulation::Step() {
  this->clock.Advance(kStep);
  std::vector<Message> due;
  std::erase_if(this->messages, [&](const Message& message) {
    const bool is_due =
        message.due <= this->Now() && !this->paused_nodes.contains(message.to);
    if (is_due) {
      due.push_back(message);
    }
    return is_due;
  });
  std::shuffle(due.begin(), due.end(), this->random);
  for (const Message& message : due) {
    const auto node = this->nodes.find(message.to);
    if (node != this->nodes.end()) {
      message.deliver(*node->second);
    }
  }
  for (const auto& [name, node] : this->nodes) {
    if (!this->paused_nodes.contains(name)) {
      this->RunNode(*node);
    }
  }
}

void TokenSimulation::RunFor(Duration time) {
  const TimePoint end = this->Now() + time;
  while (this->Now() < end) {
    this->Step();
  }
}

void TokenSimulation::RunNode(NodeProcess& node) {
  const TimePoint now = this->Now();
  if (node.mint_fractions.ApplyPendingIncreases(node.peers.ListRollout(),
                                                now)) {
    node.minters.SetFractions(node.mint_fractions.Fractions(),
                              this->configuration, now);
  }
  if (now >= node.next_heartbeat) {
    node.next_heartbeat = now + kHeartbeatInterval;
    this->SendHeartbeats(node);
  }
  if (now >= node.next_token_request) {
    node.next_token_request = now + kTokenRequestInterval;
    this->SendTokenRequests(node);
  }
}

void TokenSimulation::HandlePeerVersion(NodeProcess& node,
                                        std::uint64_t version) {
  if (version > node.snapshot->CurrentVmList().version) {
    const std::size_t index = version - 1;
    this->messages.push_back({node.name, node.name, this->Now() + kVmListDelay,
                              [this, index](NodeProcess& process) {
                                this->ApplyVmList(process, index);
                              }});
  }
}

void TokenSimulation::SendHeartbeats(NodeProcess& node) {
  for (const std::string& peer : node.peers.ChooseHeartbeatPeers()) {
    const Heartbeat heartbeat = node.peers.MakeHeartbeat(peer, this->Now());
    const std::string from = node.name;
    this->Send(from, peer, [this, heartbeat, from](NodeProcess& receiver) {
      receiver.peers.HandleHeartbeat(heartbeat);
      this->HandlePeerVersion(receiver, heartbeat.state.vm_list_version);
      const Heartbeat echo = receiver.peers.MakeEcho(heartbeat);
      this->Send(receiver.name, from, [this, echo](NodeProcess& sender) {
        this->HandlePeerVersion(sender, echo.state.vm_list_version);
        sender.peers.HandleEcho(echo);
      });
    });
  }
}

void TokenSimulation::SendTokenRequests(NodeProcess& node) {
  const std::string from = node.name;
  const std::uint64_t requester_incarnation = node.incarnation;
  for (const AddressedTokenRequest& addressed :
       node.caches.MakeRequests(*node.snapshot, this->Now())) {
    const TokenRequest request = addressed.request;
    this->Send(
        from, addressed.vm,
        [this, request, from, requester_incarnation](NodeProcess& minter) {
          const TokenReply reply = minter.minters.HandleRequest(
              request, minter.peers.MayMint(this->Now()), this->Now());
          const std::string minter_name = minter.name;
          this->Send(minter_name, from,
                     [this, reply, minter_name,
                      requester_incarnation](NodeProcess& holder) {
                       // Replies are addressed to one incarnation.
                       if (holder.incarnation == requester_incarnation) {
                         holder.caches.HandleReply(minter_name, reply,
                                                   this->Now());
                       }
                     });
        });
  }
}

bool TokenSimulation::TryAcquire(const std::string& name,
                                 const std::string& customer) {
  const auto node = this->nodes.find(name);
  if (node == this->nodes.end() || this->paused_nodes.contains(name)) {
    return false;
  }
  TokenCacheSet& caches = node->second->caches;
  caches.AddDemand(customer, this->Now());
  const bool is_admitted = this->RetryAcquire(name, customer);
  if (!is_admitted && !caches.IsExhausted(customer)) {
    // A waiting request triggers a round of token requests immediately.
    node->second->next_token_request = this->Now();
    caches.AddWaiting(customer, 1);
    this->messages.push_back(
        {name, name, this->Now() + kMaxWait, [customer](NodeProcess& process) {
           process.caches.AddWaiting(customer, -1);
         }});
  }
  return is_admitted;
}

bool TokenSimulation::RetryAcquire(const std::string& name,
                                   const std::string& customer) {
  const auto node = this->nodes.find(name);
  if (node == this->nodes.end() || this->paused_nodes.contains(name)) {
    return false;
  }
  const bool is_admitted =
      node->second->caches.TryAcquire(customer, this->Now());
  if (is_admitted) {
    this->bound_checkers.at(customer).RecordAdmission(this->Now());
  }
  return is_admitted;
}

std::vector<std::string> TokenSimulation::RunningNodes() const {
  std::vector<std::string> names;
  for (const auto& [name, node] : this->nodes) {
    names.push_back(name);
  }
  return names;
}

}  // namespace daisywinch::test
