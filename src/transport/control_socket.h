#ifndef DAISYWINCH_TRANSPORT_CONTROL_SOCKET_H
#define DAISYWINCH_TRANSPORT_CONTROL_SOCKET_H

#include <cstdint>
#include <functional>
#include <map>
#include <set>
#include <string>

#include <nng/nng.h>

#include "transport/asio.h"

namespace daisywinch {

/// Sends and receives control messages between nodes over nng's push and pull
/// sockets.
///
/// Messages go one way, without acknowledgement or retransmission: a message
/// that cannot be queued at once is dropped. The receiver is called on the
/// context's thread.
class ControlSocket {
 public:
  using Receiver = std::function<void(std::string message)>;

  ControlSocket(asio::io_context& context,
                const Clock& clock,
                Receiver receiver);
  ~ControlSocket();
  ControlSocket(const ControlSocket&) = delete;
  ControlSocket& operator=(const ControlSocket&) = delete;

  /// Starts to listen. Returns false on failure; see LastError().
  bool Listen(const Address& address);
  const std::string& LastError() const { return this->last_error; }

  void Send(const Address& address, const std::string& message);
  /// Closes the connections to all addresses that are not in the set.
  void CloseAllExcept(const std::set<std::string>& addresses);
  /// Closes the connections on which nothing was sent for 30 seconds.
  void CloseIdleConnections();
  std::size_t ConnectionCount() const { return this->connections.size(); }

  std::uint64_t SentBytes() const { return this->sent_bytes; }
  std::uint64_t SentMessages() const { return this->sent_messages; }

 private:
  /// A push socket that is connected to one peer.
  struct Connection {
    nng_socket socket = NNG_SOCKET_INITIALIZER;
    TimePoint last_used_at;
  };

  static void OnReceive(void* self);
  Connection* FindOrConnect(const Address& address);

  asio::io_context& context;
  const Clock& clock;
  Receiver receiver;
  nng_socket pull_socket = NNG_SOCKET_INITIALIZER;
  nng_aio* receive_aio = nullptr;
  std::map<std::string, Connection> connections;
  std::uint64_t sent_bytes = 0;
  std::uint64_t sent_messages = 0;
  std::string last_error;
};

}  // namespace daisywinch

#endif  // DAISYWINCH_TRANSPORT_CONTROL_SOCKET_H
