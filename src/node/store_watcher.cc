#include "node/store_watcher.h"

#include <algorithm>
#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "platform/operator_documents.h"
#include "state/event_log.h"
#include "transport/http_fetch.h"

namespace daisywinch {

namespace {

using platform::StoreItem;
using platform::StorePage;

/// Longest time that one call waits for a change.
constexpr std::chrono::milliseconds kWatchWait{8000};
/// Longest time beyond it for the answer itself.
constexpr std::chrono::milliseconds kAnswerTime{1500};
/// Pause after the first call that failed; doubles with each further one.
constexpr std::chrono::milliseconds kFirstPause{150};
constexpr int kMostDoublings = 3;
constexpr std::chrono::milliseconds kSettleInterval{100};
constexpr double kPauseJitter = 0.5;

}  // namespace

StoreWatcher::StoreWatcher(asio::io_context& context,
                           const Clock& clock,
                           const Address& store,
                           std::uint64_t seed,
                           MeshDirectory& directory,
                           std::function<void()> on_change)
    : context(context),
      clock(clock),
      store(store),
      random(seed),
      directory(directory),
      on_change(std::move(on_change)) {}

void StoreWatcher::Start() {
  for (const std::string_view prefix :
       {platform::kOperatorPrefix, platform::kTargetPrefix}) {
    asio::co_spawn(this->context, this->Follow(std::string(prefix)),
                   asio::detached);
  }
  asio::co_spawn(this->context, this->SettleDirectory(), asio::detached);
}

std::uint64_t StoreWatcher::Revision() const {
  std::uint64_t lowest = 0;
  for (const auto& [prefix, progress] : this->progress_by_prefix) {
    lowest =
        lowest == 0 ? progress.revision : std::min(lowest, progress.revision);
  }
  return lowest;
}

Awaitable<> StoreWatcher::Follow(std::string prefix) {
  Progress& progress = this->progress_by_prefix[prefix];
  while (true) {
    bool is_answered = false;
    if (progress.revision == 0) {
      is_answered = co_await this->List(prefix, progress);
    } else {
      is_answered = co_await this->Watch(prefix, progress);
    }
    if (is_answered) {
      progress.failures_in_row = 0;
      this->lost_prefixes.erase(prefix);
      if (this->lost_prefixes.empty()) {
        this->ReportBack();
      }
      continue;
    }
    this->lost_prefixes.insert(prefix);
    this->ReportLost(this->last_reason);
    const int doublings = std::min(progress.failures_in_row++, kMostDoublings);
    std::uniform_real_distribution<double> jitter(1 - kPauseJitter,
                                                  1 + kPauseJitter);
    const Duration pause = std::chrono::duration_cast<Duration>(
        kFirstPause * (1 << doublings) * jitter(this->random));
    Timer timer(this->context, pause);
    ErrorCode ignored;
    co_await timer.async_wait(Await(ignored));
  }
}

Awaitable<bool> StoreWatcher::List(std::string prefix, Progress& progress) {
  std::set<std::string> keys;
  std::string after;
  std::uint64_t first_revision = 0;
  std::vector<StoreItem> items;
  while (true) {
    const std::optional<HttpResponse> response = co_await this->Ask(
        platform::MakeRangeRequest(prefix, after), kAnswerTime);
    if (!response) {
      co_return false;
    }
    std::optional<StorePage> page =
        platform::DecodePage(*response, this->last_reason);
    if (!page) {
      co_return false;
    }
    // Pages are not a snapshot: changes since the first one are asked for.
    if (first_revision == 0) {
      first_revision = page->store_revision;
    }
    for (StoreItem& item : page->items) {
      keys.insert(item.key);
      after = item.key;
      items.push_back(std::move(item));
    }
    if (!page->has_more || page->items.empty()) {
      break;
    }
  }
  // First, as the missing entries may have lapsed meanwhile.
  this->ReportBack();
  for (const StoreItem& item : items) {
    this->Apply(item);
  }
  this->KeepOnly(prefix, keys);
  progress.revision = std::max<std::uint64_t>(1, first_revision);
  this->on_change();
  co_return true;
}

Awaitable<bool> StoreWatcher::Watch(std::string prefix, Progress& progress) {
  const std::optional<HttpResponse> response = co_await this->Ask(
      platform::MakeWatchRequest(prefix, progress.revision, kWatchWait),
      kWatchWait + kAnswerTime);
  if (!response) {
    co_return false;
  }
  if (platform::IsHistoryGone(*response)) {
    LogEvent(EventId::kStoreHistoryGone,
             {{"prefix", prefix}, {"revision", progress.revision}});
    progress.revision = 0;
    co_return true;
  }
  const std::optional<StorePage> page =
      platform::DecodePage(*response, this->last_reason);
  if (!page) {
    co_return false;
  }
  if (this->lost_prefixes.erase(prefix) > 0 && this->lost_prefixes.empty()) {
    this->ReportBack();
  }
  for (const StoreItem& item : page->items) {
    this->Apply(item);
  }
  progress.revision = std::max(progress.revision, page->store_revision);
  if (!page->items.empty()) {
    this->on_change();
  }
  co_return true;
}

Awaitable<std::optional<HttpResponse>> StoreWatcher::Ask(HttpRequest request,
                                                         Duration timeout) {
  ++this->call_count;
  FetchLimits limits;
  limits.timeout = timeout;
  limits.probe_silence = true;
  ErrorCode error;
  std::optional<HttpResponse> response = co_await Fetch(
      this->context, this->store, std::move(request), limits, error);
  if (!response) {
    this->last_reason = "the store does not answer: " + error.message();
  }
  co_return response;
}

void StoreWatcher::Apply(const StoreItem& item) {
  if (item.key == platform::kConfigurationKey) {
    this->ApplyConfiguration(item);
  } else if (item.key.starts_with(platform::kEvacuationPrefix)) {
    const std::string data_centre =
        item.key.substr(platform::kEvacuationPrefix.size());
    LogEvent(EventId::kEvacuationChanged,
             {{"data_centre", data_centre},
              {"in_service", item.is_removed ? "true" : "false"},
              {"revision", item.revision}});
    this->directory.SetEvacuated(data_centre, !item.is_removed);
  } else if (item.key.starts_with(platform::kTargetPrefix)) {
    this->ApplyTarget(item);
  }
}

void StoreWatcher::ApplyConfiguration(const StoreItem& item) {
  if (item.is_removed) {
    return;
  }
  FaultList faults(item.key);
  const std::shared_ptr<const MeshConfiguration> configuration =
      platform::DecodeConfiguration(item.value, faults);
  if (!configuration) {
    LogEvent(EventId::kConfigurationRefused,
             {{"revision", item.revision},
              {"reason", faults.Faults().front().ToString()}});
    return;
  }
  const std::uint64_t version = configuration->Version();
  if (this->directory.TakeConfiguration(configuration)) {
    LogEvent(EventId::kConfigurationInForce,
             {{"version", version}, {"revision", item.revision}});
  } else if (version < this->directory.ConfigurationVersion()) {
    LogEvent(EventId::kVersionBehind, {{"version", version}});
  }
}

void StoreWatcher::ApplyTarget(const StoreItem& item) {
  const std::string id = item.key.substr(platform::kTargetPrefix.size());
  if (item.is_removed) {
    LogEvent(EventId::kTargetGone,
             {{"target", id}, {"revision", item.revision}});
    this->directory.RemoveTarget(id, this->clock.Now());
    return;
  }
  FaultList faults(item.key);
  const std::optional<MeshTarget> target =
      platform::DecodeTarget(id, item.value, faults);
  if (!target) {
    LogEvent(EventId::kTargetRefused,
             {{"target", id}, {"reason", faults.Faults().front().ToString()}});
    this->directory.RemoveTarget(id, this->clock.Now());
    return;
  }
  LogEvent(EventId::kTargetListed,
           {{"target", id},
            {"service", target->service},
            {"address", target->address.ToString()},
            {"leaving", target->leaving ? "true" : "false"},
            {"revision", item.revision}});
  this->directory.TakeTarget(*target);
}

void StoreWatcher::KeepOnly(std::string_view prefix,
                            const std::set<std::string>& keys) {
  std::set<std::string> names;
  const std::string_view kept = prefix == platform::kTargetPrefix
                                    ? platform::kTargetPrefix
                                    : platform::kEvacuationPrefix;
  for (const std::string& key : keys) {
    if (key.starts_with(kept)) {
      names.insert(key.substr(kept.size()));
    }
  }
  if (prefix == platform::kTargetPrefix) {
    for (const std::string& id :
         this->directory.KeepOnlyTargets(names, this->clock.Now())) {
      LogEvent(EventId::kTargetGone, {{"target", id}, {"revision", "list"}});
    }
  } else {
    this->directory.KeepOnlyEvacuated(names);
  }
}

void StoreWatcher::ReportLost(const std::string& reason) {
  if (this->lost_prefixes.size() == 1) {
    LogEvent(EventId::kPlatformUnreachable, {{"reason", reason}});
  }
  this->directory.StoreLost();
}

void StoreWatcher::ReportBack() {
  if (this->directory.StoreBack(this->clock.Now())) {
    LogEvent(EventId::kPlatformReachable, {});
  }
}

Awaitable<> StoreWatcher::SettleDirectory() {
  while (true) {
    Timer timer(this->context, kSettleInterval);
    ErrorCode ignored;
    co_await timer.async_wait(Await(ignored));
    if (this->directory.Settle(this->clock.Now())) {
      this->on_change();
    }
  }
}

}  // namespace daisywinch
