#ifndef DAISYWINCH_NODE_STORE_WATCHER_H
#define DAISYWINCH_NODE_STORE_WATCHER_H

#include <cstdint>
#include <functional>
#include <map>
#include <optional>
#include <random>
#include <set>
#include <string>
#include <string_view>
#include <vector>

#include "coordination/mesh_directory.h"
#include "coordination/store_feed.h"
#include "platform/store_calls.h"
#include "protocol/generated/news_messages.pb.h"
#include "state/clock.h"
#include "state/log_rate_limiter.h"
#include "state/settings.h"
#include "state/store_position.h"
#include "transport/asio.h"

namespace daisywinch {

/// Watches the platform's store and keeps the directory up to date.
///
/// The store maps keys to values and gives each change a revision. Two key
/// prefixes are read: that of the documents that operators write, and that of
/// the targets' records. Lists each prefix once and then waits for changes of
/// both with one request at a time (long polling). Lists a prefix again when
/// the store has discarded the changes since the last known revision, and lists
/// both again when the store begins a new era: it was restored from an older
/// copy, and revisions are given out again. Responses of an earlier era are
/// discarded.
///
/// A relay forwards changes to the nodes of its data centre. A node that
/// receives this feed sends no long polls and reads only the changes that it
/// misses, which limits the load on the store. Runs on the control thread.
class StoreWatcher {
 public:
  /// `on_change` is called after each change of the directory.
  StoreWatcher(asio::io_context& context,
               const Clock& clock,
               const Address& store,
               std::uint64_t seed,
               MeshDirectory& directory,
               std::function<void()> on_change);

  void Start();

  /// Sets the function that sends store updates of this node to other nodes.
  void SetUpdateForwarder(
      std::function<void(const protocol::StoreNews&)> forwarder) {
    this->forward_update = std::move(forwarder);
  }
  /// Sets where requests to the store are sent from the next one on.
  void SetStoreAddress(const Address& address) { this->store = address; }
  /// Sets whether this node is a relay, which reads the store on behalf of
  /// others and doesn't rely on the feeds of other relays.
  void SetRelay(bool enabled) { this->is_relay = enabled; }
  /// Applies a store update from a relay.
  void ApplyStoreUpdate(const protocol::StoreNews& update);
  /// Makes the periodic store update, which reports revisions but no changes.
  /// Returns nothing while this node receives the feed from a relay, before the
  /// first prefix is listed, and for as long as a prefix is being listed anew.
  std::optional<protocol::StoreNews> MakeStoreUpdate() const;

  /// Position in the store up to which the changes of both prefixes are
  /// applied.
  StorePosition Position() const;
  std::uint64_t CallCount() const { return this->call_count; }

 private:
  /// Progress of reading one prefix.
  struct Progress {
    bool MustBeListed() const { return this->position.revision == 0; }

    /// All changes up to this position are applied; its revision is 0 while the
    /// prefix has to be listed.
    StorePosition position;
    /// Revision of the last known change, in the same era.
    std::uint64_t last_change = 0;
    /// Position of the last change that was applied without those before it.
    StorePosition last_unconnected;
    bool is_listing = false;
  };

  /// A prefix and its progress when its changes were requested.
  struct WatchedPrefix {
    std::string prefix;
    Progress* progress = nullptr;
    StorePosition after;
    std::uint64_t last_change = 0;
  };

