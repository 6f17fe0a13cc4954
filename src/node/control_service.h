#ifndef DAISYWINCH_NODE_CONTROL_SERVICE_H
#define DAISYWINCH_NODE_CONTROL_SERVICE_H

#include <cstdint>
#include <functional>
#include <optional>
#include <string>

#include <boost/json.hpp>

#include "coordination/fleet_view.h"
#include "coordination/mint_fraction_controller.h"
#include "coordination/minter_set.h"
#include "coordination/peer_table.h"
#include "coordination/token_cache_set.h"
#include "protocol/generated/control_messages.pb.h"
#include "protocol/message_seal.h"
#include "state/clock.h"
#include "state/settings.h"
#include "transport/asio.h"
#include "transport/control_socket.h"

namespace daisywinch {

/// The node's part in the fleet: heartbeats, the spread of configuration and
/// VM list, and the minting of customers' tokens.
///
/// Runs on the control thread.
class ControlService {
 public:
  /// Called with each reply to a token request of the own entry.
  using TokenReplyHandler =
      std::function<void(const std::string& vm, const TokenReply& reply)>;

  ControlService(asio::io_context& context,
                 const Clock& clock,
                 const Settings& settings,
                 std::uint64_t incarnation,
                 FleetView& fleet_view,
                 TokenReplyHandler on_token_reply);

  /// Listens and starts the heartbeats; false if the address cannot be used.
  bool Start();

  void OfferConfiguration(const std::string& text, std::string_view source);
  void OfferVmList(const std::string& text, std::string_view source);
  void SendTokenRequest(const AddressedTokenRequest& addressed);
  void Drain();

  /// Whether this node is one of the few of its data centre that hold a watch
  /// on a value of the platform.
  bool ShouldWatch(const std::string& value_name) const;

  boost::json::object Status() const;

 private:
  Awaitable<> RunHeartbeats();
  void SendHeartbeats();
  void UpdateSuspectedVms();
  void StartPublishingWhenConfirmed();
  void ApplyPendingMintIncreases();
  void HandleOfferResult(OfferResult result,
                         protocol::DocumentKind kind,
                         std::string_view source);
  void ApplyFleetView();

  void Receive(const std::string& sealed);
  void Dispatch(const protocol::ControlMessage& message);
  void HandleHeartbeat(const protocol::ControlMessage& message);
  void HandleEcho(const protocol::ControlMessage& message);
  void RequestNewerDocuments(const Heartbeat& heartbeat);
  void HandleDocumentRequest(const protocol::ControlMessage& message);
  void HandleDocumentOffer(const protocol::ControlMessage& message);
  void HandleTokenRequest(const protocol::ControlMessage& message);

  protocol::ControlMessage MakeMessage(std::uint64_t recipient) const;
  void Send(const std::string& vm, const protocol::ControlMessage& message);

  asio::io_context& context;
  const Clock& clock;
  const Settings& settings;
  std::uint64_t incarnation;
  FleetView& fleet_view;
  TokenReplyHandler on_token_reply;
  MessageSeal seal;
  ControlSocket socket;
  PeerTable peers;
  MintFractionController mint_fractions;
  MinterSet minters;
  std::set<std::string> suspected_vms;
  std::uint64_t rejected_messages = 0;
  std::uint64_t documents_refused = 0;
  std::optional<TimePoint> first_snapshot_at;
  TimePoint configuration_requested_at;
  TimePoint vm_list_requested_at;
  bool is_publishing = false;
};

}  // namespace daisywinch

#endif  // DAISYWINCH_NODE_CONTROL_SERVICE_H
