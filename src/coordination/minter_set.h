#ifndef DAISYWINCH_COORDINATION_MINTER_SET_H
#define DAISYWINCH_COORDINATION_MINTER_SET_H

#include <cstdint>
#include <map>
#include <string>

#include "coordination/token_messages.h"
#include "state/configuration.h"
#include "state/token_minter.h"

namespace daisywinch {

/// The minters of this node, one for each customer that it mints for.
class MinterSet {
 public:
  explicit MinterSet(std::uint64_t incarnation);

  /// Sets the part of each customer's rate and burst; others mint nothing.
  void SetFractions(const std::map<std::string, double>& fractions,
                    const Configuration& configuration,
                    TimePoint now);

  /// Takes reports and answers draws. Nothing is lent unless `may_mint`.
  TokenReply HandleRequest(const TokenRequest& request,
                           bool may_mint,
                           TimePoint now);

 private:
  std::uint64_t incarnation;
  std::map<std::string, TokenMinter, std::less<>> minters;
};

}  // namespace daisywinch

#endif  // DAISYWINCH_COORDINATION_MINTER_SET_H
