#ifndef DAISYWINCH_NODE_UPDATE_EXCHANGE_H
#define DAISYWINCH_NODE_UPDATE_EXCHANGE_H

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include "coordination/traffic_relay.h"
#include "node/store_watcher.h"
#include "protocol/traffic_codec.h"
#include "state/clock.h"
#include "state/mesh_settings.h"
#include "state/mesh_view.h"
#include "transport/datagram_socket.h"

namespace daisywinch {

/// Interval between two updates of a node, and between two rounds of a relay,
/// when nothing is urgent.
inline constexpr std::chrono::milliseconds kUpdateInterval{500};

/// Exchanges datagrams with the other nodes: traffic updates of this node and,
/// if it is a relay, sums of other nodes' updates and changes of the store.
///
/// TrafficRelay selects the recipients and computes the sums. Runs on the
/// control thread.
class UpdateExchange {
 public:
  /// Called with the combined traffic of all other nodes.
  using SumHandler = std::function<void(TrafficSum)>;

  UpdateExchange(asio::io_context& context,
                 const Clock& clock,
                 const MeshSettings& settings,
                 std::uint64_t incarnation,
                 const MeshViewHolder& views,
                 StoreWatcher& watcher,
                 SumHandler handle_sum);

  /// Binds the socket and starts to receive. Returns an error if the address is
  /// not available.
  ErrorCode Listen() { return this->socket.Listen(this->address); }

  /// Applies the VMs and customers of the current view.
  void ApplyView(const MeshView& view);

  /// Whether this node reaches too few others; see TrafficRelay::IsIsolated().
  bool IsIsolated() const { return this->relay.IsIsolated(this->clock.Now()); }

  /// Sends an update of this node's traffic to its relays.
  void SendLocalUpdate(protocol::NodeNews update);

  /// Sends, as a relay, the sums and store updates that are due or urgent. Has
  /// to be called more often than kUpdateInterval, as it also checks for urgent
  /// ones. A draining node stops acting as a relay.
  void RelayUpdates(bool is_draining);

 private:
  void HandleDatagram(const std::string& ip, std::string_view content);
  void HandleSum(const std::string& ip, const protocol::SumNews& update);
  void ApplyOthersSum(const std::string& relay,
                      std::uint64_t relay_incarnation,
                      TrafficSum sum);
  /// Sends what this node has read from the store: as a relay to its
  /// subscribers, otherwise to its relays, as a node that is not a relay reads
  /// the store only while its relays can't.
  void SendStoreUpdate(const protocol::StoreNews& update);
  void SendSum(const std::string& ip,
               const std::string& data_centre,
               const TrafficSum& sum);
  std::uint64_t UptimeInMilliseconds() const;
  void Send(const std::string& ip, const protocol::Datagram& datagram);

  const Clock& clock;
  std::string ip;
  std::string data_centre;
  Address address;
  std::uint64_t incarnation;
  TimePoint started_at;
  const MeshViewHolder& views;
  StoreWatcher& watcher;
  SumHandler handle_sum;
  DatagramSocket socket;
  TrafficRelay relay;
  /// Relays that this node's last update was sent to.
  std::vector<std::string> local_relays;
  TimePoint last_relayed_at;
  /// Whether the last store update reported the store as reachable.
  bool sent_reachable = false;
  std::uint64_t sequence = 0;
};

}  // namespace daisywinch

#endif  // DAISYWINCH_NODE_UPDATE_EXCHANGE_H
