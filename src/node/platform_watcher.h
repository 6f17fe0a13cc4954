#ifndef DAISYWINCH_NODE_PLATFORM_WATCHER_H
#define DAISYWINCH_NODE_PLATFORM_WATCHER_H

#include <functional>
#include <string>

#include "transport/asio.h"
#include "transport/platform_client.h"

namespace daisywinch {

/// Watches one value of the platform and hands on each new revision.
class PlatformWatcher {
 public:
  using Receiver = std::function<void(const std::string& text)>;

  PlatformWatcher(asio::io_context& context,
                  const Address& platform,
                  std::string value_name,
                  Receiver receiver);

  /// Watches until the context stops.
  void Start();

  bool IsReachable() const { return this->reachable; }
  std::uint64_t ReadCount() const { return this->client.ReadCount(); }

 private:
  Awaitable<> Watch();
  void SetReachable(bool is_reachable);

  asio::io_context& context;
  PlatformClient client;
  std::string value_name;
  Receiver receiver;
  std::uint64_t revision = 0;
  bool reachable = true;
};

}  // namespace daisywinch

#endif  // DAISYWINCH_NODE_PLATFORM_WATCHER_H
