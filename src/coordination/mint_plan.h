#ifndef DAISYWINCH_COORDINATION_MINT_PLAN_H
#define DAISYWINCH_COORDINATION_MINT_PLAN_H

#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "state/configuration.h"
#include "state/snapshot.h"
#include "state/token_minter.h"

namespace daisywinch {

/// Selects the VMs of a data centre that mint a customer's tokens, by
/// rendezvous hashing over the VMs that are not leaving.
///
/// The number of minters grows with the customer's burst in the data centre, up
/// to kMaxMinters, so that the burst of each minter allows it to grant whole
/// tokens. Empty if the data centre is not configured.
std::vector<std::string> SelectMinters(const Snapshot& snapshot,
                                       const Customer& customer,
                                       std::string_view data_centre);

/// Maximum number of minters per customer and data centre.
constexpr int kMaxMinters = 5;

/// Computes the fraction of each customer's rate and burst that a VM mints: the
/// share of its data centre, divided evenly among the customer's minters there.
/// Customers for which the VM is no minter are left out.
std::map<std::string, double> ComputeMintFractions(
    const Snapshot& snapshot,
    std::string_view vm,
    std::string_view data_centre);

}  // namespace daisywinch

#endif  // DAISYWINCH_COORDINATION_MINT_PLAN_H
