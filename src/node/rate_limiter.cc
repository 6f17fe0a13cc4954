#include "node/rate_limiter.h"

#include <algorithm>
#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace daisywinch {

namespace {

constexpr std::chrono::milliseconds kExchangeInterval{100};
/// Longest time that a call waits for tokens.
constexpr std::chrono::milliseconds kTokenTimeout{250};
/// Calls of a customer that may wait while the minters are empty.
constexpr int kMostWaitingWhenExhausted = 4;
/// Time after which a waiting call looks again.
constexpr std::chrono::milliseconds kWaitInterval{10};
/// Time between two exchanges that waiting calls ask for.
constexpr std::chrono::milliseconds kLeastExchangeInterval{5};

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
      stocks(settings.vm, settings.data_centre, seed),
      send_request(std::move(send_request)) {}

void RateLimiter::Start() {
  asio::co_spawn(this->context, this->RunExchanges(), asio::detached);
}

Awaitable<> RateLimiter::RunExchanges() {
  while (true) {
    this->Exchange();
    Timer timer(this->context, kExchangeInterval);
    ErrorCode ignored;
    co_await timer.async_wait(Await(ignored));
  }
}

void RateLimiter::Exchange() {
  this->exchanged_at = this->clock.Now();
  const std::shared_ptr<const Snapshot> snapshot = this->snapshots.Load();
  if (!snapshot) {
    return;
  }
  for (const AddressedTokenRequest& request :
       this->stocks.MakeRequests(*snapshot, this->clock.Now())) {
    this->send_request(request);
  }
}

Awaitable<bool> RateLimiter::Take(std::string customer) {
  this->stocks.AddDemand(customer, this->clock.Now());
  if (this->stocks.TryAcquire(customer, this->clock.Now())) {
    co_return true;
  }
  // A customer far over its rate fills these few places; one that is a call
  // ahead of its tokens waits for the next.
  if (this->stocks.IsExhausted(customer) &&
      this->stocks.Waiting(customer) >= kMostWaitingWhenExhausted) {
    co_return false;
  }
  this->stocks.AddWaiting(customer, 1);
  const bool taken = co_await this->WaitForToken(customer);
  this->stocks.AddWaiting(customer, -1);
  co_return taken;
}

Awaitable<bool> RateLimiter::WaitForToken(std::string customer) {
  const TimePoint latest = this->clock.Now() + kTokenTimeout;
  while (this->clock.Now() < latest) {
    const TimePoint now = this->clock.Now();
    const bool may_help = !this->stocks.IsExhausted(customer);
    if (may_help && now - this->exchanged_at >= kLeastExchangeInterval) {
      this->Exchange();
    }
    const std::shared_ptr<Timer> wake_up = std::make_shared<Timer>(
        this->context, std::min<TimePoint>(latest, now + kWaitInterval));
    this->waiting.push_back(wake_up);
    ErrorCode ignored;
    co_await wake_up->async_wait(Await(ignored));
    if (this->stocks.TryAcquire(customer, this->clock.Now())) {
      co_return true;
    }
  }
  co_return false;
}

void RateLimiter::TakeReply(const std::string& vm, const TokenReply& reply) {
  this->stocks.HandleReply(vm, reply, this->clock.Now());
  for (const std::shared_ptr<Timer>& wake_up :
       std::exchange(this->waiting, {})) {
    wake_up->cancel();
  }
}

}  // namespace daisywinch
