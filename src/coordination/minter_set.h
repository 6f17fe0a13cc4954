#ifndef DAISYWINCH_COORDINATION_MINTER_SET_H
#define DAISYWINCH_COORDINATION_MINTER_SET_H

#include <cstdint>
#include <map>
#include <string>

#include "coordination/token_messages.h"
#include "state/configuration.h"
#include "state/token_minter.h"

namespace daisywinch {

/// The token minters of this node, one per customer that it mints for. A minter
/// issues the tokens that nodes need to admit the customer's requests.
class MinterSet {
 public:
  /// `incarnation` identifies this process. Reports on grants of an earlier
  /// process on this VM are ignored.
  explicit MinterSet(std::uint64_t incarnation);

  /// Sets the fraction of each customer's rate and burst to mint; the minters
  /// of all other customers stop minting.
  void SetFractions(const std::map<std::string, double>& fractions,
                    const Configuration& configuration,
                    TimePoint now);

  /// Applies the reports of a request and grants the tokens that it draws, as
  /// far as available. Grants nothing if `may_mint` is false.
  TokenReply HandleRequest(const TokenRequest& request,
                           bool may_mint,
                           TimePoint now);

 private:
  std::uint64_t incarnation;
  std::map<std::string, TokenMinter, std::less<>> minters;
};

}  // namespace daisywinch

#endif  // DAISYWINCH_COORDINATION_MINTER_SET_H
