#include "node/store_watcher.h"

#include <algorithm>
#include <iterator>
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

/// Maximum wait of a long poll for changes. A poll whose response is lost is
/// noticed only after the wait. So it is short enough that an outage in the
/// last time in which this node doesn't count as in touch is noticed before
/// that time is over, and that the nodes which rely on this one as a relay read
/// the store themselves within the two seconds in which changes have to take
/// effect.
constexpr std::chrono::milliseconds kWatchWait{1000};
/// Time after the end of the wait at which a response is overdue.
constexpr std::chrono::milliseconds kOverdueMargin{400};
/// Maximum time for a response, in addition to the wait of its request.
constexpr std::chrono::milliseconds kResponseTimeout{1500};
/// Pause after the first failed request; doubles with each further failure.
constexpr std::chrono::milliseconds kInitialBackoff{150};
constexpr int kMaxBackoffDoublings = 3;
constexpr std::chrono::milliseconds kMaintenanceInterval{100};
/// Limit for the doublings while updates of a relay arrive: the relay retries
/// more often and reports when the store is reachable again.
constexpr int kMaxBackoffDoublingsWithRelay = 5;
/// Delay before the next long poll after a change of targets, so that it
/// returns several changes at once: each response with a change costs a
/// request, and changes often come in groups.
constexpr std::chrono::milliseconds kTargetBatchDelay{250};
/// Interval between checks whether a prefix has to be listed, or is listed.
constexpr std::chrono::milliseconds kListCheckInterval{20};
/// Interval between checks whether this node has to read the store itself.
constexpr std::chrono::milliseconds kFeedCheckInterval{100};
/// Maximum of the random delay before a node reads changes that it misses
/// according to the feed: the changes may still arrive with the feed, and other
/// nodes may read them too.
constexpr std::chrono::milliseconds kMaxCatchUpDelay{200};
/// Maximum wait of a request for missing changes.
constexpr std::chrono::milliseconds kCatchUpWait{100};
/// Upper limit for the remaining grace period that a relay reports, in which
/// targets may register again whose records expired during an outage.
constexpr std::chrono::milliseconds kMaxExpiryGrace{3000};
/// Maximum size in bytes of the changes that are forwarded in a datagram.
constexpr std::size_t kMaxForwardedBytes = std::size_t{32} * 1024;
constexpr double kBackoffJitter = 0.5;
/// Prefix of all keys. One poll for everything that is read: with two, the
/// responses to one could hide that those to the other are lost.
constexpr char kAllPrefixes[] = "";

/// `is_used` is false if the node knows a later state of the target.
void LogTarget(const MeshTarget& target,
               const StorePosition& position,
               bool is_used) {
  LogEvent(EventId::kTargetListed,
           {{"target", target.id},
            {"service", target.service},
            {"address", target.address.ToString()},
            {"leaving", target.leaving ? "true" : "false"},
            {"sequence", target.sequence},
            {"used", is_used ? "true" : "false"},
            {"era", position.era},
            {"revision", position.revision}});
}

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
      on_change(std::move(on_change)),
      refusal_log_limiter(clock.Now()) {}

void StoreWatcher::Start() {
  for (const std::string_view prefix :
       {platform::kOperatorPrefix, platform::kTargetPrefix}) {
    this->progress_by_prefix.try_emplace(std::string(prefix));
    asio::co_spawn(this->context, this->ListIfNeeded(std::string(prefix)),
                   asio::detached);
    asio::co_spawn(this->context, this->CatchUp(std::string(prefix)),
                   asio::detached);
  }
  asio::co_spawn(this->context, this->FollowChanges(), asio::detached);
  asio::co_spawn(this->context, this->MaintainDirectory(), asio::detached);
}

StorePosition StoreWatcher::Position() const {
  std::optional<StorePosition> lowest;
  for (const auto& [prefix, progress] : this->progress_by_prefix) {
    lowest = std::min(lowest.value_or(progress.position), progress.position);
  }
  return lowest.value_or(StorePosition());
}

