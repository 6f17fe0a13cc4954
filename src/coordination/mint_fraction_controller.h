#ifndef DAISYWINCH_COORDINATION_MINT_FRACTION_CONTROLLER_H
#define DAISYWINCH_COORDINATION_MINT_FRACTION_CONTROLLER_H

#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <string>

#include "state/clock.h"

namespace daisywinch {

/// Time after which a minter that no peer answers stops minting.
constexpr std::chrono::milliseconds kWitnessTimeout{2000};

/// Lease of lent tokens at the minter.
constexpr std::chrono::milliseconds kTokenLease{2000};
/// The holder's view of the lease is shorter, for clocks that drift.
constexpr std::chrono::milliseconds kHolderTokenLease{1900};

/// What a node knows of the other nodes' view of the VM list.
struct VmListRollout {
  /// Nodes of the data centre that the list names and that are not known to
  /// have applied it.
  std::size_t nodes_not_applied = 0;
  /// Peers that this node asks whether it may mint.
  std::size_t witness_count = 0;
};

/// Decides when this node's part of each customer's rate may grow.
///
/// A part shrinks as soon as this node hears of it. It grows only when no
/// node can still mint by an older list: all but a few have applied the list,
/// those few cannot find enough witnesses with as old a list, so they stop
/// within kWitnessTimeout, and what they have lent ends within kTokenLease.
class MintFractionController {
 public:
  explicit MintFractionController(TimePoint started_at);

  /// Takes the parts by the newest list and configuration, and the VMs of the
  /// data centre that the list names.
  void SetPlannedFractions(const std::map<std::string, double>& fractions,
                           const std::set<std::string>& vms,
                           TimePoint now);

  /// Lets parts grow if that is safe by now; true if a part changed.
  bool ApplyPendingIncreases(const VmListRollout& rollout, TimePoint now);

  /// Parts that this node mints at present.
  const std::map<std::string, double>& Fractions() const {
    return this->effective;
  }
  bool IsSettled() const { return this->effective == this->planned; }

 private:
  TimePoint started_at;
  std::map<std::string, double> planned;
  std::map<std::string, double> effective;
  std::set<std::string> vms;
  /// VMs that lists have dropped since parts last grew.
  std::set<std::string> removed_vms;
  /// Time since which few enough nodes are behind.
  std::optional<TimePoint> applied_since;
};

/// Peers that must have answered for this node to mint: half, rounded up.
std::size_t WitnessQuorum(std::size_t witness_count);

}  // namespace daisywinch

#endif  // DAISYWINCH_COORDINATION_MINT_FRACTION_CONTROLLER_H
