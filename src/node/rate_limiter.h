#ifndef DAISYWINCH_NODE_RATE_LIMITER_H
#define DAISYWINCH_NODE_RATE_LIMITER_H

#include <string>
#include <string_view>
#include <unordered_map>

#include "state/snapshot.h"
#include "state/token_bucket.h"

namespace daisywinch {

/// Holds each customer to this node's even part of its rate and burst.
class RateLimiter {
 public:
  RateLimiter(std::string data_centre, const Clock& clock);

  /// Takes one token of a customer; false when it is over its rate.
  bool Take(const Snapshot& snapshot, std::string_view customer);

 private:
  std::string data_centre;
  const Clock& clock;
  std::unordered_map<std::string, TokenBucket> buckets;
};

}  // namespace daisywinch

#endif  // DAISYWINCH_NODE_RATE_LIMITER_H
