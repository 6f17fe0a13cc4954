#include "node/rate_limiter.h"

#include <algorithm>
#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace daisywinch {

namespace {

constexpr std::chrono::milliseconds kTokenRequestInterval{100};
/// Maximum time that a call waits for a token.
constexpr std::chrono::milliseconds kTokenWaitTimeout{250};
/// Maximum number of a customer's calls that wait while the minters have no
/// tokens.
constexpr int kMaxWaitingWhenExhausted = 4;
/// Interval at which a waiting call checks for tokens if no reply wakes it.
constexpr std::chrono::milliseconds kRecheckInterval{10};
/// Minimum time since the last token requests before a waiting call sends more.
constexpr std::chrono::milliseconds kMinTokenRequestInterval{5};

}  // namespace

RateLimiter::RateLimiter(asio::io_context& context,
                         const Clock& clock,
                         const Settings& settings,
                         std::uint64_t seed,
                         const SnapshotHolder& snapshots,
                         RequestSender send_request)
    : context(context),
      clock(clock),
      snapshots(snapshots),
      caches(settings.vm, settings.data_centre, seed),
      send_request(std::move(send_request)) {}

void RateLimiter::Start() {
  asio::co_spawn(this->context, this->RunTokenRequests(), asio::detached);
}

Awaitable<> RateLimiter::RunTokenRequests() {
  while (true) {
    this->RequestTokens();
    Timer timer(this->context, kTokenRequestInterval);
    ErrorCode ignored;
    co_await timer.async_wait(Await(ignored));
  }
}

void RateLimiter::RequestTokens() {
  this->requested_at = this->clock.Now();
  const std::shared_ptr<const Snapshot> snapshot = this->snapshots.Load();
  if (!snapshot) {
    return;
  }
  for (const AddressedTokenRequest& request :
       this->caches.MakeRequests(*snapshot, this->clock.Now())) {
    this->send_request(request);
  }
}

Awaitable<bool> RateLimiter::TryAcquire(std::string customer) {
  this->caches.AddDemand(customer, this->clock.Now());
  if (this->caches.TryAcquire(customer, this->clock.Now())) {
    co_return true;
  }
  // While the minters have no tokens for the customer, only a few of its calls
  // wait, and the others are refused at once. A customer that is only slightly
  // over its rate does not reach this number, so its calls wait for the next
  // tokens; a customer far over its rate does.
  if (this->caches.IsExhausted(customer) &&
      this->caches.Waiting(customer) >= kMaxWaitingWhenExhausted) {
    co_return false;
  }
  this->caches.AddWaiting(customer, 1);
  const bool is_acquired = co_await this->WaitForToken(customer);
  this->caches.AddWaiting(customer, -1);
  co_return is_acquired;
}

Awaitable<bool> RateLimiter::WaitForToken(std::string customer) {
  const TimePoint deadline = this->clock.Now() + kTokenWaitTimeout;
  while (this->clock.Now() < deadline) {
    const TimePoint now = this->clock.Now();
    const bool minters_have_tokens = !this->caches.IsExhausted(customer);
    if (minters_have_tokens &&
        now - this->requested_at >= kMinTokenRequestInterval) {
      this->RequestTokens();
    }
    const std::shared_ptr<Timer> wake_up = std::make_shared<Timer>(
        this->context, std::min<TimePoint>(deadline, now + kRecheckInterval));
    this->waiting_calls.push_back(wake_up);
    ErrorCode ignored;
    co_await wake_up->async_wait(Await(ignored));
    if (this->caches.TryAcquire(customer, this->clock.Now())) {
      co_return true;
    }
  }
  co_return false;
}

void RateLimiter::HandleReply(const std::string& vm, const TokenReply& reply) {
  this->caches.HandleReply(vm, reply, this->clock.Now());
  for (const std::shared_ptr<Timer>& wake_up :
       std::exchange(this->waiting_calls, {})) {
    wake_up->cancel();
  }
}

}  // namespace daisywinch
