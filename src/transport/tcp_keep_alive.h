#ifndef DAISYWINCH_TRANSPORT_TCP_KEEP_ALIVE_H
#define DAISYWINCH_TRANSPORT_TCP_KEEP_ALIVE_H

#include "transport/asio.h"

namespace daisywinch {

/// Makes the kernel close a connection within about three seconds after its
/// peer stops responding, by keep-alive probes (TCP_KEEPIDLE, TCP_KEEPINTVL,
/// TCP_KEEPCNT) and a limit on unacknowledged data (TCP_USER_TIMEOUT).
void EnableTcpKeepAlive(Tcp::socket& socket);

}  // namespace daisywinch

#endif  // DAISYWINCH_TRANSPORT_TCP_KEEP_ALIVE_H
