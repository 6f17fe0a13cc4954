#ifndef DAISYWINCH_COORDINATION_TOKEN_MESSAGES_H
#define DAISYWINCH_COORDINATION_TOKEN_MESSAGES_H

#include <cstdint>
#include <string>
#include <vector>

#include "state/token_cache.h"
#include "state/token_minter.h"

namespace daisywinch {

/// Request for tokens of one customer.
struct TokenDraw {
  std::string customer;
  double wanted = 0;
};

/// Use of the tokens of one grant.
struct TokenReport {
  std::string customer;
  std::uint64_t grant_id = 0;
  /// Tokens spent since the grant was given.
  double spent = 0;
  /// The holder returns the unspent tokens and will not use the grant any more.
  bool closed = false;
};

/// Message from a node to a minter: reports and requests for all customers.
struct TokenRequest {
  /// Chosen by the sender; repeated in the reply.
  std::uint64_t request_id = 0;
  /// Incarnation of the minter that issued the reported grants; 0 if there are
  /// no reports.
  std::uint64_t minter_incarnation = 0;
  std::vector<TokenReport> reports;
  std::vector<TokenDraw> draws;
};

/// Tokens of one customer, granted under a lease.
struct CustomerGrant {
  std::string customer;
  TokenGrant grant;
};

/// Reply of a minter to a TokenRequest. Draws that got nothing have no grant.
struct TokenReply {
  std::uint64_t request_id = 0;
  std::uint64_t minter_incarnation = 0;
  std::vector<CustomerGrant> grants;
};

}  // namespace daisywinch

#endif  // DAISYWINCH_COORDINATION_TOKEN_MESSAGES_H
