#include "node/platform_watcher.h"

#include <algorithm>
#include <random>
#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "state/event_log.h"

namespace daisywinch {

namespace {

constexpr std::chrono::seconds kWatchTime{25};
constexpr std::chrono::milliseconds kShortestPause{250};
constexpr std::chrono::milliseconds kLongestPause{750};
constexpr int kMostDoublings = 3;
constexpr std::chrono::milliseconds kShortestSlowRead{20'000};
constexpr std::chrono::milliseconds kLongestSlowRead{40'000};
/// How often a node that reads slowly asks whether it is to watch.
constexpr std::chrono::milliseconds kRuleInterval{500};

/// A random time, so that the nodes do not come to the platform at once.
Duration RandomBetween(std::chrono::milliseconds shortest,
                       std::chrono::milliseconds longest) {
  static thread_local std::minstd_rand random(std::random_device{}());
  std::uniform_int_distribution<std::int64_t> draw(shortest.count(),
                                                   longest.count());
  return std::chrono::milliseconds(draw(random));
}

}  // namespace

PlatformWatcher::PlatformWatcher(asio::io_context& context,
                                 const Address& platform,
                                 std::string value_name,
                                 Receiver receiver,
                                 WatchRule should_watch)
    : context(context),
      client(context, platform),
      value_name(std::move(value_name)),
      receiver(std::move(receiver)),
      should_watch(std::move(should_watch)) {}

void PlatformWatcher::Start() {
  asio::co_spawn(this->context, this->Watch(), asio::detached);
}

Awaitable<> PlatformWatcher::Watch() {
  while (true) {
    const bool watches = this->revision != 0 && this->should_watch();
    const Duration wait = watches ? Duration(kWatchTime) : Duration::zero();
    std::optional<PlatformValue> value =
        co_await this->client.Read(this->value_name, this->revision, wait);
    this->SetReachable(value || this->client.LastReason().empty());
    if (value) {
      this->revision = value->revision;
      this->receiver(value->text);
    }
    const bool is_missing = this->revision == 0 || !this->reachable;
    if (is_missing) {
      co_await this->WaitForRetry();
    } else if (!this->should_watch()) {
      co_await this->WaitForSlowRead();
    }
  }
}

Awaitable<> PlatformWatcher::WaitForRetry() {
  // The few nodes that watch come back fast. Starting nodes, of which there
  // may be a whole fleet, slow down.
  const int doublings =
      this->revision == 0 ? std::min(this->empty_reads++, kMostDoublings) : 0;
  const int factor = 1 << doublings;
  Timer pause(this->context,
              RandomBetween(factor * kShortestPause, factor * kLongestPause));
  ErrorCode ignored;
  co_await pause.async_wait(Await(ignored));
}

Awaitable<> PlatformWatcher::WaitForSlowRead() {
  const TimePoint next =
      BootTime::now() + RandomBetween(kShortestSlowRead, kLongestSlowRead);
  while (BootTime::now() < next && !this->should_watch()) {
    Timer pause(this->context, kRuleInterval);
    ErrorCode ignored;
    co_await pause.async_wait(Await(ignored));
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
        {{"value", this->value_name}, {"reason", this->client.LastReason()}});
  }
}

}  // namespace daisywinch
