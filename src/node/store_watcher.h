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

/// Follows the platform's store and keeps the directory up to date.
///
/// Lists each prefix once and then waits for its changes; lists again when the
/// store no longer keeps the changes in between. A relay passes the changes on
/// to the nodes of its data centre; a node that is fed by a relay does not wait
/// at the store itself, and reads there only what it finds missing. Runs on the
/// control thread.
class StoreWatcher {
 public:
  /// `on_change` is called after the directory has changed.
  StoreWatcher(asio::io_context& context,
               const Clock& clock,
               const Address& store,
               std::uint64_t seed,
               MeshDirectory& directory,
               std::function<void()> on_change);

  void Start();

  /// Sets what takes changes that this node, as a relay, is to pass on.
  void SetUpdateForwarder(
      std::function<void(const protocol::StoreNews&)> forwarder) {
    this->forward_update = std::move(forwarder);
  }
  /// Whether this node watches the store for others.
  void SetRelay(bool enabled) { this->is_relay = enabled; }
  /// Takes what a relay tells of the store.
  void ApplyStoreUpdate(const protocol::StoreNews& update);
  /// What this node tells without an occasion; nothing while it is fed by
  /// others.
  std::optional<protocol::StoreNews> MakeStoreUpdate() const;

  /// Highest revision of the store that was applied for both prefixes.
  std::uint64_t Revision() const;
  std::uint64_t CallCount() const { return this->call_count; }

 private:
  /// How far a prefix has been followed.
  struct Progress {
    /// Everything up to this revision is applied; 0 as long as the prefix has
    /// to be listed.
    std::uint64_t revision = 0;
    /// Revision of the last change that is known.
    std::uint64_t last_change = 0;
    int failures_in_row = 0;
    /// When the call that waits at the store has to be answered.
    std::optional<TimePoint> response_due_at;
  };

  Awaitable<> Follow(std::string prefix);
  Awaitable<bool> List(std::string prefix, Progress& progress);
  Awaitable<bool> Watch(std::string prefix, Progress& progress, Duration wait);
  /// Reads what the feed shows to be missing.
  Awaitable<> CatchUp(std::string prefix);
  bool HasLiveFeed() const;
  /// Logs that this node has begun or ceased to be fed.
  void LogFeedChange();
  Awaitable<> Pause(Duration time);
  /// Waits until the store may be asked again, or a relay reads it.
  Awaitable<> BackOff(int failures_in_row);
  /// Applies what is newer than what was applied; true if there was any.
  bool ApplyChanges(const std::vector<platform::StoreItem>& items,
                    std::uint64_t up_to,
                    Progress& progress);
  /// Tells the nodes that this one relays for of changes after the last one
  /// that was known.
  void ForwardChanges(const std::string& prefix,
                      std::uint64_t last_change,
                      const platform::StorePage& page);
  /// The store's answer; nothing when none came.
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
  /// Prefixes that were listed at least once.
  std::set<std::string> listed_prefixes;
  std::set<std::string> unreachable_prefixes;
  StoreFeed store_feed;
  std::function<void(const protocol::StoreNews&)> forward_update;
  bool is_relay = false;
  bool logged_live_feed = false;
  /// When the store, or a relay that reads it, was last heard.
  TimePoint last_contact_at;
  /// When it was last heard before it was lost.
  std::optional<TimePoint> unreachable_since;
  std::uint64_t call_count = 0;
  std::string last_error;
};

}  // namespace daisywinch

#endif  // DAISYWINCH_NODE_STORE_WATCHER_H