bool StoreWatcher::HasLiveFeed() const {
  return !this->is_relay &&
         this->store_feed.HasLiveFeed(this->era.value_or(0), this->clock.Now());
}

void StoreWatcher::LogFeedChange() {
  const bool has_live_feed = this->HasLiveFeed();
  if (has_live_feed == this->logged_live_feed) {
    return;
  }
  this->logged_live_feed = has_live_feed;
  LogEvent(has_live_feed ? EventId::kStoreFed : EventId::kStoreReadItself,
           {{"relay", this->is_relay ? "true" : "false"},
            {"era", this->Position().era},
            {"revision", this->Position().revision}});
}

bool StoreWatcher::IsPollOverdue() const {
  return this->poll_due_at && this->clock.Now() > *this->poll_due_at;
}

void StoreWatcher::LogOverduePoll() {
  const bool is_overdue = this->IsPollOverdue();
  if (is_overdue && !this->logged_overdue) {
    LogEvent(EventId::kStorePollOverdue,
             {{"era", this->Position().era},
              {"revision", this->Position().revision}});
  }
  this->logged_overdue = is_overdue;
}

Awaitable<> StoreWatcher::Pause(Duration time) {
  Timer timer(this->context, time);
  ErrorCode ignored;
  co_await timer.async_wait(Await(ignored));
}

bool StoreWatcher::MustListAny() const {
  return std::any_of(
      this->progress_by_prefix.begin(), this->progress_by_prefix.end(),
      [](const auto& entry) { return entry.second.MustBeListed(); });
}

Awaitable<> StoreWatcher::ListIfNeeded(std::string prefix) {
  Progress& progress = this->progress_by_prefix[prefix];
  int failures_in_row = 0;
  while (true) {
    // With a live feed, CatchUp() lists the prefix anew.
    const bool is_listed_elsewhere =
        progress.is_listing ||
        (this->HasLiveFeed() && this->listed_prefixes.contains(prefix));
    if (!progress.MustBeListed() || is_listed_elsewhere) {
      co_await this->Pause(kListCheckInterval);
      continue;
    }
    const bool has_succeeded = co_await this->List(prefix, progress);
    co_await this->HandleReadEnd(prefix, has_succeeded, failures_in_row);
  }
}

Awaitable<> StoreWatcher::FollowChanges() {
  int failures_in_row = 0;
  while (true) {
    if (this->HasLiveFeed()) {
      co_await this->Pause(kFeedCheckInterval);
      continue;
    }
    if (this->MustListAny()) {
      co_await this->Pause(kListCheckInterval);
      continue;
    }
    const std::uint64_t targets_before =
        this->progress_by_prefix[std::string(platform::kTargetPrefix)]
            .last_change;
    this->poll_due_at = this->clock.Now() + kWatchWait + kOverdueMargin;
    this->poll_era = this->era;
    const bool has_succeeded = co_await this->Watch(kAllPrefixes, kWatchWait);
    this->poll_era.reset();
    this->poll_due_at.reset();
    co_await this->HandleReadEnd(kAllPrefixes, has_succeeded, failures_in_row);
    if (this->progress_by_prefix[std::string(platform::kTargetPrefix)]
            .last_change != targets_before) {
      co_await this->Pause(kTargetBatchDelay);
    }
  }
}

Awaitable<> StoreWatcher::HandleReadEnd(std::string prefix,
                                        bool has_succeeded,
                                        int& failures_in_row) {
  if (!has_succeeded) {
    this->unreachable_prefixes.insert(prefix);
    this->HandleStoreUnreachable(this->last_error);
    co_await this->BackOff(failures_in_row++);
    co_return;
  }
  failures_in_row = 0;
  this->unreachable_prefixes.erase(prefix);
  if (this->unreachable_prefixes.empty()) {
    this->HandleStoreReachable();
  }
}

