#ifndef DAISYWINCH_NODE_GATE_ROUTER_H
#define DAISYWINCH_NODE_GATE_ROUTER_H

#include <cstddef>
#include <memory>
#include <string>
#include <unordered_map>

#include "node/call_sender.h"
#include "state/clock.h"
#include "transport/call_client.h"
#include "transport/call_server.h"

namespace daisywinch {

/// Sends calls to the gates of other nodes over the network, and to the local
/// gate by posting to its thread.
///
/// Runs on the ingress thread.
class GateRouter : public CallSender {
 public:
  GateRouter(asio::io_context& context,
             asio::ssl::context* tls,
             const Clock& clock,
             std::string local_vm,
             std::size_t size_limit,
             asio::io_context& gate_context,
             CallServer::Handler local_gate,
             MemoryBudget* memory);

  Awaitable<protocol::CallReply> Send(
      Vm vm,
      protocol::CallRequest request,
      TimePoint deadline,
      std::shared_ptr<Cancellation> cancellation) override;

  /// Closes all connections.
  void Close();
  /// Number of replies for which no call was waiting.
  std::uint64_t UnmatchedReplies() const;

 private:
  Awaitable<protocol::CallReply> SendToLocalGate(
      protocol::CallRequest request,
      TimePoint deadline,
      std::shared_ptr<Cancellation> cancellation);

  asio::io_context& context;
  asio::ssl::context* tls;
  const Clock& clock;
  std::string local_vm;
  std::size_t size_limit;
  asio::io_context& gate_context;
  CallServer::Handler local_gate;
  MemoryBudget* memory;
  /// Clients by peer address, so that a VM with a new address gets a new
  /// connection.
  std::unordered_map<std::string, std::shared_ptr<CallClient>> clients;
};

}  // namespace daisywinch

#endif  // DAISYWINCH_NODE_GATE_ROUTER_H
