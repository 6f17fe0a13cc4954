#ifndef DAISYWINCH_NODE_RATE_LIMITER_H
#define DAISYWINCH_NODE_RATE_LIMITER_H

#include <functional>
#include <memory>
#include <string>
#include <vector>

#include "coordination/token_cache_set.h"
#include "state/clock.h"
#include "state/settings.h"
#include "state/snapshot.h"
#include "transport/asio.h"

namespace daisywinch {

/// Limits each customer to its rate and burst over all nodes together.
///
/// Each request spends a token of its customer. A few nodes, the minters of the
/// customer, issue the tokens. This node requests tokens ahead of time
/// according to the recent demand and caches them, so that a call waits only
/// when the demand of its customer increases. While the minters have no tokens,
/// only a few calls of each customer may wait. Runs on the ingress thread.
class RateLimiter {
 public:
  /// Sends a token request to a minter; its reply is passed to HandleReply().
  using RequestSender = std::function<void(const AddressedTokenRequest&)>;

  RateLimiter(asio::io_context& context,
              const Clock& clock,
              const Settings& settings,
              std::uint64_t seed,
              const SnapshotHolder& snapshots,
              RequestSender send_request);

  /// Starts to request tokens, and report spent ones, periodically until the
  /// context stops.
  void Start();

  /// Spends one token of a customer, for which it may wait a short time.
  /// Returns false if the customer is over its rate.
  Awaitable<bool> TryAcquire(std::string customer);

  /// Caches the tokens that the minter on `vm` granted and wakes the waiting
  /// calls.
  void HandleReply(const std::string& vm, const TokenReply& reply);

 private:
  /// Waits for a token and spends it. Returns false if none is available in
  /// time.
  Awaitable<bool> WaitForToken(std::string customer);
  Awaitable<> RunTokenRequests();
  /// Sends a round of token requests.
  void RequestTokens();

  asio::io_context& context;
  const Clock& clock;
  const SnapshotHolder& snapshots;
  TokenCacheSet caches;
  RequestSender send_request;
  TimePoint requested_at;
  /// Timers of the calls that wait for tokens.
  std::vector<std::shared_ptr<Timer>> waiting_calls;
};

}  // namespace daisywinch

#endif  // DAISYWINCH_NODE_RATE_LIMITER_H