Awaitable<> StoreWatcher::BackOff(int failures_in_row) {
  std::uniform_real_distribution<double> jitter(1 - kBackoffJitter,
                                                1 + kBackoffJitter);
  const TimePoint started = this->clock.Now();
  const double factor = jitter(this->random);
  while (!this->HasLiveFeed()) {
    // While updates of a relay arrive, the relay retries more often and reports
    // when the store is reachable.
    const bool has_relay =
        !this->is_relay && this->store_feed.HasLiveRelay(this->clock.Now());
    const int doublings =
        std::min(failures_in_row, has_relay ? kMaxBackoffDoublingsWithRelay
                                            : kMaxBackoffDoublings);
    const Duration pause = std::chrono::duration_cast<Duration>(
        kInitialBackoff * (1 << doublings) * factor);
    const Duration remaining = started + pause - this->clock.Now();
    if (remaining <= Duration::zero()) {
      co_return;
    }
    co_await this->Pause(std::min<Duration>(kFeedCheckInterval, remaining));
  }
}

Awaitable<> StoreWatcher::CatchUp(std::string prefix) {
  Progress& progress = this->progress_by_prefix[prefix];
  std::uniform_real_distribution<double> fraction(0, 1);
  int failures_in_row = 0;
  while (true) {
    co_await this->Pause(kFeedCheckInterval);
    if (!this->MustCatchUp(prefix, progress)) {
      continue;
    }
    co_await this->Pause(std::chrono::duration_cast<Duration>(
        kMaxCatchUpDelay * fraction(this->random)));
    if (!this->MustCatchUp(prefix, progress)) {
      continue;
    }
    bool has_succeeded =
        progress.MustBeListed() || co_await this->Watch(prefix, kCatchUpWait);
    if (has_succeeded && progress.MustBeListed() && !progress.is_listing) {
      // The store has discarded the changes or began a new era. List them here,
      // as the long poll may still be waiting.
      has_succeeded = co_await this->List(prefix, progress);
    }
    if (has_succeeded) {
      failures_in_row = 0;
      continue;
    }
    co_await this->Pause(
        kInitialBackoff *
        (1 << std::min(failures_in_row++, kMaxBackoffDoublings)));
  }
}

bool StoreWatcher::MustCatchUp(const std::string& prefix,
                               const Progress& progress) const {
  if (!this->listed_prefixes.contains(prefix) || progress.is_listing) {
    return false;
  }
  const bool is_poll_obsolete = this->poll_era &&
                                *this->poll_era < progress.position.era &&
                                !this->HasLiveFeed();
  return progress.MustBeListed() || is_poll_obsolete ||
         progress.position <
             this->store_feed.LastChange(prefix, this->clock.Now());
}

bool StoreWatcher::AcceptEra(const StorePosition& position) {
  if (this->era && position.era < *this->era) {
    this->last_error = "the response comes from an earlier era of the store";
    return false;
  }
  if (!this->era || *this->era < position.era) {
    this->NoteEra(position);
    this->era = position.era;
    for (auto& [prefix, progress] : this->progress_by_prefix) {
      progress.position = {position.era, 0};
      progress.last_change = 0;
    }
  }
  return true;
}

void StoreWatcher::NoteEra(const StorePosition& position) {
  if (this->reported_era && *this->reported_era < position.era) {
    this->directory.MarkStoreRestored(this->clock.Now());
    LogEvent(EventId::kStoreRestored,
             {{"known_era", this->Position().era},
              {"known_revision", this->Position().revision},
              {"era", position.era},
              {"revision", position.revision}});
  }
  this->reported_era = std::max(this->reported_era.value_or(0), position.era);
}

Awaitable<bool> StoreWatcher::List(std::string prefix, Progress& progress) {
  progress.is_listing = true;
  const bool has_succeeded = co_await this->ReadList(prefix, progress);
  progress.is_listing = false;
  co_return has_succeeded;
}

