#include "node/platform_watcher.h"

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

/// A random pause, so that the nodes do not come back to the platform at once.
Duration RandomPause() {
  static thread_local std::minstd_rand random(std::random_device{}());
  std::uniform_int_distribution<std::int64_t> draw(kShortestPause.count(),
                                                   kLongestPause.count());
  return std::chrono::milliseconds(draw(random));
}

}  // namespace

PlatformWatcher::PlatformWatcher(asio::io_context& context,
                                 const Address& platform,
                                 std::string value_name,
                                 Receiver receiver)
    : context(context),
      client(context, platform),
      value_name(std::move(value_name)),
      receiver(std::move(receiver)) {}

void PlatformWatcher::Start() {
  asio::co_spawn(this->context, this->Watch(), asio::detached);
}

Awaitable<> PlatformWatcher::Watch() {
  while (true) {
    const Duration wait =
        this->revision == 0 ? Duration::zero() : Duration(kWatchTime);
    std::optional<PlatformValue> value =
        co_await this->client.Read(this->value_name, this->revision, wait);
    this->SetReachable(value || this->client.LastReason().empty());
    if (value) {
      this->revision = value->revision;
      this->receiver(value->text);
    }
    if (!this->reachable) {
      Timer pause(this->context, RandomPause());
      ErrorCode ignored;
      co_await pause.async_wait(Await(ignored));
    }
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
