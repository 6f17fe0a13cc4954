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

/// VMs of a data centre that mint a customer's tokens, by rendezvous hashing.
///
/// Their number grows with the customer's burst, so that each has whole
/// tokens to lend, up to kMaxMinters.
std::vector<std::string> SelectMinters(const Snapshot& snapshot,
                                       const Customer& customer,
                                       std::string_view data_centre);

constexpr int kMaxMinters = 5;

/// Part of each customer's rate and burst that a VM is to mint.
std::map<std::string, double> ComputeMintFractions(
    const Snapshot& snapshot,
    std::string_view vm,
    std::string_view data_centre);

}  // namespace daisywinch

#endif  // DAISYWINCH_COORDINATION_MINT_PLAN_H