Awaitable<bool> StoreWatcher::ReadList(std::string prefix, Progress& progress) {
  std::string after;
  std::optional<StorePosition> first;
  std::vector<StoreItem> items;
  while (true) {
    const std::optional<HttpResponse> response = co_await this->SendRequest(
        platform::MakeRangeRequest(prefix, after), kResponseTimeout);
    if (!response) {
      co_return false;
    }
    std::optional<StorePage> page =
        platform::DecodePage(*response, this->last_error);
    if (!page) {
      co_return false;
    }
    if (!this->AcceptEra(page->position)) {
      co_return false;
    }
    if (first && first->era != page->position.era) {
      // The pages before are of an earlier era.
      first.reset();
      after.clear();
      items.clear();
      continue;
    }
    // The pages are no consistent snapshot. Watching from the revision of the
    // first page returns all changes made since then.
    first = first.value_or(page->position);
    for (StoreItem& item : page->items) {
      after = item.key;
      items.push_back(std::move(item));
    }
    if (!page->has_more || page->items.empty()) {
      break;
    }
  }
  this->last_contact_at = this->clock.Now();
  // Must precede the application of the list: records that are missing from it
  // may have expired during an outage, and the directory then defers the
  // removal of their targets.
  this->HandleStoreReachable();
  this->ApplyList(prefix, items, *first);
  progress.position = {first->era, std::max<std::uint64_t>(1, first->revision)};
  // The list doesn't show removed keys. Reporting its revision as a change
  // makes nodes at an older revision read the changes themselves.
  progress.last_change = progress.position.revision;
  const bool is_first = this->listed_prefixes.insert(prefix).second;
  this->on_change();
  const std::optional<protocol::StoreNews> update = this->MakeStoreUpdate();
  if (!is_first && update && this->forward_update) {
    this->forward_update(*update);
  }
  co_return true;
}

std::vector<StoreWatcher::WatchedPrefix> StoreWatcher::PrefixesWithin(
    const std::string& prefix) {
  std::vector<WatchedPrefix> watched;
  for (auto& [name, progress] : this->progress_by_prefix) {
    if (name.starts_with(prefix)) {
      watched.push_back(
          {name, &progress, progress.position, progress.last_change});
    }
  }
  return watched;
}

Awaitable<bool> StoreWatcher::Watch(std::string prefix, Duration wait) {
  const std::vector<WatchedPrefix> watched = this->PrefixesWithin(prefix);
  StorePosition after = watched.front().after;
  for (const WatchedPrefix& entry : watched) {
    after = std::min(after, entry.after);
  }
  const std::optional<HttpResponse> response = co_await this->SendRequest(
      platform::MakeWatchRequest(prefix, after.revision, wait),
      wait + kResponseTimeout);
  if (!response) {
    co_return false;
  }
  if (platform::IsHistoryGone(*response)) {
    if (!this->AcceptEra({platform::ReadEra(*response), 0})) {
      co_return false;
    }
    for (const WatchedPrefix& entry : watched) {
      this->HandleHistoryGone(entry);
    }
    co_return true;
  }
  const std::optional<StorePage> page =
      platform::DecodePage(*response, this->last_error);
  if (!page || !this->AcceptEra(page->position)) {
    co_return false;
  }
  this->last_contact_at = this->clock.Now();
  if (this->unreachable_prefixes.erase(prefix) > 0 &&
      this->unreachable_prefixes.empty()) {
    this->HandleStoreReachable();
  }
  for (const WatchedPrefix& entry : watched) {
    if (entry.progress->MustBeListed() ||
        page->position.era != entry.after.era) {
      // The changes are not those after the known position: the store has begun
      // a new era, or the other coroutine that reads this prefix found that the
      // store has discarded the history.
      continue;
    }
    std::vector<StoreItem> items;
    std::copy_if(page->items.begin(), page->items.end(),
                 std::back_inserter(items), [&entry](const StoreItem& item) {
                   return item.key.starts_with(entry.prefix);
                 });
    if (this->ApplyChanges(items, page->position.revision, *entry.progress)) {
      this->on_change();
      this->ForwardChanges(entry.prefix, entry.last_change, items);
    }
  }
  co_return true;
}

