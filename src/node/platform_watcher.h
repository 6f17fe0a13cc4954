#ifndef DAISYWINCH_NODE_PLATFORM_WATCHER_H
#define DAISYWINCH_NODE_PLATFORM_WATCHER_H

#include <functional>
#include <string>

#include "transport/asio.h"
#include "transport/platform_client.h"

namespace daisywinch {

/// Follows one value of the platform and hands on each new revision.
///
/// A few nodes of each data centre hold a watch; the others read the value
/// now and then, in case all the watching nodes are wrong.
class PlatformWatcher {
 public:
  using ValueHandler = std::function<void(const std::string& text)>;
  /// Whether this node is to hold a watch now.
  using WatchPredicate = std::function<bool()>;

  PlatformWatcher(asio::io_context& context,
                  const Address& platform,
                  std::string value_name,
                  ValueHandler on_value,
                  WatchPredicate should_watch);

  /// Follows the value until the context stops.
  void Start();

  bool IsReachable() const { return this->reachable; }
  std::uint64_t ReadCount() const { return this->client.ReadCount(); }

 private:
  Awaitable<> Watch();
  /// Waits before the platform is asked again after it gave nothing.
  Awaitable<> WaitForRetry();
  /// Waits for the time of the next slow read, or until a watch is due.
  Awaitable<> WaitForNextPoll();
  void SetReachable(bool is_reachable);

  asio::io_context& context;
  PlatformClient client;
  std::string value_name;
  ValueHandler on_value;
  WatchPredicate should_watch;
  std::uint64_t revision = 0;
  /// Reads in a row that gave nothing to a node without a value.
  int empty_reads = 0;
  bool reachable = true;
};

}  // namespace daisywinch

#endif  // DAISYWINCH_NODE_PLATFORM_WATCHER_H
