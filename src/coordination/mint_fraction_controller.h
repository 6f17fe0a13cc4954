#ifndef DAISYWINCH_COORDINATION_MINT_FRACTION_CONTROLLER_H
#define DAISYWINCH_COORDINATION_MINT_FRACTION_CONTROLLER_H

#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <string>

#include "state/clock.h"

namespace daisywinch {

/// Time after which a minter stops minting unless a quorum of its witnesses has
/// echoed its heartbeats. Witnesses are peers in the same data centre that
/// confirm to it that they have no newer VM list; see PeerTable.
constexpr std::chrono::milliseconds kWitnessTimeout{2000};

/// Lease of granted tokens, as counted by the minter.
constexpr std::chrono::milliseconds kTokenLease{2000};
/// Lease of granted tokens, as counted by the holder; shorter than the minter's
/// lease to allow for clock drift.
constexpr std::chrono::milliseconds kHolderTokenLease{1900};

/// Progress of the current VM list in the local data centre, as known to one
/// node.
struct VmListRollout {
  /// Listed nodes of the data centre that are not known to have applied the
  /// list.
  std::size_t nodes_not_applied = 0;
  /// Number of witnesses of this node, whether they answer or not.
  std::size_t witness_count = 0;
};

/// Controls the fraction of each customer's rate and burst that this node
/// mints, so that the nodes together do not mint more than the whole rate while
/// a new VM list or configuration is rolled out.
///
/// A fraction shrinks immediately. It grows only when no node can still mint by
/// an older list: all but a few nodes have applied the new list, those few
/// cannot reach a quorum of witnesses that still have the old list and so stop
/// minting within kWitnessTimeout, and the tokens that they granted expire
/// within kTokenLease.
class MintFractionController {
 public:
  /// `started_at` is the start of the process. Fractions grow kTokenLease later
  /// at the earliest, when all grants of an earlier process on this VM have
  /// expired.
  explicit MintFractionController(TimePoint started_at);

  /// Sets the fractions according to the newest VM list and configuration, and
  /// the listed VMs of the data centre. Decreases take effect immediately.
  void SetPlannedFractions(const std::map<std::string, double>& fractions,
                           const std::set<std::string>& vms,
                           TimePoint now);

  /// Applies the planned increases if that is safe by now. Returns whether they
  /// were applied.
  bool ApplyPendingIncreases(const VmListRollout& rollout, TimePoint now);

  /// Fractions that this node currently mints, by customer.
  const std::map<std::string, double>& Fractions() const {
    return this->effective;
  }
  /// Whether the current fractions equal the planned ones.
  bool IsSettled() const { return this->effective == this->planned; }

 private:
  TimePoint started_at;
  std::map<std::string, double> planned;
  std::map<std::string, double> effective;
  std::set<std::string> vms;
  /// VMs that were removed from the list since fractions last grew. They count
  /// as not having applied the list, because they may still mint.
  std::set<std::string> removed_vms;
  /// Time since which the number of nodes that may use an older list is within
  /// the tolerated limit.
  std::optional<TimePoint> applied_since;
};

/// Number of witnesses that must have answered recently for a node to mint:
/// half of them, rounded up.
std::size_t WitnessQuorum(std::size_t witness_count);

}  // namespace daisywinch

#endif  // DAISYWINCH_COORDINATION_MINT_FRACTION_CONTROLLER_H
