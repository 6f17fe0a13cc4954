#ifndef DAISYWINCH_NODE_UPDATE_EXCHANGE_H
#define DAISYWINCH_NODE_UPDATE_EXCHANGE_H

#include <cstdint>
#include <functional>
#include <string>
#include <string_view>
#include <vector>

#include "coordination/traffic_relay.h"
#include "node/store_watcher.h"
#include "protocol/news_codec.h"
#include "state/clock.h"
#include "state/mesh_settings.h"
#include "state/mesh_view.h"
#include "transport/datagram_socket.h"

namespace daisywinch {

/// Time between two news of a node, and two rounds of a relay, without a
/// special reason.
inline constexpr std::chrono::milliseconds kUpdateInterval{500};

/// Exchanges datagrams with the other nodes: what this node tells, and, as a
/// relay, the sums of what others tell and the changes of the store.
///
/// TrafficRelay decides who hears what. Runs on the control thread.
class UpdateExchange {
 public:
  /// Called with the traffic of all other nodes.
  using SumHandler = std::function<void(TrafficSum)>;

  UpdateExchange(asio::io_context& context,
                 const Clock& clock,
                 const MeshSettings& settings,
                 std::uint64_t incarnation,
                 const MeshViewHolder& views,
                 StoreWatcher& watcher,
                 SumHandler handle_sum);

  /// Binds and starts to receive; returns the error if the address cannot be
  /// used.
  ErrorCode Listen() { return this->socket.Listen(this->address); }

  /// Takes the VMs and customers that are in force now.
  void ApplyView(const MeshView& view);

  /// Tells the relays of this node's own traffic.
  void SendLocalUpdate(protocol::NodeNews update);

  /// Tells, as a relay, what is due or urgent; to be called more often than
  /// that. A node that stops relays no more.
  void RelayUpdates(bool is_draining);

 private:
  void HandleDatagram(const std::string& ip, std::string_view content);
  void HandleSum(const std::string& ip, const protocol::SumNews& update);
  void ApplyOthersSum(const std::string& relay,
                      std::uint64_t relay_incarnation,
                      TrafficSum sum);
  /// Tells what this node reads of the store: as a relay, the nodes that it
  /// relays for, and else its relays, which cannot read it.
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
  /// The relays that were told last.
  std::vector<std::string> local_relays;
  TimePoint last_relayed_at;
  /// What was last told of the store's being reachable.
  bool sent_reachable = false;
  std::uint64_t sequence = 0;
};

}  // namespace daisywinch

#endif  // DAISYWINCH_NODE_UPDATE_EXCHANGE_H
