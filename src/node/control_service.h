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
#include "protocol/message_cipher.h"
#include "state/clock.h"
#include "state/settings.h"
#include "transport/asio.h"
#include "transport/control_socket.h"

namespace daisywinch {

/// Exchanges control messages with the other nodes: heartbeats, the
/// configuration and the VM list (the documents), and requests for tokens.
///
/// Each request of a customer spends a token, so that the customer stays within
/// its rate over all nodes. The tokens are issued by a few nodes, the minters
/// of the customer; each issues a fraction of the rate and burst, its mint
/// fraction. An incarnation identifies one run of a node's process.
///
/// Messages are encrypted and may be lost; requests are repeated periodically.
/// Runs on the control thread.
class ControlService {
 public:
  /// Called with each reply to a token request of the local ingress; `vm` is
  /// the VM of the minter that sent the reply.
  using TokenReplyHandler =
      std::function<void(const std::string& vm, const TokenReply& reply)>;

  ControlService(asio::io_context& context,
                 const Clock& clock,
                 const Settings& settings,
                 std::uint64_t incarnation,
                 FleetView& fleet_view,
                 TokenReplyHandler on_token_reply);

  /// Listens on the control address and starts the heartbeats. Logs the error
  /// and returns false if the address cannot be used.
  bool Start();

  /// Applies a document if it is valid and newer than the current one, and logs
  /// the result. `source` names the platform or the VM that it comes from.
  void OfferConfiguration(const std::string& text, std::string_view source);
  void OfferVmList(const std::string& text, std::string_view source);
  /// Sends a token request to a minter, or handles it locally if this node is
  /// the minter. While the minter's incarnation is unknown, sends a heartbeat
  /// instead.
  void SendTokenRequest(const AddressedTokenRequest& addressed);
  /// Announces to the other nodes that this node is draining.
  void Drain();

  /// Whether this node is one of the few nodes of its data centre that watch a
  /// value of the platform. They are chosen by rendezvous hashing among the
  /// nodes that are not suspected.
  bool ShouldWatch(const std::string& value_name) const;

  /// State of the fleet as known to this node, for operators.
  boost::json::object Status() const;

 private:
  Awaitable<> RunHeartbeats();
  void SendHeartbeats();
  /// Logs changes of the set of suspected VMs and updates the fleet view.
  void UpdateSuspectedVms();
  /// Starts publishing the documents to the ingress and the gate, which makes
  /// the node ready, once this node may mint and no peer has a newer document,
  /// or after a timeout.
  void StartPublishingWhenConfirmed();
  /// Applies planned increases of this node's mint fractions once no other node
  /// can still mint by an older VM list or configuration.
  void ApplyPendingMintIncreases();
  /// Logs the result of offering a document to the fleet view, and calls
  /// ApplyFleetView() if the document was applied.
  void HandleOfferResult(OfferResult result,
                         protocol::DocumentKind kind,
                         std::string_view source);
  /// Updates peers, connections and mint fractions according to the current
  /// documents.
  void ApplyFleetView();

  /// Decrypts a received message and handles it. Messages that cannot be
  /// decrypted or parsed, or that are meant for another incarnation, are
  /// dropped.
  void Receive(const std::string& sealed);
  void Dispatch(const protocol::ControlMessage& message);
  void HandleHeartbeat(const protocol::ControlMessage& message);
  void HandleEcho(const protocol::ControlMessage& message);
  /// Requests the documents that the sender of the heartbeat has in a newer
  /// version.
  void RequestNewerDocuments(const Heartbeat& heartbeat);
  void HandleDocumentRequest(const protocol::ControlMessage& message);
  void HandleDocumentOffer(const protocol::ControlMessage& message);
  void HandleTokenRequest(const protocol::ControlMessage& message);

  /// Makes an empty message; `recipient` is the incarnation of the recipient, 0
  /// if unknown.
  protocol::ControlMessage MakeMessage(std::uint64_t recipient) const;
  void Send(const std::string& vm, const protocol::ControlMessage& message);

  asio::io_context& context;
  const Clock& clock;
  const Settings& settings;
  std::uint64_t incarnation;
  FleetView& fleet_view;
  TokenReplyHandler on_token_reply;
  MessageCipher cipher;
  ControlSocket socket;
  PeerTable peers;
  MintFractionController mint_fractions;
  MinterSet minters;
  std::set<std::string> suspected_vms;
  std::uint64_t rejected_messages = 0;
  std::uint64_t documents_refused = 0;
  /// Time at which this node first had both a configuration and a VM list.
  std::optional<TimePoint> first_snapshot_at;
  TimePoint configuration_requested_at;
  TimePoint vm_list_requested_at;
  bool is_publishing = false;
};

}  // namespace daisywinch

#endif  // DAISYWINCH_NODE_CONTROL_SERVICE_H
