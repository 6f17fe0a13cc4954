#ifndef DAISYWINCH_COORDINATION_TRAFFIC_RELAY_H
#define DAISYWINCH_COORDINATION_TRAFFIC_RELAY_H

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

#include "coordination/relayed_counts.h"
#include "coordination/traffic_sum.h"
#include "state/clock.h"
#include "state/mesh_configuration.h"

namespace daisywinch {

/// The sum of the whole fleet, as a relay knows it.
struct FleetSum {
  TrafficSum sum;
  /// Requests counted by customer; not whole while a silence is reckoned with.
  std::map<std::string, double> counts;
};

/// Decides who tells whom of the fleet's traffic, and adds up what is told.
///
/// Were every node to tell all others, news would grow with the square of the
/// nodes. Instead each node tells two *relays* of its data centre, the first
/// two of its VMs, in the order of their IP numbers, that answer. A relay adds
/// up what the nodes of its data centre tell, exchanges sums with the relays of
/// the other data centres, and tells each node that told it something the sum
/// of all others. Nobody is appointed: whoever is told news acts as a relay
/// for those who told it.
///
/// Sums of admitted requests never shrink in one run of a relay. For a node or
/// a data centre that is silent without having said that it stops, the relay
/// reckons with its part of each customer's burst, and of its rate for as long
/// as it is silent, as that is what it may go on admitting.
///
/// Runs on the control thread.
class TrafficRelay {
 public:
  TrafficRelay(std::string ip, std::string data_centre);

  /// The VMs that are listed, by data centre; the own one among them.
  void SetNodes(std::map<std::string, std::set<std::string>> listed);
  void SetConfiguration(const MeshConfiguration& configuration);

  /// Takes what a node of the own data centre tells, this one among them.
  void ApplyNodeUpdate(const std::string& node,
                       std::uint64_t incarnation,
                       const TrafficUpdate& update,
                       TimePoint now);
  /// Takes the sum of another data centre from one of its relays.
  void ApplyDataCentreSum(const std::string& data_centre,
                          const std::string& relay,
                          std::uint64_t incarnation,
                          TrafficSum sum,
                          TimePoint now);
  /// Takes the sum of all others from a relay; whether this node is to go by
  /// it. It goes by one relay at a time; the counts are made to go on from
  /// those of the last.
  bool ApplyOthersSum(const std::string& relay,
                      std::uint64_t incarnation,
                      TrafficSum& sum,
                      TimePoint now);

  /// The nodes to tell this node's own news; it may be among them itself.
  std::vector<std::string> LocalRelays(TimePoint now);
  /// Relays of other data centres to tell the sum of the own one; none while
  /// this node is no relay.
  std::vector<std::string> RemoteRelays(TimePoint now);
  /// Nodes to tell the sum of all others; this one may be among them.
  std::vector<std::string> Subscribers(TimePoint now) const;

  TrafficSum MakeLocalSum(TimePoint now);
  FleetSum MakeFleetSum(TimePoint now);
  /// What one node is told: the customers' use at all others, and the load that
  /// all see, that node too.
  TrafficSum OthersSumFor(const std::string& node, const FleetSum& fleet) const;

  /// Whether something was told out of turn since the last call, that the
  /// listeners or the other data centres should hear at once.
  struct Urgency {
    bool subscribers = false;
    bool data_centres = false;
  };
  Urgency TakeUrgency();

 private:
  /// Rate and burst of a customer.
  struct Limit {
    double rate = 0;
    double burst = 0;
  };

  /// One customer's use at a node or in a data centre.
  struct CustomerCount {
    /// For a node, the count that it told last.
    std::uint64_t last_received = 0;
    /// Requests counted since this relay started.
    double total = 0;
    /// The part of them that was reckoned in the present silence.
    double estimated = 0;
    double demand = 0;
    /// For a data centre, what it has told of as reserved.
    double reserved = 0;
    /// Part of the fleet's demand when the silence began.
    double silent_share = 0;
  };

  /// A node of the own data centre, or another data centre.
  struct Source {
    std::uint64_t incarnation = 0;
    /// For a data centre, what its relays count.
    RelayedCounts relay_counts;
    TimePoint last_seen_at;
    /// Until when a silence has been reckoned with.
    TimePoint estimated_until;
    bool is_silent = false;
    bool is_leaving = false;
    std::uint32_t members = 1;
    LoadSum load;
    std::map<std::string, CustomerCount> customers;
  };

  /// A VM that was told something as a relay.
  struct RelayContact {
    /// Since when it owes an answer.
    std::optional<TimePoint> unanswered_since;
    /// When it was last tried although it is suspected.
    TimePoint last_tried_at;
  };

  /// Adds what a source admitted since its last news, by customer.
  void ApplyDeltas(const std::string& name,
                   Source& source,
                   const std::map<std::string, double>& deltas,
                   const std::map<std::string, CustomerUsage>& usages,
                   TimePoint now);
  /// Reckons with what silent sources may have admitted.
  void EstimateSilentSources(TimePoint now);
  void EstimateSilentSource(Source& source, TimePoint now);
  /// Keeps the fleet's demand as it is told now.
  void RecordDemand(TimePoint now);
  /// The fleet's demand of a customer as it was told at an earlier time.
  double DemandAt(const std::string& customer, TimePoint time) const;
  /// The first VMs of a data centre that answer, and one that is tried again.
  std::vector<std::string> ChooseRelays(const std::string& data_centre,
                                        TimePoint now);
  bool IsSuspected(const std::string& vm, TimePoint now) const;
  void RecordReply(const std::string& vm) {
    this->contacts[vm].unanswered_since.reset();
  }
  void AddSource(const Source& source, TimePoint now, TrafficSum& sum) const;
  /// Rate and burst of a customer; zero for one that is not configured.
  Limit LimitOf(const std::string& customer) const;
  static void SetAdmitted(const std::map<std::string, double>& counts,
                          TrafficSum& sum);

  std::string ip;
  std::string data_centre;
  std::map<std::string, std::set<std::string>> listed;
  std::map<std::string, Limit> limits;
  std::map<std::string, Source> nodes;
  std::map<std::string, Source> data_centres;
  /// The fleet's demand by customer at the last rounds, oldest first.
  struct DemandSample {
    TimePoint at;
    std::map<std::string, double> demands;
  };
  std::deque<DemandSample> demand_history;
  /// Counts of nodes that are forgotten.
  std::map<std::string, double> departed_counts;
  std::map<std::string, RelayContact> contacts;
  /// What the relays tell this node of all others, and its sum.
  RelayedCounts others;
  std::map<std::string, double> others_counts;
  Urgency urgency;
};

}  // namespace daisywinch

#endif  // DAISYWINCH_COORDINATION_TRAFFIC_RELAY_H