void StoreWatcher::HandleHistoryGone(const WatchedPrefix& watched) {
  Progress& progress = *watched.progress;
  if (progress.position != watched.after) {
    return;
  }
  LogEvent(EventId::kStoreHistoryGone, {{"prefix", watched.prefix},
                                        {"era", watched.after.era},
                                        {"revision", watched.after.revision}});
  progress.last_unconnected =
      std::max(progress.last_unconnected, watched.after);
  progress.position.revision = 0;
}

bool StoreWatcher::ApplyChanges(const std::vector<StoreItem>& items,
                                std::uint64_t up_to,
                                Progress& progress) {
  bool has_applied = false;
  for (const StoreItem& item : items) {
    if (item.revision > progress.position.revision) {
      this->ApplyItem(item, progress.position.era);
      progress.last_change = std::max(progress.last_change, item.revision);
      has_applied = true;
    }
  }
  progress.position.revision = std::max(progress.position.revision, up_to);
  return has_applied;
}

void StoreWatcher::ForwardChanges(const std::string& prefix,
                                  std::uint64_t last_change,
                                  const std::vector<StoreItem>& items) {
  std::optional<protocol::StoreNews> update = this->MakeStoreUpdate();
  if (!update || !this->forward_update) {
    return;
  }
  std::size_t size = 0;
  for (const StoreItem& item : items) {
    size += item.key.size() + item.value.size();
  }
  if (size > kMaxForwardedBytes) {
    this->forward_update(*update);
    return;
  }
  for (protocol::PrefixNews& prefix_update : *update->mutable_prefixes()) {
    if (prefix_update.prefix() != prefix) {
      continue;
    }
    prefix_update.set_after(last_change);
    for (const StoreItem& item : items) {
      protocol::StoreChange* change = prefix_update.add_changes();
      change->set_key(item.key);
      change->set_value(item.value);
      change->set_revision(item.revision);
      change->set_is_removed(item.is_removed);
    }
  }
  this->forward_update(*update);
}

std::optional<protocol::StoreNews> StoreWatcher::MakeStoreUpdate() const {
  if (this->HasLiveFeed() || this->listed_prefixes.empty() ||
      (this->MustListAny() && this->unreachable_prefixes.empty())) {
    return std::nullopt;
  }
  protocol::StoreNews update;
  for (const auto& [prefix, progress] : this->progress_by_prefix) {
    protocol::PrefixNews* prefix_update = update.add_prefixes();
    prefix_update->set_prefix(prefix);
    prefix_update->set_era(progress.position.era);
    prefix_update->set_last_change(progress.last_change);
    prefix_update->set_up_to(progress.position.revision);
  }
  update.set_is_reachable(!this->MustListAny() && !this->IsPollOverdue() &&
                          this->unreachable_prefixes.empty());
  update.set_lapse_left_ms(
      std::chrono::ceil<std::chrono::milliseconds>(
          this->directory.ExpiryGraceLeft(this->clock.Now()))
          .count());
  return update;
}

