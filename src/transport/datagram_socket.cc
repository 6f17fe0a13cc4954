#include "transport/datagram_socket.h"

#include <utility>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace daisywinch {

namespace {

constexpr std::chrono::milliseconds kReceiveRetryDelay{50};

}  // namespace

DatagramSocket::DatagramSocket(asio::io_context& context, Receiver receiver)
    : context(context), receiver(std::move(receiver)), socket(context) {}

ErrorCode DatagramSocket::Listen(const Address& address) {
  ErrorCode error;
  const Udp::endpoint endpoint(asio::ip::make_address(address.ip),
                               address.port);
  this->socket.open(endpoint.protocol(), error);
  if (!error) {
    this->socket.bind(endpoint, error);
  }
  if (!error) {
    this->socket.non_blocking(true, error);
  }
  if (!error) {
    asio::co_spawn(this->context, this->Receive(), asio::detached);
  }
  return error;
}

void DatagramSocket::Send(const Address& address, const std::string& content) {
  const Udp::endpoint endpoint(asio::ip::make_address(address.ip),
                               address.port);
  ErrorCode error;
  this->socket.send_to(asio::buffer(content), endpoint, 0, error);
  if (error) {
    ++this->dropped_count;
  } else {
    this->sent_bytes += content.size();
  }
}

Awaitable<> DatagramSocket::Receive() {
  while (true) {
    Udp::endpoint sender;
    ErrorCode error;
    const std::size_t count = co_await this->socket.async_receive_from(
        asio::buffer(this->buffer), sender, Await(error));
    if (error) {
      // An ICMP error caused by a peer's closed port is reported here. The
      // socket remains usable.
      Timer timer(this->context, kReceiveRetryDelay);
      co_await timer.async_wait(Await(error));
      continue;
    }
    this->receiver(sender.address().to_string(),
                   std::string_view(this->buffer.data(), count));
  }
}

}  // namespace daisywinch
