#include "node/gate_router.h"

#include <algorithm>
#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/post.hpp>

namespace daisywinch {

GateRouter::GateRouter(asio::io_context& context,
                       asio::ssl::context* tls,
                       const Clock& clock,
                       std::string local_vm,
                       std::size_t size_limit,
                       asio::io_context& gate_context,
                       CallServer::Handler local_gate,
                       MemoryBudget* memory)
    : context(context),
      tls(tls),
      clock(clock),
      local_vm(std::move(local_vm)),
      size_limit(size_limit),
      gate_context(gate_context),
      local_gate(std::move(local_gate)),
      memory(memory) {}

Awaitable<protocol::CallReply> GateRouter::Send(
    Vm vm,
    protocol::CallRequest request,
    TimePoint deadline,
    std::shared_ptr<Cancellation> cancellation) {
  if (vm.name == this->local_vm) {
    co_return co_await this->SendToLocalGate(std::move(request), deadline,
                                             cancellation);
  }
  std::shared_ptr<CallClient>& client =
      this->clients[vm.peer_address.ToString()];
  if (!client) {
    client = std::make_shared<CallClient>(this->context, this->tls, this->clock,
                                          vm.peer_address, this->size_limit,
                                          this->memory);
  }
  const std::shared_ptr<CallClient> call_client = client;
  co_return co_await call_client->Call(std::move(request), deadline,
                                       cancellation);
}

Awaitable<protocol::CallReply> GateRouter::SendToLocalGate(
    protocol::CallRequest request,
    TimePoint deadline,
    std::shared_ptr<Cancellation> cancellation) {
  if (cancellation->IsCancelled()) {
    co_return MakeRefusedReply(RefusalReason::kCancelledUnsent);
  }
  const Duration remaining = deadline - this->clock.Now();
  request.set_remaining_microseconds(std::max<std::int64_t>(
      0, std::chrono::duration_cast<std::chrono::microseconds>(remaining)
             .count()));
  const std::shared_ptr<Cancellation> gate_cancellation =
      std::make_shared<Cancellation>();
  const CancellationScope scope(
      cancellation, [this, cancellation, gate_cancellation] {
        asio::post(this->gate_context,
                   [gate_cancellation, cause = cancellation->Cause()] {
                     gate_cancellation->Cancel(cause);
                   });
      });
  protocol::CallReply reply = co_await asio::co_spawn(
      this->gate_context,
      this->local_gate(std::move(request), gate_cancellation),
      asio::use_awaitable);
  co_return reply;
}

void GateRouter::Close() {
  for (const auto& [address, client] : this->clients) {
    client->Close();
  }
}

std::uint64_t GateRouter::UnmatchedReplies() const {
  std::uint64_t sum = 0;
  for (const auto& [address, client] : this->clients) {
    sum += client->UnmatchedReplies();
  }
  return sum;
}

}  // namespace daisywinch
