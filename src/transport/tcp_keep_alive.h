#ifndef DAISYWINCH_TRANSPORT_TCP_KEEP_ALIVE_H
#define DAISYWINCH_TRANSPORT_TCP_KEEP_ALIVE_H

#include "transport/asio.h"

namespace daisywinch {

/// Ends a connection whose other side no longer answers within about three
/// seconds, by keep-alive probes and a limit on unacknowledged data.
void EnableTcpKeepAlive(Tcp::socket& socket);

}  // namespace daisywinch

#endif  // DAISYWINCH_TRANSPORT_TCP_KEEP_ALIVE_H
