#ifndef DAISYWINCH_COORDINATION_TOKEN_MESSAGES_H
#define DAISYWINCH_COORDINATION_TOKEN_MESSAGES_H

#include <cstdint>
#include <string>
#include <vector>

#include "state/token_cache.h"
#include "state/token_minter.h"

namespace daisywinch {

/// Asks a minter for tokens of one customer.
struct TokenDraw {
  std::string customer;
  double wanted = 0;
};

/// What became of the tokens of one grant.
struct TokenReport {
  std::string customer;
  std::uint64_t grant_id = 0;
  double spent = 0;
  bool closed = false;
};

/// Everything that one entry asks one minter at a time, for all customers.
struct TokenRequest {
  /// Chosen by the entry; the reply repeats it.
  std::uint64_t request_id = 0;
  /// Incarnation of the minter that gave the reported grants; 0 if none are
  /// reported.
  std::uint64_t minter_incarnation = 0;
  std::vector<TokenReport> reports;
  std::vector<TokenDraw> draws;
};

/// A grant to one customer.
struct CustomerGrant {
  std::string customer;
  TokenGrant grant;
};

struct TokenReply {
  std::uint64_t request_id = 0;
  std::uint64_t minter_incarnation = 0;
  std::vector<CustomerGrant> grants;
};

}  // namespace daisywinch

#endif  // DAISYWINCH_COORDINATION_TOKEN_MESSAGES_H