  /// Whether a prefix has to be listed.
  bool MustListAny() const;
  /// Lists a prefix whenever it is needed, for as long as the process runs.
  Awaitable<> ListIfNeeded(std::string prefix);
  /// Waits for changes, for as long as the process runs; pauses while this node
  /// receives the feed from a relay.
  Awaitable<> FollowChanges();
  /// Records whether a read of the prefix succeeded; backs off after a failure.
  Awaitable<> HandleReadEnd(std::string prefix,
                            bool has_succeeded,
                            int& failures_in_row);
  /// Reads all items of a prefix; returns whether that succeeded.
  Awaitable<bool> List(std::string prefix, Progress& progress);
  Awaitable<bool> ReadList(std::string prefix, Progress& progress);
  /// The prefixes that are read and begin with `prefix`.
  std::vector<WatchedPrefix> PrefixesWithin(const std::string& prefix);
  /// Reads the changes of all keys that begin with `prefix`, and waits up to
  /// `wait` for the first one; returns whether that succeeded.
  Awaitable<bool> Watch(std::string prefix, Duration wait);
  /// The store no longer has the changes after the watched position: the prefix
  /// must be listed, unless it has been read since.
  void HandleHistoryGone(const WatchedPrefix& watched);
  /// Reads changes that this node misses according to the feed, or that the
  /// pending long poll misses because it was sent in an earlier era.
  Awaitable<> CatchUp(std::string prefix);
  /// Whether CatchUp() has to read the prefix.
  bool MustCatchUp(const std::string& prefix, const Progress& progress) const;
  /// Takes note of the era of a response. If it is a new one, both prefixes
  /// have to be listed. Returns false, and sets `last_error`, if the response
  /// comes from an earlier era.
  bool AcceptEra(const StorePosition& position);
  /// Logs a new era that a response or a relay reports, and tells the
  /// directory.
  void NoteEra(const StorePosition& position);
  bool HasLiveFeed() const;
  /// Logs when this node starts or stops receiving the feed.
  void LogFeedChange();
  /// Whether the response to the pending long poll is overdue.
  bool IsPollOverdue() const;
  void LogOverduePoll();
  Awaitable<> Pause(Duration time);
  /// Waits until the next attempt to reach the store is due, or a relay's feed
  /// makes it unnecessary.
  Awaitable<> BackOff(int failures_in_row);
  /// Applies the changes of a relay's update; returns whether there were any.
  bool ApplyForwarded(const protocol::PrefixNews& update, Progress& progress);
  /// Applies changes of an era in which this node hasn't listed the prefix yet,
  /// as it may be unable to reach the store. The progress stays, as changes may
  /// be missing.
  bool ApplyUnconnected(const std::vector<platform::StoreItem>& items,
                        std::uint64_t item_era,
                        Progress& progress);
  /// Applies the items that are newer than the progress; returns whether there
  /// were any.
  bool ApplyChanges(const std::vector<platform::StoreItem>& items,
                    std::uint64_t up_to,
                    Progress& progress);
  /// Forwards the changes of a prefix to the subscribers of this relay.
  /// `last_change` is the revision of the last change known before them.
  void ForwardChanges(const std::string& prefix,
                      std::uint64_t last_change,
                      const std::vector<platform::StoreItem>& items);
  /// Sends a request to the store. Returns nothing, and sets `last_error`, if
  /// there is no response.
  Awaitable<std::optional<HttpResponse>> SendRequest(HttpRequest request,
                                                     Duration timeout);
  /// Applies a change.
  void ApplyItem(const platform::StoreItem& item, std::uint64_t item_era);
  /// Applies all items of a prefix, listed at `position`.
  void ApplyList(std::string_view prefix,
                 const std::vector<platform::StoreItem>& items,
                 const StorePosition& position);
  void ApplyConfiguration(const platform::StoreItem& item);
  /// Removes the target of a removed or invalid record, and otherwise returns
  /// the one that the record describes.
  std::optional<MeshTarget> DecodeTarget(const platform::StoreItem& item,
                                         const StorePosition& position);
  void HandleStoreUnreachable(const std::string& reason);
  void HandleStoreReachable();
  Awaitable<> MaintainDirectory();

  asio::io_context& context;
  const Clock& clock;
  Address store;
  std::mt19937_64 random;
  MeshDirectory& directory;
  std::function<void()> on_change;
  LogRateLimiter refusal_log_limiter;
  std::map<std::string, Progress, std::less<>> progress_by_prefix;
  /// Prefixes that have been listed at least once.
  std::set<std::string> listed_prefixes;
  /// Prefixes of which the last read failed.
  std::set<std::string> unreachable_prefixes;
  /// Era in which the pending long poll was sent.
  std::optional<std::uint64_t> poll_era;
  /// Time after which the response to the pending long poll is overdue.
  std::optional<TimePoint> poll_due_at;
  /// Era of the latest response; unset before the first one.
  std::optional<std::uint64_t> era;
  /// Latest era that a response or a relay has reported.
  std::optional<std::uint64_t> reported_era;
  StoreFeed store_feed;
  std::function<void(const protocol::StoreNews&)> forward_update;
  bool is_relay = false;
  bool logged_live_feed = false;
  bool logged_overdue = false;
  /// Time of the last response from the store, or of the last update from a
  /// relay that reads it.
  TimePoint last_contact_at;
  /// Time of the last contact before the current outage.
  std::optional<TimePoint> unreachable_since;
  std::uint64_t call_count = 0;
  std::string last_error;
};

}  // namespace daisywinch

#endif  // DAISYWINCH_NODE_STORE_WATCHER_H
