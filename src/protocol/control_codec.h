#ifndef DAISYWINCH_PROTOCOL_CONTROL_CODEC_H
#define DAISYWINCH_PROTOCOL_CONTROL_CODEC_H

#include "coordination/peer_table.h"
#include "coordination/token_messages.h"
#include "protocol/generated/control_messages.pb.h"

namespace daisywinch {

// Conversion of heartbeats, token requests and token replies to and from
// protobuf messages.
//
// They are sent as the content of a ControlMessage, the envelope, which names
// the sending VM and the incarnation of its process. DecodeHeartbeat() and
// DecodeTokenReply() take the sender's identity from there.

protocol::HeartbeatMessage EncodeHeartbeat(const Heartbeat& heartbeat);
Heartbeat DecodeHeartbeat(const protocol::ControlMessage& envelope,
                          const protocol::HeartbeatMessage& message);

protocol::TokenRequestMessage EncodeTokenRequest(const TokenRequest& request);
TokenRequest DecodeTokenRequest(const protocol::TokenRequestMessage& message);

protocol::TokenReplyMessage EncodeTokenReply(const TokenReply& reply);
TokenReply DecodeTokenReply(const protocol::ControlMessage& envelope,
                            const protocol::TokenReplyMessage& message);

}  // namespace daisywinch

#endif  // DAISYWINCH_PROTOCOL_CONTROL_CODEC_H
