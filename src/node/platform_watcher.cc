#include "node/platform_watcher.h"

#include <algorithm>
#include <random>
#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "state/event_log.h"

namespace daisywinch {

namespace {

/// Time that the platform holds a long poll if the value does not change. That
/// the response to a poll is lost is noticed only afterwards, and changes must
/// be applied within four seconds.
constexpr std::chrono::seconds kWatchTimeout{1};
/// Bounds of the random delay before a retry. Backoff doubles both up to
/// kMaxBackoffDoublings times.
constexpr std::chrono::milliseconds kMinRetryDelay{250};
constexpr std::chrono::milliseconds kMaxRetryDelay{750};
constexpr int kMaxBackoffDoublings = 3;
/// Bounds of the random interval between the polls of a node that does not
/// watch.
constexpr std::chrono::milliseconds kMinPollInterval{20'000};
constexpr std::chrono::milliseconds kMaxPollInterval{40'000};
/// Interval at which a node that polls checks whether it should watch.
constexpr std::chrono::milliseconds kWatchCheckInterval{500};

/// Returns a random duration, so that the nodes do not send their requests to
/// the platform at the same time.
Duration RandomBetween(std::chrono::milliseconds min,
                       std::chrono::milliseconds max) {
  static thread_local std::minstd_rand random(std::random_device{}());
  std::uniform_int_distribution<std::int64_t> distribution(min.count(),
                                                           max.count());
  return std::chrono::milliseconds(distribution(random));
}

}  // namespace

PlatformWatcher::PlatformWatcher(asio::io_context& context,
                                 const Address& platform,
                                 std::string value_name,
                                 ValueHandler on_value,
                                 WatchPredicate should_watch)
    : context(context),
      client(context, platform),
      value_name(std::move(value_name)),
      on_value(std::move(on_value)),
      should_watch(std::move(should_watch)) {}

void PlatformWatcher::Start() {
  asio::co_spawn(this->context, this->Watch(), asio::detached);
}

Awaitable<> PlatformWatcher::Watch() {
  while (true) {
    // After a failure the value is read without a watch: the response shows at
    // once that the platform is back, and has more time to arrive.
    const bool is_watching =
        this->revision != 0 && this->reachable && this->should_watch();
    const Duration wait =
        is_watching ? Duration(kWatchTimeout) : Duration::zero();
    std::optional<PlatformValue> value =
        co_await this->client.Read(this->value_name, this->revision, wait);
    this->SetReachable(value || this->client.LastError().empty());
    if (value) {
      this->revision = value->revision;
      this->on_value(value->text);
    }
    const bool should_retry = this->revision == 0 || !this->reachable;
    if (should_retry) {
      co_await this->WaitForRetry();
    } else if (!this->should_watch()) {
      co_await this->WaitForNextPoll();
    }
  }
}

Awaitable<> PlatformWatcher::WaitForRetry() {
  // Nodes without a value back off exponentially, because a whole fleet may be
  // starting. Nodes with a value retry without backoff, so that the few that
  // watch it return soon after an outage of the platform.
  const int doublings =
      this->revision == 0 ? std::min(this->empty_reads++, kMaxBackoffDoublings)
                          : 0;
  const int factor = 1 << doublings;
  Timer timer(this->context,
              RandomBetween(factor * kMinRetryDelay, factor * kMaxRetryDelay));
  ErrorCode ignored;
  co_await timer.async_wait(Await(ignored));
}

Awaitable<> PlatformWatcher::WaitForNextPoll() {
  const TimePoint next =
      BootTime::now() + RandomBetween(kMinPollInterval, kMaxPollInterval);
  while (BootTime::now() < next && !this->should_watch()) {
    Timer timer(this->context, kWatchCheckInterval);
    ErrorCode ignored;
    co_await timer.async_wait(Await(ignored));
  }
}

void PlatformWatcher::SetReachable(bool is_reachable) {
  if (this->reachable == is_reachable) {
    return;
  }
  this->reachable = is_reachable;
  if (is_reachable) {
    LogEvent(EventId::kPlatformReachable, {{"value", this->value_name}});
  } else {
    LogEvent(
        EventId::kPlatformUnreachable,
        {{"value", this->value_name}, {"reason", this->client.LastError()}});
  }
}

}  // namespace daisywinch
