#include "transport/control_socket.h"

#include <utility>

#include <nng/protocol/pipeline0/pull.h>
#include <nng/protocol/pipeline0/push.h>
#include <boost/asio/post.hpp>

namespace daisywinch {

namespace {

constexpr std::size_t kMessageLimit = 2 * 1024 * 1024;
constexpr int kSendBuffer = 64;
constexpr std::chrono::seconds kUnusedTime{30};
constexpr nng_duration kShortestReconnectMs = 50;
constexpr nng_duration kLongestReconnectMs = 500;

std::string Url(const Address& address) {
  return "tcp://" + address.ToString();
}

}  // namespace

ControlSocket::ControlSocket(asio::io_context& context,
                             const Clock& clock,
                             Receiver receiver)
    : context(context), clock(clock), receiver(std::move(receiver)) {}

ControlSocket::~ControlSocket() {
  if (this->receive != nullptr) {
    nng_aio_stop(this->receive);
    nng_close(this->pull);
    nng_aio_free(this->receive);
  }
  for (const auto& [address, push] : this->pushes) {
    nng_close(push.socket);
  }
}

bool ControlSocket::Listen(const Address& address) {
  int error = nng_pull0_open(&this->pull);
  if (error == 0) {
    error = nng_aio_alloc(&this->receive, &ControlSocket::OnReceive, this);
  }
  if (error == 0) {
    error = nng_socket_set_size(this->pull, NNG_OPT_RECVMAXSZ, kMessageLimit);
  }
  if (error == 0) {
    error = nng_listen(this->pull, Url(address).c_str(), nullptr, 0);
  }
  if (error != 0) {
    this->last_reason = nng_strerror(error);
    return false;
  }
  nng_recv_aio(this->pull, this->receive);
  return true;
}

void ControlSocket::OnReceive(void* self_pointer) {
  ControlSocket* self = static_cast<ControlSocket*>(self_pointer);
  const int error = nng_aio_result(self->receive);
  if (error == NNG_ECANCELED || error == NNG_ECLOSED) {
    return;
  }
  if (error == 0) {
    nng_msg* message = nng_aio_get_msg(self->receive);
    std::string bytes(static_cast<const char*>(nng_msg_body(message)),
                      nng_msg_len(message));
    nng_msg_free(message);
    asio::post(self->context, [self, received = std::move(bytes)]() mutable {
      self->receiver(std::move(received));
    });
  }
  nng_recv_aio(self->pull, self->receive);
}

void ControlSocket::Send(const Address& address, const std::string& message) {
  Push* push = this->FindOrDial(address);
  if (push == nullptr) {
    return;
  }
  push->used_at = this->clock.Now();
  // nng does not change the bytes; its parameter is not const for the flag
  // that hands over ownership.
  const int error = nng_send(push->socket, const_cast<char*>(message.data()),
                             message.size(), NNG_FLAG_NONBLOCK);
  if (error == 0) {
    this->sent_bytes += message.size();
    ++this->sent_messages;
  }
}

ControlSocket::Push* ControlSocket::FindOrDial(const Address& address) {
  const std::string name = address.ToString();
  const auto found = this->pushes.find(name);
  if (found != this->pushes.end()) {
    return &found->second;
  }
  nng_socket socket = NNG_SOCKET_INITIALIZER;
  if (nng_push0_open(&socket) != 0) {
    return nullptr;
  }
  nng_socket_set_int(socket, NNG_OPT_SENDBUF, kSendBuffer);
  nng_socket_set_ms(socket, NNG_OPT_RECONNMINT, kShortestReconnectMs);
  nng_socket_set_ms(socket, NNG_OPT_RECONNMAXT, kLongestReconnectMs);
  if (nng_dial(socket, Url(address).c_str(), nullptr, NNG_FLAG_NONBLOCK) != 0) {
    nng_close(socket);
    return nullptr;
  }
  return &this->pushes.emplace(name, Push{socket, TimePoint()}).first->second;
}

void ControlSocket::KeepOnly(const std::set<std::string>& addresses) {
  std::erase_if(this->pushes, [&addresses](const auto& push) {
    if (addresses.contains(push.first)) {
      return false;
    }
    nng_close(push.second.socket);
    return true;
  });
}

void ControlSocket::CloseUnused() {
  const TimePoint oldest = this->clock.Now() - kUnusedTime;
  std::erase_if(this->pushes, [oldest](const auto& push) {
    if (push.second.used_at >= oldest) {
      return false;
    }
    nng_close(push.second.socket);
    return true;
  });
}

}  // namespace daisywinch
