#include "protocol/control_codec.h"

#include <algorithm>
#include <string>

namespace daisywinch {

namespace {

constexpr std::size_t kBitsPerByte = 8;

std::string PackBits(const std::vector<bool>& bits) {
  std::string bytes((bits.size() + kBitsPerByte - 1) / kBitsPerByte, '\0');
  for (std::size_t index = 0; index < bits.size(); ++index) {
    if (bits[index]) {
      char& byte = bytes[index / kBitsPerByte];
      byte = static_cast<char>(byte | 1 << (index % kBitsPerByte));
    }
  }
  return bytes;
}

std::vector<bool> UnpackBits(const std::string& bytes, std::size_t count) {
  std::vector<bool> bits(std::min(count, bytes.size() * kBitsPerByte));
  for (std::size_t index = 0; index < bits.size(); ++index) {
    bits[index] =
        (bytes[index / kBitsPerByte] >> (index % kBitsPerByte) & 1) != 0;
  }
  return bits;
}

}  // namespace

protocol::HeartbeatMessage EncodeHeartbeat(const Heartbeat& heartbeat) {
  protocol::HeartbeatMessage message;
  message.set_nonce(heartbeat.nonce);
  message.set_configuration_version(heartbeat.state.configuration_version);
  message.set_vm_list_version(heartbeat.state.vm_list_version);
  message.set_draining(heartbeat.state.draining);
  message.set_applied(PackBits(heartbeat.state.applied));
  message.set_applied_count(heartbeat.state.applied.size());
  return message;
}

Heartbeat DecodeHeartbeat(const protocol::ControlMessage& envelope,
                          const protocol::HeartbeatMessage& message) {
  Heartbeat heartbeat;
  heartbeat.nonce = message.nonce();
  heartbeat.state.vm = envelope.sender_vm();
  heartbeat.state.incarnation = envelope.sender_incarnation();
  heartbeat.state.configuration_version = message.configuration_version();
  heartbeat.state.vm_list_version = message.vm_list_version();
  heartbeat.state.draining = message.draining();
  heartbeat.state.applied =
      UnpackBits(message.applied(), message.applied_count());
  return heartbeat;
}

protocol::TokenRequestMessage EncodeTokenRequest(const TokenRequest& request) {
  protocol::TokenRequestMessage message;
  message.set_request_id(request.request_id);
  message.set_minter_incarnation(request.minter_incarnation);
  for (const TokenReport& report : request.reports) {
    protocol::TokenReportMessage* item = message.add_reports();
    item->set_customer(report.customer);
    item->set_grant_id(report.grant_id);
    item->set_spent(report.spent);
    item->set_closed(report.closed);
  }
  for (const TokenDraw& draw : request.draws) {
    protocol::TokenAmountMessage* item = message.add_draws();
    item->set_customer(draw.customer);
    item->set_amount(draw.wanted);
  }
  return message;
}

TokenRequest DecodeTokenRequest(const protocol::TokenRequestMessage& message) {
  TokenRequest request;
  request.request_id = message.request_id();
  request.minter_incarnation = message.minter_incarnation();
  for (const protocol::TokenReportMessage& item : message.reports()) {
    request.reports.push_back(
        {item.customer(), item.grant_id(), item.spent(), item.closed()});
  }
  for (const protocol::TokenAmountMessage& item : message.draws()) {
    request.draws.push_back({item.customer(), item.amount()});
  }
  return request;
}

protocol::TokenReplyMessage EncodeTokenReply(const TokenReply& reply) {
  protocol::TokenReplyMessage message;
  message.set_request_id(reply.request_id);
  for (const CustomerGrant& customer_grant : reply.grants) {
    protocol::TokenAmountMessage* item = message.add_grants();
    item->set_customer(customer_grant.customer);
    item->set_grant_id(customer_grant.grant.id);
    item->set_amount(customer_grant.grant.amount);
  }
  return message;
}

TokenReply DecodeTokenReply(const protocol::ControlMessage& envelope,
                            const protocol::TokenReplyMessage& message) {
  TokenReply reply;
  reply.request_id = message.request_id();
  reply.minter_incarnation = envelope.sender_incarnation();
  for (const protocol::TokenAmountMessage& item : message.grants()) {
    reply.grants.push_back({item.customer(), {item.grant_id(), item.amount()}});
  }
  return reply;
}

}  // namespace daisywinch
