#include "transport/tcp_keep_alive.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace daisywinch {

namespace {

/// Idle time after which the first probe is sent.
constexpr int kKeepAliveIdleSeconds = 1;
constexpr int kKeepAliveIntervalSeconds = 1;
constexpr int kKeepAliveProbeCount = 2;
/// Maximum time that sent data may remain unacknowledged.
constexpr int kUnacknowledgedDataTimeoutMs = 2500;

}  // namespace

void EnableTcpKeepAlive(Tcp::socket& socket) {
  const int handle = socket.native_handle();
  const int on = 1;
  // Errors are ignored: without these options a dead peer is detected later,
  // but the connection works.
  ::setsockopt(handle, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof(on));
  ::setsockopt(handle, IPPROTO_TCP, TCP_KEEPIDLE, &kKeepAliveIdleSeconds,
               sizeof(kKeepAliveIdleSeconds));
  ::setsockopt(handle, IPPROTO_TCP, TCP_KEEPINTVL, &kKeepAliveIntervalSeconds,
               sizeof(kKeepAliveIntervalSeconds));
  ::setsockopt(handle, IPPROTO_TCP, TCP_KEEPCNT, &kKeepAliveProbeCount,
               sizeof(kKeepAliveProbeCount));
  ::setsockopt(handle, IPPROTO_TCP, TCP_USER_TIMEOUT,
               &kUnacknowledgedDataTimeoutMs,
               sizeof(kUnacknowledgedDataTimeoutMs));
}

}  // namespace daisywinch
