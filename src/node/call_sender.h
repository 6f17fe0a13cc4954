#ifndef DAISYWINCH_NODE_CALL_SENDER_H
#define DAISYWINCH_NODE_CALL_SENDER_H

#include <memory>

#include "protocol/generated/peer_messages.pb.h"
#include "state/vm_list.h"
#include "transport/asio.h"
#include "transport/cancellation.h"

namespace daisywinch {

/// Sends calls from an ingress to the gate on a VM.
class CallSender {
 public:
  virtual ~CallSender() = default;

  /// Returns the gate's reply, or one with the reason why none arrived.
  virtual Awaitable<protocol::CallReply> Send(
      Vm vm,
      protocol::CallRequest request,
      TimePoint deadline,
      std::shared_ptr<Cancellation> cancellation) = 0;
};

}  // namespace daisywinch

#endif  // DAISYWINCH_NODE_CALL_SENDER_H
