#include "node/control_service.h"

#include <algorithm>
#include <set>
#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

#include "coordination/mint_plan.h"
#include "protocol/control_codec.h"
#include "state/event_log.h"
#include "state/key_digest.h"

namespace daisywinch {

namespace {

/// Number of nodes of each data centre that watch a value of the platform.
constexpr std::size_t kWatchersPerDataCentre = 2;
/// Maximum time that a starting node waits for its peers to confirm that it has
/// the newest documents.
constexpr std::chrono::milliseconds kConfirmationTimeout{1500};
/// Minimum time between two requests for the same document, after which a lost
/// request or response is repeated.
constexpr std::chrono::milliseconds kDocumentRequestInterval{300};

}  // namespace

ControlService::ControlService(asio::io_context& context,
                               const Clock& clock,
                               const Settings& settings,
                               std::uint64_t incarnation,
                               FleetView& fleet_view,
                               TokenReplyHandler on_token_reply)
    : context(context),
      clock(clock),
      settings(settings),
      incarnation(incarnation),
      fleet_view(fleet_view),
      on_token_reply(std::move(on_token_reply)),
      cipher(settings.fleet_secret, incarnation),
      socket(context,
             clock,
             [this](std::string sealed) { this->Receive(sealed); }),
      peers(settings.vm, settings.data_centre, incarnation, incarnation),
      mint_fractions(clock.Now()),
      minters(incarnation) {}

bool ControlService::Start() {
  if (!this->socket.Listen(this->settings.control_address)) {
    LogEvent(EventId::kPortUnavailable,
             {{"address", this->settings.control_address.ToString()},
              {"reason", this->socket.LastError()}});
    return false;
  }
  asio::co_spawn(this->context, this->RunHeartbeats(), asio::detached);
  return true;
}

Awaitable<> ControlService::RunHeartbeats() {
  while (true) {
    this->SendHeartbeats();
    this->UpdateSuspectedVms();
    this->StartPublishingWhenConfirmed();
    this->ApplyPendingMintIncreases();
    this->socket.CloseIdleConnections();
    Timer timer(this->context, kHeartbeatInterval);
    ErrorCode ignored;
    co_await timer.async_wait(Await(ignored));
  }
}

void ControlService::SendHeartbeats() {
  const TimePoint now = this->clock.Now();
  for (const std::string& peer : this->peers.ChooseHeartbeatPeers()) {
    protocol::ControlMessage message =
        this->MakeMessage(this->peers.IncarnationOf(peer));
    *message.mutable_heartbeat() =
        EncodeHeartbeat(this->peers.MakeHeartbeat(peer, now));
    this->Send(peer, message);
  }
}

void ControlService::UpdateSuspectedVms() {
  const std::set<std::string> current_suspected_vms =
      this->peers.SuspectedVms(this->clock.Now());
  for (const std::string& vm : current_suspected_vms) {
    if (!this->suspected_vms.contains(vm)) {
      LogEvent(EventId::kPeerSuspected, {{"vm", vm}});
    }
  }
  for (const std::string& vm : this->suspected_vms) {
    if (!current_suspected_vms.contains(vm)) {
      LogEvent(EventId::kPeerRestored, {{"vm", vm}});
    }
  }
  this->suspected_vms = current_suspected_vms;
  this->fleet_view.SetSuspectedVms(this->suspected_vms);
}

void ControlService::StartPublishingWhenConfirmed() {
  if (this->is_publishing || !this->first_snapshot_at) {
    return;
  }
  const TimePoint now = this->clock.Now();
  const bool is_confirmed = this->peers.MayMint(now) && !this->peers.IsBehind();
  const bool has_timed_out =
      now - *this->first_snapshot_at > kConfirmationTimeout;
  if (is_confirmed || has_timed_out) {
    this->is_publishing = true;
    this->fleet_view.StartPublishing();
    LogEvent(EventId::kNodeReady, {{"vm", this->settings.vm}});
  }
}

void ControlService::ApplyPendingMintIncreases() {
  const TimePoint now = this->clock.Now();
  const std::optional<Configuration>& configuration =
      this->fleet_view.CurrentConfiguration();
  if (configuration && this->mint_fractions.ApplyPendingIncreases(
                           this->peers.ListRollout(), now)) {
    this->minters.SetFractions(this->mint_fractions.Fractions(), *configuration,
                               now);
  }
}

void ControlService::OfferConfiguration(const std::string& text,
                                        std::string_view source) {
  this->HandleOfferResult(this->fleet_view.OfferConfiguration(text),
                          protocol::DOCUMENT_KIND_CONFIGURATION, source);
}

void ControlService::OfferVmList(const std::string& text,
                                 std::string_view source) {
  this->HandleOfferResult(this->fleet_view.OfferVmList(text),
                          protocol::DOCUMENT_KIND_VM_LIST, source);
}

void ControlService::HandleOfferResult(OfferResult result,
                                       protocol::DocumentKind kind,
                                       std::string_view source) {
  const bool is_configuration = kind == protocol::DOCUMENT_KIND_CONFIGURATION;
  const std::string_view document = is_configuration ? "configuration" : "vms";
  switch (result) {
    case OfferResult::kApplied:
      LogEvent(is_configuration ? EventId::kConfigurationInForce
                                : EventId::kVmListInForce,
               {{"version", is_configuration
                                ? this->fleet_view.ConfigurationVersion()
                                : this->fleet_view.VmListVersion()},
                {"source", source}});
      this->ApplyFleetView();
      break;
    case OfferResult::kInvalid:
      ++this->documents_refused;
      LogEvent(is_configuration ? EventId::kConfigurationRefused
                                : EventId::kVmListRefused,
               {{"source", source},
                {"reason", this->fleet_view.LastValidationError()}});
      break;
    case OfferResult::kOlderVersion:
      LogEvent(EventId::kVersionBehind,
               {{"document", document}, {"source", source}});
      break;
    case OfferResult::kSameVersion:
      break;
  }
}

void ControlService::ApplyFleetView() {
  const TimePoint now = this->clock.Now();
  const VmList& list = this->fleet_view.CurrentVmList();
  if (this->peers.VmListVersion() != list.version) {
    this->peers.SetVmList(list);
    std::set<std::string> addresses;
    for (const Vm& vm : list.vms) {
      addresses.insert(vm.control_address.ToString());
    }
    this->socket.CloseAllExcept(addresses);
  }
  this->peers.SetConfigurationVersion(this->fleet_view.ConfigurationVersion());
  const std::shared_ptr<const Snapshot> snapshot =
      this->fleet_view.NewestSnapshot();
  if (!snapshot) {
    return;
  }
  if (!this->first_snapshot_at) {
    this->first_snapshot_at = now;
  }
  std::set<std::string> data_centre_vms;
  for (const Vm& vm : list.vms) {
    if (vm.data_centre == this->settings.data_centre) {
      data_centre_vms.insert(vm.name);
    }
  }
  this->mint_fractions.SetPlannedFractions(
      ComputeMintFractions(*snapshot, this->settings.vm,
                           this->settings.data_centre),
      data_centre_vms, now);
  this->minters.SetFractions(this->mint_fractions.Fractions(),
                             snapshot->CurrentConfiguration(), now);
  // Announces the new versions to the peers without delay. If messages are
  // lost, the periodic heartbeats announce them again.
  this->SendHeartbeats();
}

void ControlService::Drain() {
  this->peers.SetDraining();
  this->SendHeartbeats();
}

bool ControlService::ShouldWatch(const std::string& value_name) const {
  std::vector<std::string> live_nodes =
      this->peers.LiveDataCentreNodes(this->clock.Now());
  if (live_nodes.empty()) {
    return true;
  }
  std::sort(live_nodes.begin(), live_nodes.end(),
            [&](const std::string& left, const std::string& right) {
              return Sha256Hex(left + value_name) <
                     Sha256Hex(right + value_name);
            });
  live_nodes.resize(std::min(live_nodes.size(), kWatchersPerDataCentre));
  return std::find(live_nodes.begin(), live_nodes.end(), this->settings.vm) !=
         live_nodes.end();
}

boost::json::object ControlService::Status() const {
  const TimePoint now = this->clock.Now();
  boost::json::object fractions;
  for (const auto& [customer, fraction] : this->mint_fractions.Fractions()) {
    fractions[customer] = fraction;
  }
  const VmListRollout rollout = this->peers.ListRollout();
  return {{"may_mint", this->peers.MayMint(now)},
          {"mint_parts", std::move(fractions)},
          {"mint_parts_settled", this->mint_fractions.IsSettled()},
          {"nodes_behind_on_vm_list", rollout.nodes_not_applied},
          {"suspected", boost::json::array(this->suspected_vms.begin(),
                                           this->suspected_vms.end())},
          {"rejected_messages", this->rejected_messages},
          {"documents_refused", this->documents_refused},
          {"control_connections", this->socket.ConnectionCount()},
          {"sent_bytes", this->socket.SentBytes()},
          {"sent_messages", this->socket.SentMessages()}};
}

protocol::ControlMessage ControlService::MakeMessage(
    std::uint64_t recipient) const {
  protocol::ControlMessage message;
  message.set_sender_vm(this->settings.vm);
  message.set_sender_incarnation(this->incarnation);
  message.set_recipient_incarnation(recipient);
  return message;
}

void ControlService::Send(const std::string& vm,
                          const protocol::ControlMessage& message) {
  const Vm* recipient = this->fleet_view.CurrentVmList().Find(vm);
  if (recipient != nullptr) {
    this->socket.Send(recipient->control_address,
                      this->cipher.Seal(message.SerializeAsString()));
  }
}

void ControlService::Receive(const std::string& sealed) {
  const std::optional<std::string> opened = this->cipher.Open(sealed);
  protocol::ControlMessage message;
  if (!opened || !message.ParseFromString(*opened)) {
    ++this->rejected_messages;
    if (this->rejected_messages == 1) {
      LogEvent(EventId::kPeerRejected, {{"port", "control"}});
    }
    return;
  }
  // Only a heartbeat may come from a node that does not know the incarnation of
  // this process yet.
  const bool is_for_this_process =
      message.recipient_incarnation() == this->incarnation;
  if (is_for_this_process || message.has_heartbeat()) {
    this->Dispatch(message);
  }
}

void ControlService::Dispatch(const protocol::ControlMessage& message) {
  switch (message.content_case()) {
    case protocol::ControlMessage::kHeartbeat:
      this->HandleHeartbeat(message);
      break;
    case protocol::ControlMessage::kEcho:
      this->HandleEcho(message);
      break;
    case protocol::ControlMessage::kTokenRequest:
      this->HandleTokenRequest(message);
      break;
    case protocol::ControlMessage::kTokenReply:
      this->on_token_reply(message.sender_vm(),
                           DecodeTokenReply(message, message.token_reply()));
      break;
    case protocol::ControlMessage::kDocumentRequest:
      this->HandleDocumentRequest(message);
      break;
    case protocol::ControlMessage::kDocumentOffer:
      this->HandleDocumentOffer(message);
      break;
    case protocol::ControlMessage::CONTENT_NOT_SET:
      break;
  }
}

void ControlService::HandleHeartbeat(const protocol::ControlMessage& message) {
  const Heartbeat heartbeat = DecodeHeartbeat(message, message.heartbeat());
  this->peers.HandleHeartbeat(heartbeat);
  protocol::ControlMessage echo =
      this->MakeMessage(message.sender_incarnation());
  *echo.mutable_echo() = EncodeHeartbeat(this->peers.MakeEcho(heartbeat));
  this->Send(message.sender_vm(), echo);
  this->RequestNewerDocuments(heartbeat);
}

void ControlService::HandleEcho(const protocol::ControlMessage& message) {
  const Heartbeat echo = DecodeHeartbeat(message, message.echo());
  if (this->peers.HandleEcho(echo)) {
    this->RequestNewerDocuments(echo);
    this->StartPublishingWhenConfirmed();
    this->ApplyPendingMintIncreases();
  }
}

void ControlService::RequestNewerDocuments(const Heartbeat& heartbeat) {
  const TimePoint now = this->clock.Now();
  const auto request = [&](protocol::DocumentKind kind,
                           TimePoint& requested_at) {
    if (now - requested_at < kDocumentRequestInterval) {
      return;
    }
    requested_at = now;
    protocol::ControlMessage message =
        this->MakeMessage(heartbeat.state.incarnation);
    message.mutable_document_request()->set_kind(kind);
    this->Send(heartbeat.state.vm, message);
  };
  if (heartbeat.state.configuration_version >
      this->fleet_view.ConfigurationVersion()) {
    request(protocol::DOCUMENT_KIND_CONFIGURATION,
            this->configuration_requested_at);
  }
  if (heartbeat.state.vm_list_version > this->fleet_view.VmListVersion()) {
    request(protocol::DOCUMENT_KIND_VM_LIST, this->vm_list_requested_at);
  }
}

void ControlService::HandleDocumentRequest(
    const protocol::ControlMessage& message) {
  const protocol::DocumentKind kind = message.document_request().kind();
  protocol::ControlMessage response =
      this->MakeMessage(message.sender_incarnation());
  protocol::DocumentOffer* offer = response.mutable_document_offer();
  offer->set_kind(kind);
  offer->set_text(kind == protocol::DOCUMENT_KIND_CONFIGURATION
                      ? this->fleet_view.ConfigurationText()
                      : this->fleet_view.VmListText());
  this->Send(message.sender_vm(), response);
}

void ControlService::HandleDocumentOffer(
    const protocol::ControlMessage& message) {
  const protocol::DocumentOffer& offer = message.document_offer();
  if (offer.kind() == protocol::DOCUMENT_KIND_CONFIGURATION) {
    this->OfferConfiguration(offer.text(), message.sender_vm());
  } else if (offer.kind() == protocol::DOCUMENT_KIND_VM_LIST) {
    this->OfferVmList(offer.text(), message.sender_vm());
  }
}

void ControlService::SendTokenRequest(const AddressedTokenRequest& addressed) {
  if (addressed.vm == this->settings.vm) {
    const TimePoint now = this->clock.Now();
    this->on_token_reply(addressed.vm,
                         this->minters.HandleRequest(
                             addressed.request, this->peers.MayMint(now), now));
    return;
  }
  const std::uint64_t recipient = this->peers.IncarnationOf(addressed.vm);
  if (recipient == 0) {
    // The minter's incarnation is unknown until it echoes a heartbeat; send one
    // so that the next token request can be addressed to it.
    protocol::ControlMessage message = this->MakeMessage(0);
    *message.mutable_heartbeat() = EncodeHeartbeat(
        this->peers.MakeHeartbeat(addressed.vm, this->clock.Now()));
    this->Send(addressed.vm, message);
    return;
  }
  protocol::ControlMessage message = this->MakeMessage(recipient);
  *message.mutable_token_request() = EncodeTokenRequest(addressed.request);
  this->Send(addressed.vm, message);
}

void ControlService::HandleTokenRequest(
    const protocol::ControlMessage& message) {
  const TimePoint now = this->clock.Now();
  const TokenReply reply =
      this->minters.HandleRequest(DecodeTokenRequest(message.token_request()),
                                  this->peers.MayMint(now), now);
  protocol::ControlMessage response =
      this->MakeMessage(message.sender_incarnation());
  *response.mutable_token_reply() = EncodeTokenReply(reply);
  this->Send(message.sender_vm(), response);
}

}  // namespace daisywinch
