#ifndef DAISYWINCH_TRANSPORT_DATAGRAM_SOCKET_H
#define DAISYWINCH_TRANSPORT_DATAGRAM_SOCKET_H

#include <array>
#include <cstdint>
#include <functional>
#include <string>
#include <string_view>

#include <boost/asio/ip/udp.hpp>

#include "transport/asio.h"

namespace daisywinch {

/// Sends and receives UDP datagrams.
///
/// Never blocks: a datagram that cannot be sent at once is dropped and counted,
/// since the next periodic update supersedes it.
class DatagramSocket {
 public:
  /// Called with the sender's IP address and the payload.
  using Receiver =
      std::function<void(const std::string& ip, std::string_view content)>;

  DatagramSocket(asio::io_context& context, Receiver receiver);

  /// Binds the socket and starts to receive. Returns the error if the address
  /// cannot be bound.
  ErrorCode Listen(const Address& address);
  void Send(const Address& address, const std::string& content);

  std::uint64_t SentBytes() const { return this->sent_bytes; }
  std::uint64_t DroppedCount() const { return this->dropped_count; }

 private:
  using Udp = asio::ip::udp;

  Awaitable<> Receive();

  asio::io_context& context;
  Receiver receiver;
  Udp::socket socket;
  std::array<char, 64 * 1024> buffer = {};
  std::uint64_t sent_bytes = 0;
  std::uint64_t dropped_count = 0;
};

}  // namespace daisywinch

#endif  // DAISYWINCH_TRANSPORT_DATAGRAM_SOCKET_H
