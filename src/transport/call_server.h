#ifndef DAISYWINCH_TRANSPORT_CALL_SERVER_H
#define DAISYWINCH_TRANSPORT_CALL_SERVER_H

#include <atomic>
#include <cstdint>
#include <functional>
#include <list>
#include <memory>
#include <unordered_map>

#include "transport/cancellation.h"
#include "transport/frame_stream.h"

namespace daisywinch {

/// Takes calls from the entries of other nodes.
class CallServer {
 public:
  /// Answers one call; the cancellation fires when the entry gives up.
  using Handler = std::function<Awaitable<protocol::CallReply>(
      protocol::CallRequest,
      std::shared_ptr<Cancellation>)>;

  CallServer(asio::io_context& context,
             asio::ssl::context* tls,
             std::size_t size_limit,
             Handler handler);

  /// Starts to listen; returns the error if the address cannot be used.
  ErrorCode Listen(const Address& address);

  /// Takes no new connections; the open ones stay for their replies.
  void StopAccepting();
  void CloseConnections();

  /// Calls whose reply has not been written yet. Safe from any thread.
  int CallsInProgress() const { return this->calls_in_progress; }

  /// Connections that did not prove the fleet's secret.
  std::uint64_t RejectedConnections() const {
    return this->rejected_connections;
  }

 private:
  /// A connection with the calls in progress on it.
  struct Connection {
    std::shared_ptr<FrameStream> stream;
    std::unordered_map<std::uint64_t, std::shared_ptr<Cancellation>> calls;
  };

  Awaitable<> Accept();
  Awaitable<> Serve(std::shared_ptr<Connection> connection);
  Awaitable<> HandleCall(std::shared_ptr<Connection> connection,
                         protocol::CallRequest request);

  asio::io_context& context;
  asio::ssl::context* tls;
  std::size_t size_limit;
  Handler handler;
  Tcp::acceptor acceptor;
  std::list<std::shared_ptr<Connection>> connections;
  std::atomic<int> calls_in_progress = 0;
  std::uint64_t rejected_connections = 0;
};

}  // namespace daisywinch

#endif  // DAISYWINCH_TRANSPORT_CALL_SERVER_H
