#ifndef DAISYWINCH_STATE_CUSTOMER_SHARES_H
#define DAISYWINCH_STATE_CUSTOMER_SHARES_H

#include <map>
#include <string>
#include <unordered_map>

#include "state/clock.h"
#include "state/decayed_rate.h"
#include "state/mesh_configuration.h"
#include "state/mesh_settings.h"

namespace daisywinch {

/// Holds each customer to its rate over the whole fleet, by shares that follow
/// demand.
///
/// Every node tells the others what customers ask of it. A node grants itself
/// the part of a customer's rate and burst that its own demand is of the
/// fleet's. What views that differ can grant too much is bounded by the part
/// and the slack that the operators allow beyond rate and burst; see
/// docs/design/06-mesh.md.
class CustomerShares {
 public:
  explicit CustomerShares(const MeshBounds& bounds) : bounds(bounds) {}

  /// `nodes` is the number of nodes that may admit requests, this one
  /// included.
  void Configure(const MeshConfiguration& configuration,
                 int nodes,
                 TimePoint now);

  /// Takes what customers ask of another node, in requests per second.
  void TakeNews(const std::string& node,
                const std::map<std::string, double>& demand,
                TimePoint now);

  /// Counts a request of the customer and admits it if it is in the own share.
  bool Take(const std::string& customer, TimePoint now);

  /// What customers ask of this node, in requests per second, to be told to
  /// the others. Shares are then reckoned with this figure: were each node's
  /// own newer than the others', a sudden demand would raise all shares.
  std::map<std::string, double> TellOwnDemand(TimePoint now);

 private:
  struct Account {
    double rate = 0;
    double burst = 0;
    DecayedRate own_demand = DecayedRate(std::chrono::seconds(2));
    /// Own demand as the others know it.
    double told_demand = 0;
    double tokens = 0;
    bool is_new = true;
    TimePoint refilled_at;
  };

  struct PeerDemand {
    std::map<std::string, double> rates;
    TimePoint heard_at;
  };

  /// The part of the customer's rate that this node may admit, and what it may
  /// hold at once.
  struct Grant {
    double rate = 0;
    double capacity = 0;
  };

  Grant GrantOf(const std::string& name,
                const Account& account,
                TimePoint now) const;

  MeshBounds bounds;
  int node_count = 1;
  std::unordered_map<std::string, Account> accounts;
  std::map<std::string, PeerDemand> peers;
};

}  // namespace daisywinch

#endif  // DAISYWINCH_STATE_CUSTOMER_SHARES_H
