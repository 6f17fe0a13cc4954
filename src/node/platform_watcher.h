#ifndef DAISYWINCH_NODE_PLATFORM_WATCHER_H
#define DAISYWINCH_NODE_PLATFORM_WATCHER_H

#include <functional>
#include <string>

#include "transport/asio.h"
#include "transport/platform_client.h"

namespace daisywinch {

/// Follows one value of the platform and reports each new revision.
///
/// A few nodes of each data centre watch the value by long polling and pass it
/// on to the others, which limits the load on the platform. The others poll it
/// at a long interval, in case all watching nodes have a stale or wrong value.
class PlatformWatcher {
 public:
  using ValueHandler = std::function<void(const std::string& text)>;
  /// Whether this node should watch the value now.
  using WatchPredicate = std::function<bool()>;

  PlatformWatcher(asio::io_context& context,
                  const Address& platform,
                  std::string value_name,
                  ValueHandler on_value,
                  WatchPredicate should_watch);

  /// Follows the value until the context stops. A value that is newer than the
  /// last one is passed to the handler.
  void Start();

  /// Sets where reads are sent from the next one on.
  void SetPlatformAddress(const Address& address) {
    this->client.SetAddress(address);
  }

  bool IsReachable() const { return this->reachable; }
  /// Number of requests sent to the platform; a long poll counts as one.
  std::uint64_t ReadCount() const { return this->client.ReadCount(); }

 private:
  Awaitable<> Watch();
  /// Waits before the next read after the platform was unreachable or did not
  /// have the value.
  Awaitable<> WaitForRetry();
  /// Waits until the next poll is due, or until this node should watch.
  Awaitable<> WaitForNextPoll();
  void SetReachable(bool is_reachable);

  asio::io_context& context;
  PlatformClient client;
  std::string value_name;
  ValueHandler on_value;
  WatchPredicate should_watch;
  std::uint64_t revision = 0;
  /// Number of consecutive reads that returned nothing while this node has no
  /// value.
  int empty_reads = 0;
  bool reachable = true;
};

}  // namespace daisywinch

#endif  // DAISYWINCH_NODE_PLATFORM_WATCHER_H
