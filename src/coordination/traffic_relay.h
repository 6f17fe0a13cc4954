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
#include "state/fatal_requests.h"
#include "state/mesh_configuration.h"

namespace daisywinch {

/// Traffic of the whole fleet, as computed by a relay.
struct FleetSum {
  TrafficSum sum;
  /// Admitted requests by customer, fractional where the traffic of silent
  /// sources is estimated.
  std::map<std::string, double> counts;
};

/// Decides which nodes exchange traffic updates, and aggregates them.
///
/// If every node sent to all others, the number of updates would grow with the
/// square of the number of nodes. Instead each node sends its updates to two
/// *relays* of its data centre: the first two of its VMs, in the order of their
/// IP addresses, that answer. A relay sums the updates of the nodes of its data
/// centre, exchanges sums with the relays of the other data centres, and sends
/// each node that sends to it the sum of all others. Relays are not elected:
/// whichever node receives updates acts as a relay for their senders.
///
/// Sums of admitted requests never decrease during one run of a relay. A
/// *source*, which is a node or another data centre, is silent when its updates
/// stop without an announced shutdown. As it may continue to admit requests,
/// the relay then reserves its share of each customer's burst, and adds its
/// share of the rate to the sums for as long as it is silent.
///
/// Used on the control thread.
class TrafficRelay {
 public:
  TrafficRelay(std::string ip, std::string data_centre);

  /// Sets the listed VMs by data centre, this VM included.
  void SetNodes(std::map<std::string, std::set<std::string>> listed);
  /// Sets the rates and bursts that the estimates for silent sources use.
  void SetConfiguration(const MeshConfiguration& configuration);

  /// Applies the update of a node of the local data centre, this node included.
  void ApplyNodeUpdate(const std::string& node,
                       std::uint64_t incarnation,
                       const TrafficUpdate& update,
                       TimePoint now);
  /// Applies the sum of another data centre from one of its relays.
  void ApplyDataCentreSum(const std::string& data_centre,
                          const std::string& relay,
                          std::uint64_t incarnation,
                          TrafficSum sum,
                          TimePoint now);
  /// Applies the sum of all other nodes from a relay; returns whether this node
  /// is to use it. Only one relay is used at a time. The admitted counts in
  /// `sum` are replaced by counts that continue across a change of the relay.
  bool ApplyOthersSum(const std::string& relay,
                      std::uint64_t incarnation,
                      TrafficSum& sum,
                      TimePoint now);

  /// Whether this node reaches so few nodes that most requests would fail: at
  /// most half of those in its own data centre and less than half of all. An
  /// isolated data centre isn't meant, as its nodes serve each other. False
  /// before the first sum arrives.
  bool IsIsolated(TimePoint now) const;

  /// Returns the relays to send this node's own update to; this node may be
  /// among them.
  std::vector<std::string> LocalRelays(TimePoint now);
  /// Returns the relays of other data centres to send the local sum to; none
  /// while this node is not a relay.
  std::vector<std::string> RemoteRelays(TimePoint now);
  /// Returns the nodes to send the sum of all others to; this node may be among
  /// them.
  std::vector<std::string> Subscribers(TimePoint now) const;

  /// Returns the sum of the local data centre, estimates for silent nodes
  /// included.
  TrafficSum MakeLocalSum(TimePoint now);
  /// Returns the sum of all nodes, estimates included, and records the fleet's
  /// demand for later estimates.
  FleetSum MakeFleetSum(TimePoint now);
  /// Returns the sum to send to one node: the customers' usage at all other
  /// nodes, and the load of all nodes, that one included.
  TrafficSum OthersSumFor(const std::string& node, const FleetSum& fleet) const;

  /// Whether an early update has arrived since the last call that the
  /// subscribers or the other data centres should receive at once.
  struct Urgency {
    bool subscribers = false;
    bool data_centres = false;
  };
  Urgency TakeUrgency();

 private:
  /// Rate, in requests per second, and burst of a customer.
  struct Limit {
    double rate = 0;
    double burst = 0;
  };

  /// A customer's usage at a node or in a data centre.
  struct CustomerCount {
    /// For a node, the count in its last update.
    std::uint64_t last_received = 0;
    /// Requests counted since this relay started, estimates included.
    double total = 0;
    /// Requests of the total that were estimated during the current silence.
    double estimated = 0;
    double demand = 0;
    /// For a data centre, the requests that it reported as reserved.
    double reserved = 0;
    /// Share of the customer's limits that is reserved for the source during
    /// its silence, from 0 to 1.
    double silent_share = 0;
  };

  /// A node of the local data centre, or another data centre.
  struct Source {
    std::uint64_t incarnation = 0;
    /// For a data centre, the counters of its relays.
    RelayedCounts relay_counts;
    TimePoint last_seen_at;
    /// End of the time for which traffic has been estimated during a silence.
    TimePoint estimated_until;
    bool is_silent = false;
    bool is_leaving = false;
    std::uint32_t members = 1;
    LoadSum load;
    std::map<std::string, CustomerCount> customers;
  };

  /// State of a VM that updates are sent to as a relay.
  struct RelayContact {
    /// Time of the first update that it has not answered; empty if there is
    /// none.
    std::optional<TimePoint> unanswered_since;
    /// Time at which an update was last sent to it.
    TimePoint last_tried_at;
  };

  /// Adds the requests that a source admitted since its last update, by
  /// customer.
  void ApplyDeltas(const std::string& name,
                   Source& source,
                   const std::map<std::string, double>& deltas,
                   const std::map<std::string, CustomerUsage>& usages,
                   TimePoint now);
  /// Estimates the requests that silent sources may have admitted, and forgets
  /// nodes that have left the list.
  void EstimateSilentSources(TimePoint now);
  void EstimateSilentSource(Source& source, TimePoint now);
  /// Returns the share of a customer's limits that is reserved for silent
  /// sources, from 0 to 1.
  double SilentShare(const std::string& customer) const;
  /// Records the current demand of the sources that are not silent.
  void RecordDemand(TimePoint now);
  /// Returns the demand of a customer at the sources that were not silent at an
  /// earlier time, in requests per second.
  double DemandAt(const std::string& customer, TimePoint time) const;
  /// Returns the first VMs of a data centre that answer, and suspected ones
  /// before them that are due for a retry.
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
  /// The fleet's demand by customer at one time; the history is ordered from
  /// old to new.
  struct DemandSample {
    TimePoint at;
    std::map<std::string, double> demands;
  };
  std::deque<DemandSample> demand_history;
  /// Counts of nodes that have been forgotten, by customer.
  std::map<std::string, double> departed_counts;
  std::map<std::string, RelayContact> contacts;
  /// Counters of the relays for the sum of all other nodes, and their running
  /// total by customer.
  RelayedCounts others;
  std::map<std::string, double> others_counts;
  /// Time of the last sum that was used, and the nodes in it.
  TimePoint others_sum_at;
  std::uint32_t reached_nodes = 0;
  std::uint32_t reached_local_nodes = 0;
  Urgency urgency;
  /// Crashes of targets that any node reported.
  FatalRequests fatal_requests;
};

}  // namespace daisywinch

#endif  // DAISYWINCH_COORDINATION_TRAFFIC_RELAY_H
