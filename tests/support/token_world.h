#ifndef DAISYWINCH_TESTS_SUPPORT_TOKEN_WORLD_H
#define DAISYWINCH_TESTS_SUPPORT_TOKEN_WORLD_H

#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "coordination/mint_plan.h"
#include "coordination/mint_schedule.h"
#include "coordination/minter_set.h"
#include "coordination/peer_table.h"
#include "coordination/stock_set.h"
#include "state/snapshot.h"
#include "support/fake_clock.h"

namespace daisywinch::test {

/// Checks that no window admits more than rate * w + burst.
class WindowBound {
 public:
  WindowBound(double rate, double burst) : rate(rate), burst(burst) {}

  void Admit(TimePoint now);
  /// Most tokens over the bound that any window has seen; 0 if none.
  double Excess() const { return this->excess; }
  std::uint64_t Admitted() const { return this->admitted; }

 private:
  double rate;
  double burst;
  double level = 0;
  double excess = 0;
  TimePoint last;
  std::uint64_t admitted = 0;
};

/// Faults of the links between the nodes of a TokenWorld.
struct LinkFaults {
  double loss = 0;
  double duplication = 0;
  Duration longest_delay = std::chrono::milliseconds(2);
};

/// The token decisions of several nodes, joined by fake links and driven by
/// one fake clock.
class TokenWorld {
 public:
  /// `sites` gives the number of nodes of each data centre.
  TokenWorld(const std::map<std::string, int>& sites,
             const std::vector<Customer>& customers,
             std::uint64_t seed);
  ~TokenWorld();

  /// Moves time on by one step of kStep.
  void Step();
  void RunFor(Duration time);

  /// A request of a customer at a node; true if it was admitted. One that was
  /// not may still be by Retry() while it waits for kWaitTime.
  bool Take(const std::string& node, const std::string& customer);
  bool Retry(const std::string& node, const std::string& customer);

  void SetFaults(const LinkFaults& new_faults) { this->faults = new_faults; }
  /// Cuts a data centre off from the others, or joins it again.
  void SetCut(const std::string& site, bool is_cut);
  /// Cuts one node off from all others, or joins it again.
  void SetNodeCut(const std::string& node, bool is_cut);
  void SetPaused(const std::string& node, bool is_paused);
  void Kill(const std::string& node);
  /// Starts a new process; with `stale` it begins with an old VM list.
  void Start(const std::string& node, bool stale);
  /// Publishes a list without a node, which may go on running, or with a new
  /// one in its place.
  void Drop(const std::string& node);
  void Add(const std::string& node, const std::string& site);

  WindowBound& Bound(const std::string& customer) {
    return this->bounds.at(customer);
  }
  std::vector<std::string> RunningNodes() const;
  bool IsPaused(const std::string& node) const;
  TimePoint Now() const { return this->clock.Now(); }
  std::uint64_t MessageCount() const { return this->message_count; }

  static constexpr std::chrono::milliseconds kStep{10};
  static constexpr std::chrono::milliseconds kWaitTime{60};

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
  bool IsCut(const std::string& from, const std::string& to) const;
  void RunNode(NodeProcess& node);
  void SendHeartbeats(NodeProcess& node);
  void SendTokenRequests(NodeProcess& node);
  void AdoptList(NodeProcess& node, std::size_t list);
  void HearVersion(NodeProcess& node, std::uint64_t version);
  void PublishList(const VmList& list);

  FakeClock clock;
  std::mt19937_64 random;
  Configuration configuration;
  std::vector<VmList> lists;
  std::map<std::string, std::string> site_of;
  std::map<std::string, std::unique_ptr<NodeProcess>> nodes;
  std::vector<Message> messages;
  LinkFaults faults;
  std::set<std::string> cut_sites;
  std::set<std::string> cut_nodes;
  std::set<std::string> paused;
  std::map<std::string, WindowBound> bounds;
  std::uint64_t next_incarnation = 1;
  std::uint64_t message_count = 0;
};

}  // namespace daisywinch::test

#endif  // DAISYWINCH_TESTS_SUPPORT_TOKEN_WORLD_H
