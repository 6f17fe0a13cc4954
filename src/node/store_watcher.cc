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

/// Longest time that one call waits for a change of a target.
constexpr std::chrono::milliseconds kTargetWatchWait{8000};
/// The same for what operators write. An answer that is overdue shows that the
/// store is cut off or silent, to this node or to the relay that feeds it, long
/// before the connection ends; operators want changes in force in two seconds.
constexpr std::chrono::milliseconds kOperatorWatchWait{1000};
constexpr std::chrono::milliseconds kOverdue{400};
/// Longest time beyond it for the answer itself.
constexpr std::chrono::milliseconds kAnswerTime{1500};
/// Pause after the first call that failed; doubles with each further one.
constexpr std::chrono::milliseconds kFirstPause{150};
constexpr int kMostDoublings = 3;
constexpr std::chrono::milliseconds kSettleInterval{100};
/// The same while a relay is heard, which tries more often and tells when the
/// store is back.
constexpr int kMostToldDoublings = 5;
/// Time in which changes of targets gather before they are asked for again;
/// each answer with a change is a call, and many come together.
constexpr std::chrono::milliseconds kGatherTime{250};
/// Time between two looks whether this node has to read the store itself.
constexpr std::chrono::milliseconds kFeedCheckInterval{100};
/// Longest time that a node waits before it reads what the feed shows to be
/// missing: the change itself may be on its way, and others read too.
constexpr std::chrono::milliseconds kMostCatchUpDelay{200};
/// Time that a call for missing changes waits for any.
constexpr std::chrono::milliseconds kCatchUpWait{100};
/// Longest time for lapsed entries to return that is believed of a relay.
constexpr std::chrono::milliseconds kMostLapseTime{3000};
/// Largest changes in bytes that are passed on in a datagram.
constexpr std::size_t kMostFedBytes = std::size_t{32} * 1024;
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
    asio::co_spawn(this->context, this->CatchUp(std::string(prefix)),
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

bool StoreWatcher::IsFed() const {
  return !this->is_relay && this->store_feed.HasLiveFeed(this->clock.Now());
}

void StoreWatcher::ReportFeed() {
  const bool is_fed = this->IsFed();
  if (is_fed == this->reported_fed) {
    return;
  }
  this->reported_fed = is_fed;
  LogEvent(is_fed ? EventId::kStoreFed : EventId::kStoreReadItself,
           {{"relay", this->is_relay ? "true" : "false"},
            {"revision", this->Revision()}});
}

Awaitable<> StoreWatcher::Pause(Duration time) {
  Timer timer(this->context, time);
  ErrorCode ignored;
  co_await timer.async_wait(Await(ignored));
}

Awaitable<> StoreWatcher::Follow(std::string prefix) {
  Progress& progress = this->progress_by_prefix[prefix];
  while (true) {
    bool is_answered = false;
    if (progress.revision == 0) {
      is_answered = co_await this->List(prefix, progress);
    } else if (this->IsFed()) {
      co_await this->Pause(kFeedCheckInterval);
      continue;
    } else {
      const bool is_operators = prefix == platform::kOperatorPrefix;
      const Duration wait =
          is_operators ? kOperatorWatchWait : kTargetWatchWait;
      progress.due_at = this->clock.Now() + wait + kOverdue;
      is_answered = co_await this->Watch(prefix, progress, wait);
      progress.due_at.reset();
    }
    if (is_answered) {
      progress.failures_in_row = 0;
      this->lost_prefixes.erase(prefix);
      if (this->lost_prefixes.empty()) {
        this->ReportBack();
      }
      if (prefix == platform::kTargetPrefix) {
        co_await this->Pause(kGatherTime);
      }
      continue;
    }
    this->lost_prefixes.insert(prefix);
    this->ReportLost(this->last_reason);
    co_await this->PauseAfterFailure(progress.failures_in_row++);
  }
}

Awaitable<> StoreWatcher::PauseAfterFailure(int failures_in_row) {
  std::uniform_real_distribution<double> jitter(1 - kPauseJitter,
                                                1 + kPauseJitter);
  const TimePoint started = this->clock.Now();
  const double factor = jitter(this->random);
  while (!this->IsFed()) {
    // While a relay is heard, it tries more often and tells of it.
    const bool is_told =
        !this->is_relay && this->store_feed.HasLiveRelay(this->clock.Now());
    const int doublings = std::min(
        failures_in_row, is_told ? kMostToldDoublings : kMostDoublings);
    const Duration pause = std::chrono::duration_cast<Duration>(
        kFirstPause * (1 << doublings) * factor);
    const Duration left = started + pause - this->clock.Now();
    if (left <= Duration::zero()) {
      co_return;
    }
    co_await this->Pause(std::min<Duration>(kFeedCheckInterval, left));
  }
}

Awaitable<> StoreWatcher::CatchUp(std::string prefix) {
  Progress& progress = this->progress_by_prefix[prefix];
  std::uniform_real_distribution<double> part(0, 1);
  int failures_in_row = 0;
  const auto is_behind = [&] {
    return this->has_listed.contains(prefix) &&
           progress.revision <
               this->store_feed.LastChange(prefix, this->clock.Now());
  };
  while (true) {
    co_await this->Pause(kFeedCheckInterval);
    if (!is_behind()) {
      continue;
    }
    co_await this->Pause(std::chrono::duration_cast<Duration>(
        kMostCatchUpDelay * part(this->random)));
    if (!is_behind()) {
      continue;
    }
    bool is_answered = co_await this->Watch(prefix, progress, kCatchUpWait);
    if (is_answered && progress.revision == 0) {
      // The changes are no longer kept; the other reader may be waiting still.
      is_answered = co_await this->List(prefix, progress);
    }
    if (is_answered) {
      failures_in_row = 0;
      continue;
    }
    co_await this->Pause(kFirstPause *
                         (1 << std::min(failures_in_row++, kMostDoublings)));
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
  this->heard_at = this->clock.Now();
  // First, as the missing entries may have lapsed meanwhile.
  this->ReportBack();
  for (const StoreItem& item : items) {
    this->Apply(item);
  }
  this->KeepOnly(prefix, keys);
  progress.revision = std::max<std::uint64_t>(1, first_revision);
  // What was removed shows in no item: whoever knows less has to read.
  progress.last_change = progress.revision;
  this->has_listed.insert(prefix);
  this->on_change();
  co_return true;
}

Awaitable<bool> StoreWatcher::Watch(std::string prefix,
                                    Progress& progress,
                                    Duration wait) {
  const std::uint64_t after = progress.revision;
  const std::uint64_t last_change = progress.last_change;
  const std::optional<HttpResponse> response = co_await this->Ask(
      platform::MakeWatchRequest(prefix, after, wait), wait + kAnswerTime);
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
  this->heard_at = this->clock.Now();
  if (this->lost_prefixes.erase(prefix) > 0 && this->lost_prefixes.empty()) {
    this->ReportBack();
  }
  if (progress.revision == 0) {
    // The other reader of this prefix has found its history gone.
    co_return true;
  }
  if (this->ApplyChanges(page->items, page->store_revision, progress)) {
    this->on_change();
    this->PassOn(prefix, last_change, *page);
  }
  co_return true;
}

bool StoreWatcher::ApplyChanges(const std::vector<StoreItem>& items,
                                std::uint64_t up_to,
                                Progress& progress) {
  bool has_applied = false;
  for (const StoreItem& item : items) {
    if (item.revision > progress.revision) {
      this->Apply(item);
      progress.last_change = std::max(progress.last_change, item.revision);
      has_applied = true;
    }
  }
  progress.revision = std::max(progress.revision, up_to);
  return has_applied;
}

void StoreWatcher::PassOn(const std::string& prefix,
                          std::uint64_t last_change,
                          const StorePage& page) {
  std::optional<protocol::StoreNews> news = this->TellFeed();
  if (!news || !this->feed) {
    return;
  }
  std::size_t size = 0;
  for (const StoreItem& item : page.items) {
    size += item.key.size() + item.value.size();
  }
  if (size > kMostFedBytes) {
    this->feed(*news);
    return;
  }
  for (protocol::PrefixNews& row : *news->mutable_prefixes()) {
    if (row.prefix() != prefix) {
      continue;
    }
    row.set_after(last_change);
    for (const StoreItem& item : page.items) {
      protocol::StoreChange* change = row.add_changes();
      change->set_key(item.key);
      change->set_value(item.value);
      change->set_revision(item.revision);
      change->set_is_removed(item.is_removed);
    }
  }
  this->feed(*news);
}

std::optional<protocol::StoreNews> StoreWatcher::TellFeed() const {
  if (this->IsFed() || this->has_listed.empty()) {
    return std::nullopt;
  }
  protocol::StoreNews news;
  bool is_followed = true;
  for (const auto& [prefix, progress] : this->progress_by_prefix) {
    const bool is_overdue =
        progress.due_at && this->clock.Now() > *progress.due_at;
    is_followed = is_followed && progress.revision != 0 && !is_overdue;
    protocol::PrefixNews* row = news.add_prefixes();
    row->set_prefix(prefix);
    row->set_last_change(progress.last_change);
    row->set_up_to(progress.revision);
  }
  news.set_is_reachable(is_followed && this->lost_prefixes.empty());
  news.set_lapse_left_ms(std::chrono::ceil<std::chrono::milliseconds>(
                             this->directory.ExpiryGraceLeft(this->clock.Now()))
                             .count());
  return news;
}

void StoreWatcher::TakeFeed(const protocol::StoreNews& news) {
  const TimePoint now = this->clock.Now();
  FeedState state;
  state.is_reachable = news.is_reachable();
  for (const protocol::PrefixNews& row : news.prefixes()) {
    state.last_changes[row.prefix()] = row.last_change();
  }
  this->store_feed.ApplyState(news.relay(), state, now);
  if (news.lapse_left_ms() > 0) {
    // Entries may have lapsed, although this node did not see the outage.
    this->directory.ExtendExpiryGrace(
        now +
        std::min<Duration>(std::chrono::milliseconds(news.lapse_left_ms()),
                           kMostLapseTime));
  }
  if (this->IsFed()) {
    this->lost_prefixes.clear();
    this->ReportBack();
    this->heard_at = now;
  }
  bool has_applied = false;
  for (const protocol::PrefixNews& row : news.prefixes()) {
    const auto found = this->progress_by_prefix.find(row.prefix());
    if (found == this->progress_by_prefix.end() ||
        found->second.revision == 0) {
      continue;
    }
    Progress& progress = found->second;
    if (!row.changes().empty() && progress.revision >= row.after()) {
      std::vector<StoreItem> items;
      for (const protocol::StoreChange& change : row.changes()) {
        items.push_back({change.key(), change.value(), change.revision(),
                         change.is_removed()});
      }
      has_applied |= this->ApplyChanges(items, row.up_to(), progress);
    } else if (progress.revision >= row.last_change()) {
      // Nothing has changed since; the store may forget what was before.
      progress.revision = std::max(progress.revision, row.up_to());
    }
  }
  if (has_applied) {
    this->on_change();
  }
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
  ValidationErrorList faults(item.key);
  const std::shared_ptr<const MeshConfiguration> configuration =
      platform::DecodeConfiguration(item.value, faults);
  if (!configuration) {
    LogEvent(EventId::kConfigurationRefused,
             {{"revision", item.revision},
              {"reason", faults.Errors().front().ToString()}});
    return;
  }
  const std::uint64_t version = configuration->Version();
  if (this->directory.ApplyConfiguration(configuration)) {
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
  ValidationErrorList faults(item.key);
  const std::optional<MeshTarget> target =
      platform::DecodeTarget(id, item.value, faults);
  if (!target) {
    LogEvent(EventId::kTargetRefused,
             {{"target", id}, {"reason", faults.Errors().front().ToString()}});
    this->directory.RemoveTarget(id, this->clock.Now());
    return;
  }
  LogEvent(EventId::kTargetListed,
           {{"target", id},
            {"service", target->service},
            {"address", target->address.ToString()},
            {"leaving", target->leaving ? "true" : "false"},
            {"revision", item.revision}});
  this->directory.ApplyTarget(*target);
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
         this->directory.RetainTargets(names, this->clock.Now())) {
      LogEvent(EventId::kTargetGone, {{"target", id}, {"revision", "list"}});
    }
  } else {
    this->directory.ReplaceEvacuated(names);
  }
}

void StoreWatcher::ReportLost(const std::string& reason) {
  if (this->lost_prefixes.size() == 1) {
    LogEvent(EventId::kPlatformUnreachable, {{"reason", reason}});
  }
  this->lost_since = this->lost_since.value_or(this->heard_at);
  this->directory.MarkStoreUnreachable();
}

void StoreWatcher::ReportBack() {
  const TimePoint now = this->clock.Now();
  if (this->directory.MarkStoreReachable(now - this->lost_since.value_or(now),
                                         now)) {
    LogEvent(EventId::kPlatformReachable, {});
  }
  this->lost_since.reset();
}

Awaitable<> StoreWatcher::SettleDirectory() {
  while (true) {
    Timer timer(this->context, kSettleInterval);
    ErrorCode ignored;
    co_await timer.async_wait(Await(ignored));
    this->ReportFeed();
    if (this->directory.RemoveOverdueTargets(this->clock.Now())) {
      this->on_change();
    }
  }
}

}  // namespace daisywinch
