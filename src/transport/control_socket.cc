#include "transport/control_socket.h"

#include <utility>

#include <nng/protocol/pipeline0/pull.h>
#include <nng/protocol/pipeline0/push.h>
#include <boost/asio/post.hpp>

namespace daisywinch {

namespace {

constexpr std::size_t kMaxMessageBytes = 2 * 1024 * 1024;
constexpr int kSendBufferMessages = 64;
constexpr std::chrono::seconds kIdleTimeout{30};
constexpr nng_duration kMinReconnectMs = 50;
constexpr nng_duration kMaxReconnectMs = 500;

std::string Url(const Address& address) {
  return "tcp://" + address.ToString();
}

}  // namespace

ControlSocket::ControlSocket(asio::io_context& context,
                             const Clock& clock,
                             Receiver receiver)
    : context(context), clock(clock), receiver(std::move(receiver)) {}

ControlSocket::~ControlSocket() {
  if (this->receive_aio != nullptr) {
    nng_aio_stop(this->receive_aio);
    nng_close(this->pull_socket);
    nng_aio_free(this->receive_aio);
  }
  for (const auto& [address, connection] : this->connections) {
    nng_close(connection.socket);
  }
}

bool ControlSocket::Listen(const Address& address) {
  int error = nng_pull0_open(&this->pull_socket);
  if (error == 0) {
    error = nng_aio_alloc(&this->receive_aio, &ControlSocket::OnReceive, this);
  }
  if (error == 0) {
    error = nng_socket_set_size(this->pull_socket, NNG_OPT_RECVMAXSZ,
                                kMaxMessageBytes);
  }
  if (error == 0) {
    error = nng_listen(this->pull_socket, Url(address).c_str(), nullptr, 0);
  }
  if (error != 0) {
    this->last_error = nng_strerror(error);
    return false;
  }
  nng_recv_aio(this->pull_socket, this->receive_aio);
  return true;
}

void ControlSocket::OnReceive(void* self_pointer) {
  ControlSocket* self = static_cast<ControlSocket*>(self_pointer);
  const int error = nng_aio_result(self->receive_aio);
  if (error == NNG_ECANCELED || error == NNG_ECLOSED) {
    return;
  }
  if (error == 0) {
    nng_msg* message = nng_aio_get_msg(self->receive_aio);
    std::string bytes(static_cast<const char*>(nng_msg_body(message)),
                      nng_msg_len(message));
    nng_msg_free(message);
    asio::post(self->context, [self, received = std::move(bytes)]() mutable {
      self->receiver(std::move(received));
    });
  }
  nng_recv_aio(self->pull_socket, self->receive_aio);
}

void ControlSocket::Send(const Address& address, const std::string& message) {
  Connection* connection = this->FindOrConnect(address);
  if (connection == nullptr) {
    return;
  }
  connection->last_used_at = this->clock.Now();
  // nng_send() does not modify the buffer. Its parameter is not const because
  // of NNG_FLAG_ALLOC, which transfers ownership and is not used here.
  const int error =
      nng_send(connection->socket, const_cast<char*>(message.data()),
               message.size(), NNG_FLAG_NONBLOCK);
  if (error == 0) {
    this->sent_bytes += message.size();
    ++this->sent_messages;
  }
}

ControlSocket::Connection* ControlSocket::FindOrConnect(
    const Address& address) {
  const std::string name = address.ToString();
  const auto found = this->connections.find(name);
  if (found != this->connections.end()) {
    return &found->second;
  }
  nng_socket socket = NNG_SOCKET_INITIALIZER;
  if (nng_push0_open(&socket) != 0) {
    return nullptr;
  }
  nng_socket_set_int(socket, NNG_OPT_SENDBUF, kSendBufferMessages);
  nng_socket_set_ms(socket, NNG_OPT_RECONNMINT, kMinReconnectMs);
  nng_socket_set_ms(socket, NNG_OPT_RECONNMAXT, kMaxReconnectMs);
  if (nng_dial(socket, Url(address).c_str(), nullptr, NNG_FLAG_NONBLOCK) != 0) {
    nng_close(socket);
    return nullptr;
  }
  return &this->connections.emplace(name, Connection{socket, TimePoint()})
              .first->second;
}

void ControlSocket::CloseAllExcept(const std::set<std::string>& addresses) {
  std::erase_if(this->connections, [&addresses](const auto& connection) {
    if (addresses.contains(connection.first)) {
      return false;
    }
    nng_close(connection.second.socket);
    return true;
  });
}

void ControlSocket::CloseIdleConnections() {
  const TimePoint cutoff = this->clock.Now() - kIdleTimeout;
  std::erase_if(this->connections, [cutoff](const auto& connection) {
    if (connection.second.last_used_at >= cutoff) {
      return false;
    }
    nng_close(connection.second.socket);
    return true;
  });
}

}  // namespace daisywinch
