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

/// Holds each customer to its rate and burst over all nodes together.
///
/// Spends tokens that were drawn ahead by demand. A call waits for tokens only
/// when a customer asks for more than it lately did; while the minters are
/// empty, only a few calls of each customer may wait. Runs on the entry's
/// thread.
class RateLimiter {
 public:
  /// Sends a request to a minter; the reply comes by TakeReply().
  using RequestSender = std::function<void(const AddressedTokenRequest&)>;

  RateLimiter(asio::io_context& context,
              const Clock& clock,
              const Settings& settings,
              std::uint64_t seed,
              const SnapshotHolder& snapshots,
              RequestSender send_request);

  /// Draws and reports tokens until the context stops.
  void Start();

  /// Takes one token of a customer; false when it is over its rate.
  Awaitable<bool> TryAcquire(std::string customer);

  void HandleReply(const std::string& vm, const TokenReply& reply);

 private:
  /// Waits until a token is drawn for a call or its time is over.
  Awaitable<bool> WaitForToken(std::string customer);
  Awaitable<> RunTokenRequests();
  void RequestTokens();

  asio::io_context& context;
  const Clock& clock;
  const SnapshotHolder& snapshots;
  TokenCacheSet caches;
  RequestSender send_request;
  TimePoint requested_at;
  /// Calls that wait for tokens.
  std::vector<std::shared_ptr<Timer>> waiting_calls;
};

}  // namespace daisywinch

#endif  // DAISYWINCH_NODE_RATE_LIMITER_H
