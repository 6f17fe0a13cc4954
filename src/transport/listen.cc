#include "transport/listen.h"

namespace daisywinch {

ErrorCode ListenOn(Tcp::acceptor& acceptor, const Address& address) {
  ErrorCode error;
  const Tcp::endpoint endpoint = ToEndpoint(address);
  acceptor.open(endpoint.protocol(), error);
  if (error) {
    return error;
  }
  acceptor.set_option(Tcp::acceptor::reuse_address(true), error);
  acceptor.bind(endpoint, error);
  if (!error) {
    acceptor.listen(asio::socket_base::max_listen_connections, error);
  }
  if (error) {
    ErrorCode ignored;
    acceptor.close(ignored);
  }
  return error;
}

}  // namespace daisywinch
