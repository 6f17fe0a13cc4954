#ifndef DAISYWINCH_TESTS_SUPPORT_TOKEN_SIMULATION_H
#define DAISYWINCH_TESTS_SUPPORT_TOKEN_SIMULATION_H

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "coordination/mint_fraction_controller.h"
#include "coordination/mint_plan.h"
#include "coordination/minter_set.h"
#include "coordination/peer_table.h"
#include "coordination/token_cache_set.h"
#include "state/snapshot.h"
#include "support/fake_clock.h"

namespace daisywinch::test {

/// Checks that in any window of w seconds at most rate * w + burst requests are
/// admitted.
class RateBoundChecker {
 public:
  RateBoundChecker(double rate, double burst) : rate(rate), burst(burst) {}

  /// Records one admitted request; `now` must not go back.
  void RecordAdmission(TimePoint now);
  /// Largest number of requests by which a window exceeded the bound; 0 if none
  /// did.
  double MaxExcess() const { return this->max_excess; }
  std::uint64_t AdmittedCount() const { return this->admitted_count; }

 private:
  double rate;
  double burst;
  double level = 0;
  double max_excess = 0;
  TimePoint last;
  std::uint64_t admitted_count = 0;
};

/// Faults of the network between the nodes of a TokenSimulation.
struct LinkFaults {
  double loss_probability = 0;
  double duplication_probability = 0;
  Duration max_delay = std::chrono::milliseconds(2);
};

/// Simulates the token minting and token caches of several nodes with a fake
/// clock and a fake network.
///
/// A run depends only on the seed and the calls made. A node's messages to
/// itself are never lost or delayed.
class TokenSimulation {
 public:
  /// `data_centre_sizes` gives the number of nodes of each data centre.
  TokenSimulation(const std::map<std::string, int>& data_centre_sizes,
                  const std::vector<Customer>& customers,
                  std::uint64_t seed);
  ~TokenSimulation();

  /// Advances the clock by kStep, delivers due messages and runs each node.
  void Step();
  void RunFor(Duration time);

  /// Makes a request of a customer at a node. Returns whether it was admitted;
  /// if not, RetryAcquire() may still admit it, and the node counts it as
  /// waiting for kMaxWait.
  bool TryAcquire(const std::string& node, const std::string& customer);
  bool RetryAcquire(const std::string& node, const std::string& customer);

  void SetFaults(const LinkFaults& new_faults) { this->faults = new_faults; }
  /// Partitions a data centre from the others, or reconnects it.
  void SetDataCentreIsolated(const std::string& data_centre_name,
                             bool is_isolated);
  /// Partitions one node from all others, or reconnects it.
  void SetNodeIsolated(const std::string& node, bool is_isolated);
  /// A paused node does not run; its messages wait until it resumes.
  void SetPaused(const std::string& node, bool is_paused);
  void Kill(const std::string& node);
  /// Replaces the node's process by a new one, which starts with the newest VM
  /// list, or with one up to two versions older if `stale`.
  void Start(const std::string& node, bool stale);
  /// Publishes a VM list without a node. The node keeps running.
  void RemoveFromVmList(const std::string& node);
  /// Publishes a VM list with a new node and starts the node.
  void AddNode(const std::string& node, const std::string& data_centre_name);

  RateBoundChecker& BoundChecker(const std::string& customer) {
    return this->bound_checkers.at(customer);
  }
  std::vector<std::string> RunningNodes() const;
  bool IsPaused(const std::string& node) const;
  TimePoint Now() const { return this->clock.Now(); }
  std::uint64_t MessageCount() const { return this->message_count; }

  static constexpr std::chrono::milliseconds kStep{10};
  static constexpr std::chrono::milliseconds kMaxWait{60};

 private:
  struct NodeProcess;

  struct Message {
    std::string from;
    std::string to;
    TimePoint due;
    std::function<void(NodeProcess&)> deliver;
  };

  void Send(const std::string& from,
            const std::string& to,
            const std::function<void(NodeProcess&)>& deliver);
  bool IsPartitioned(const std::string& from, const std::string& to) const;
  void RunNode(NodeProcess& node);
  void SendHeartbeats(NodeProcess& node);
  void SendTokenRequests(NodeProcess& node);
  void ApplyVmList(NodeProcess& node, std::size_t list);
  void HandlePeerVersion(NodeProcess& node, std::uint64_t version);
  void PublishVmList(const VmList& list);

  FakeClock clock;
  std::mt19937_64 random;
  Configuration configuration;
  std::vector<VmList> vm_lists;
  std::map<std::string, std::string> data_centre_of;
  std::map<std::string, std::unique_ptr<NodeProcess>> nodes;
  std::vector<Message> messages;
  LinkFaults faults;
  std::set<std::string> isolated_data_centres;
  std::set<std::string> isolated_nodes;
  std::set<std::string> paused_nodes;
  std::map<std::string, RateBoundChecker> bound_checkers;
  std::uint64_t next_incarnation = 1;
  std::uint64_t message_count = 0;
};

}  // namespace daisywinch::test

#endif  // DAISYWINCH_TESTS_SUPPORT_TOKEN_SIMULATION_H
