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
  using TokenReceiver =
      std::function<void(const std::string& vm, const TokenReply& reply)>;

  ControlService(asio::io_context& context,
                 const Clock& clock,
                 const Settings& settings,
                 std::uint64_t incarnation,
                 FleetView& fleet_view,
                 TokenReceiver token_receiver);

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
  void ReportSuspicion();
  void ReleaseWhenConfirmed();
  void Settle();
  void TakeAcceptance(OfferResult acceptance,
                      protocol::DocumentKind kind,
                      std::string_view source);
  void ApplyFleetView();

  void Receive(const std::string& sealed);
  void Dispatch(const protocol::ControlMessage& message);
  void TakeHeartbeat(const protocol::ControlMessage& message);
  void TakeEcho(const protocol::ControlMessage& message);
  void RequestNewerDocuments(const Heartbeat& heartbeat);
  void AnswerDocumentRequest(const protocol::ControlMessage& message);
  void TakeDocument(const protocol::ControlMessage& message);
  void AnswerTokenRequest(const protocol::ControlMessage& message);

  protocol::ControlMessage MakeMessage(std::uint64_t recipient) const;
  void Send(const std::string& vm, const protocol::ControlMessage& message);

  asio::io_context& context;
  const Clock& clock;
  const Settings& settings;
  std::uint64_t incarnation;
  FleetView& fleet_view;
  TokenReceiver token_receiver;
  MessageSeal seal;
  ControlSocket socket;
  PeerTable peers;
  MintFractionController schedule;
  MinterSet minters;
  std::set<std::string> suspected;
  std::uint64_t rejected_messages = 0;
  std::uint64_t configurations_refused = 0;
  std::optional<TimePoint> known_since;
  TimePoint configuration_requested_at;
  TimePoint vm_list_requested_at;
  bool released = false;
};

}  // namespace daisywinch

#endif  // DAISYWINCH_NODE_CONTROL_SERVICE_H