void StoreWatcher::ApplyStoreUpdate(const protocol::StoreNews& update) {
  const TimePoint now = this->clock.Now();
  FeedState state;
  state.is_reachable = update.is_reachable();
  for (const protocol::PrefixNews& prefix_update : update.prefixes()) {
    const StorePosition last_change = {prefix_update.era(),
                                       prefix_update.last_change()};
    state.last_changes[prefix_update.prefix()] = last_change;
    this->NoteEra(last_change);
  }
  this->store_feed.ApplyState(update.relay(), state, now);
  if (update.lapse_left_ms() > 0) {
    // Records may have expired, even if this node did not notice the outage.
    this->directory.ExtendExpiryGrace(
        now +
        std::min<Duration>(std::chrono::milliseconds(update.lapse_left_ms()),
                           kMaxExpiryGrace));
  }
  if (this->HasLiveFeed()) {
    this->unreachable_prefixes.clear();
    this->HandleStoreReachable();
    this->last_contact_at = now;
  }
  bool has_applied = false;
  for (const protocol::PrefixNews& prefix_update : update.prefixes()) {
    const auto found = this->progress_by_prefix.find(prefix_update.prefix());
    if (found != this->progress_by_prefix.end() &&
        this->listed_prefixes.contains(prefix_update.prefix())) {
      has_applied |= this->ApplyForwarded(prefix_update, found->second);
    }
  }
  if (has_applied) {
    this->on_change();
  }
}

bool StoreWatcher::ApplyForwarded(const protocol::PrefixNews& update,
                                  Progress& progress) {
  if (update.era() < progress.position.era) {
    return false;
  }
  std::vector<StoreItem> items;
  for (const protocol::StoreChange& change : update.changes()) {
    items.push_back(
        {change.key(), change.value(), change.revision(), change.is_removed()});
  }
  if (progress.MustBeListed() || update.era() > progress.position.era) {
    return this->ApplyUnconnected(items, update.era(), progress);
  }
  const std::uint64_t known = progress.position.revision;
  if (!items.empty() && known >= update.after()) {
    return this->ApplyChanges(items, update.up_to(), progress);
  }
  if (known >= update.last_change()) {
    // There are no changes in between. The higher revision stays available
    // when the store discards older history.
    progress.position.revision = std::max(known, update.up_to());
  }
  return false;
}

bool StoreWatcher::ApplyUnconnected(const std::vector<StoreItem>& items,
                                    std::uint64_t item_era,
                                    Progress& progress) {
  bool has_applied = false;
  for (const StoreItem& item : items) {
    const StorePosition position = {item_era, item.revision};
    if (progress.last_unconnected < position) {
      this->ApplyItem(item, item_era);
      progress.last_unconnected = position;
      has_applied = true;
    }
  }
  return has_applied;
}

Awaitable<std::optional<HttpResponse>> StoreWatcher::SendRequest(
    HttpRequest request,
    Duration timeout) {
  ++this->call_count;
  FetchLimits limits;
  limits.timeout = timeout;
  limits.tcp_keep_alive = true;
  ErrorCode error;
  std::optional<HttpResponse> response = co_await Fetch(
      this->context, this->store, std::move(request), limits, error);
  if (!response) {
    this->last_error = "no response from the store: " + error.message();
  }
  co_return response;
}

void StoreWatcher::ApplyItem(const StoreItem& item, std::uint64_t item_era) {
  const StorePosition position = {item_era, item.revision};
  if (item.key == platform::kConfigurationKey) {
    this->ApplyConfiguration(item);
  } else if (item.key.starts_with(platform::kEvacuationPrefix)) {
    const std::string data_centre =
        item.key.substr(platform::kEvacuationPrefix.size());
    LogEvent(EventId::kEvacuationChanged,
             {{"data_centre", data_centre},
              {"in_service", item.is_removed ? "true" : "false"},
              {"revision", item.revision}});
    this->directory.SetEvacuated(data_centre, !item.is_removed, position);
  } else if (item.key.starts_with(platform::kTargetPrefix)) {
    const std::optional<MeshTarget> target = this->DecodeTarget(item, position);
    if (target) {
      this->directory.ApplyTarget(*target, position);
      LogTarget(*target, position, true);
    }
  }
}

