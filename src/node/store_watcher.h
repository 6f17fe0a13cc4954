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

#include "coordination/mesh_directory.h"
#include "platform/store_calls.h"
#include "state/clock.h"
#include "state/settings.h"
#include "transport/asio.h"

namespace daisywinch {

/// Follows the platform's store and keeps the directory up to date.
///
/// Lists each prefix once and then waits for its changes; lists again when the
/// store no longer keeps the changes in between. Runs on the control thread.
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

  /// Highest revision of the store that was applied for both prefixes.
  std::uint64_t Revision() const;
  std::uint64_t CallCount() const { return this->call_count; }

 private:
  /// How far a prefix has been followed.
  struct Progress {
    /// 0 as long as the prefix has to be listed.
    std::uint64_t revision = 0;
    int failures_in_row = 0;
  };

  Awaitable<> Follow(std::string prefix);
  Awaitable<bool> List(std::string prefix, Progress& progress);
  Awaitable<bool> Watch(std::string prefix, Progress& progress);
  /// The store's answer; nothing when none came.
  Awaitable<std::optional<HttpResponse>> Ask(HttpRequest request,
                                             Duration timeout);
  void Apply(const platform::StoreItem& item);
  void ApplyConfiguration(const platform::StoreItem& item);
  void ApplyTarget(const platform::StoreItem& item);
  void KeepOnly(std::string_view prefix, const std::set<std::string>& keys);
  void ReportLost(const std::string& reason);
  void ReportBack();
  Awaitable<> SettleDirectory();

  asio::io_context& context;
  const Clock& clock;
  Address store;
  std::mt19937_64 random;
  MeshDirectory& directory;
  std::function<void()> on_change;
  std::map<std::string, Progress, std::less<>> progress_by_prefix;
  std::set<std::string> lost_prefixes;
  std::uint64_t call_count = 0;
  std::string last_reason;
};

}  // namespace daisywinch

#endif  // DAISYWINCH_NODE_STORE_WATCHER_H
