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
#include "state/settings.h"
#include "transport/asio.h"

namespace daisywinch {

/// Watches the platform's store and keeps the directory up to date.
///
/// The store maps keys to values and gives each change a revision. Two key
/// prefixes are watched: that of the documents that operators write, and that
/// of the targets' records. Lists each prefix once and then waits for its
/// changes (long polling). Lists a prefix again when the store has discarded
/// the changes since the last known revision.
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
  /// Returns nothing while this node receives the feed from a relay, and before
  /// the first prefix is listed.
  std::optional<protocol::StoreNews> MakeStoreUpdate() const;

  /// Highest revision of the store up to which the changes of both prefixes are
  /// applied.
  std::uint64_t Revision() const;
  std::uint64_t CallCount() const { return this->call_count; }

 private:
  /// Progress of reading one prefix.
  struct Progress {
    /// All changes up to this revision are applied; 0 while the prefix has to
    /// be listed.
    std::uint64_t revision = 0;
    /// Revision of the last known change.
    std::uint64_t last_change = 0;
    int failures_in_row = 0;
    /// Time after which the response to the pending long poll is overdue.
    std::optional<TimePoint> response_due_at;
  };

  /// Lists and watches a prefix for as long as the process runs; pauses while
  /// this node receives the feed from a relay.
  Awaitable<> Follow(std::string prefix);
  /// Reads all items of a prefix; returns whether that succeeded.
  Awaitable<bool> List(std::string prefix, Progress& progress);
  /// Reads the changes of a prefix, and waits up to `wait` for the first one;
  /// returns whether that succeeded.
  Awaitable<bool> Watch(std::string prefix, Progress& progress, Duration wait);
  /// Reads changes that this node misses according to the feed.
  Awaitable<> CatchUp(std::string prefix);
  bool HasLiveFeed() const;
  /// Logs when this node starts or stops receiving the feed.
  void LogFeedChange();
  Awaitable<> Pause(Duration time);
  /// Waits until the next attempt to reach the store is due, or a relay's feed
  /// makes it unnecessary.
  Awaitable<> BackOff(int failures_in_row);
  /// Applies the items that are newer than the progress; returns whether there
  /// were any.
  bool ApplyChanges(const std::vector<platform::StoreItem>& items,
                    std::uint64_t up_to,
                    Progress& progress);
  /// Forwards the changes of `page` to the subscribers of this relay.
  /// `last_change` is the revision of the last change known before them.
  void ForwardChanges(const std::string& prefix,
                      std::uint64_t last_change,
                      const platform::StorePage& page);
  /// Sends a request to the store. Returns nothing, and sets `last_error`, if
  /// there is no response.
  Awaitable<std::optional<HttpResponse>> SendRequest(HttpRequest request,
                                                     Duration timeout);
  void ApplyItem(const platform::StoreItem& item);
  void ApplyConfiguration(const platform::StoreItem& item);
  void ApplyTarget(const platform::StoreItem& item);
  void RemoveUnlisted(std::string_view prefix,
                      const std::set<std::string>& keys);
  void HandleStoreUnreachable(const std::string& reason);
  void HandleStoreReachable();
  Awaitable<> MaintainDirectory();

  asio::io_context& context;
  const Clock& clock;
  Address store;
  std::mt19937_64 random;
  MeshDirectory& directory;
  std::function<void()> on_change;
  std::map<std::string, Progress, std::less<>> progress_by_prefix;
  /// Prefixes that have been listed at least once.
  std::set<std::string> listed_prefixes;
  std::set<std::string> unreachable_prefixes;
  StoreFeed store_feed;
  std::function<void(const protocol::StoreNews&)> forward_update;
  bool is_relay = false;
  bool logged_live_feed = false;
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