void StoreWatcher::ApplyConfiguration(const StoreItem& item) {
  if (item.is_removed) {
    return;
  }
  ValidationErrorList errors(item.key);
  const std::shared_ptr<const MeshConfiguration> configuration =
      platform::DecodeConfiguration(item.value, errors);
  if (!configuration) {
    LogEvent(EventId::kConfigurationRefused,
             {{"revision", item.revision},
              {"reason", errors.Errors().front().ToString()}});
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

std::optional<MeshTarget> StoreWatcher::DecodeTarget(
    const StoreItem& item,
    const StorePosition& position) {
  const std::string id = item.key.substr(platform::kTargetPrefix.size());
  if (item.is_removed) {
    LogEvent(EventId::kTargetGone,
             {{"target", id}, {"revision", item.revision}});
    this->directory.RemoveTarget(id, position, this->clock.Now());
    return std::nullopt;
  }
  ValidationErrorList errors(item.key);
  std::optional<MeshTarget> target =
      platform::DecodeTarget(id, item.value, errors);
  if (!target) {
    const std::optional<std::uint64_t> left_out =
        this->refusal_log_limiter.TryAcquire(true, this->clock.Now());
    if (left_out) {
      LogEvent(EventId::kTargetRefused,
               {{"target", id},
                {"reason", errors.Errors().front().ToString()},
                {"left_out", *left_out}});
    }
    this->directory.RemoveTarget(id, position, this->clock.Now());
  }
  return target;
}

void StoreWatcher::ApplyList(std::string_view prefix,
                             const std::vector<StoreItem>& items,
                             const StorePosition& position) {
  const TimePoint now = this->clock.Now();
  std::set<std::string> targets;
  std::map<std::string, std::uint64_t> evacuations;
  for (const StoreItem& item : items) {
    const StorePosition written = {position.era, item.revision};
    if (item.key.starts_with(platform::kTargetPrefix)) {
      targets.insert(item.key.substr(platform::kTargetPrefix.size()));
      const std::optional<MeshTarget> target =
          this->DecodeTarget(item, written);
      if (target) {
        LogTarget(*target, written,
                  this->directory.ApplyListedTarget(*target, written, now));
      }
    } else if (item.key.starts_with(platform::kEvacuationPrefix)) {
      evacuations[item.key.substr(platform::kEvacuationPrefix.size())] =
          item.revision;
    } else {
      this->ApplyItem(item, position.era);
    }
  }
  if (prefix == platform::kOperatorPrefix) {
    this->directory.ReplaceEvacuated(evacuations, position, now);
    for (const auto& [data_centre, revision] : evacuations) {
      LogEvent(EventId::kEvacuationChanged,
               {{"data_centre", data_centre},
                {"in_service",
                 this->directory.IsEvacuated(data_centre) ? "false" : "true"},
                {"revision", revision}});
    }
    return;
  }
  for (const std::string& id :
       this->directory.RetainTargets(targets, position, now)) {
    LogEvent(EventId::kTargetGone, {{"target", id}, {"revision", "list"}});
  }
}

void StoreWatcher::HandleStoreUnreachable(const std::string& reason) {
  if (this->unreachable_prefixes.size() == 1) {
    LogEvent(EventId::kPlatformUnreachable, {{"reason", reason}});
  }
  this->unreachable_since =
      this->unreachable_since.value_or(this->last_contact_at);
  this->directory.MarkStoreUnreachable();
}

void StoreWatcher::HandleStoreReachable() {
  const TimePoint now = this->clock.Now();
  if (this->directory.MarkStoreReachable(
          now - this->unreachable_since.value_or(now), now)) {
    LogEvent(EventId::kPlatformReachable, {});
  }
  this->unreachable_since.reset();
}

Awaitable<> StoreWatcher::MaintainDirectory() {
  while (true) {
    Timer timer(this->context, kMaintenanceInterval);
    ErrorCode ignored;
    co_await timer.async_wait(Await(ignored));
    this->LogFeedChange();
    this->LogOverduePoll();
    if (this->directory.ApplyOverdue(this->clock.Now())) {
      this->on_change();
    }
  }
}

}  // namespace daisywinch
