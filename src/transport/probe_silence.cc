#include "transport/probe_silence.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace daisywinch {

namespace {

/// Seconds without data after which the first probe is sent.
constexpr int kIdleSeconds = 1;
constexpr int kProbeIntervalSeconds = 1;
constexpr int kProbeCount = 2;
/// Milliseconds that sent data may stay unacknowledged.
constexpr int kUserTimeoutMilliseconds = 2500;

}  // namespace

void ProbeSilence(Tcp::socket& socket) {
  const int handle = socket.native_handle();
  const int on = 1;
  // A connection without these options works too; it only ends later.
  ::setsockopt(handle, SOL_SOCKET, SO_KEEPALIVE, &on, sizeof(on));
  ::setsockopt(handle, IPPROTO_TCP, TCP_KEEPIDLE, &kIdleSeconds,
               sizeof(kIdleSeconds));
  ::setsockopt(handle, IPPROTO_TCP, TCP_KEEPINTVL, &kProbeIntervalSeconds,
               sizeof(kProbeIntervalSeconds));
  ::setsockopt(handle, IPPROTO_TCP, TCP_KEEPCNT, &kProbeCount,
               sizeof(kProbeCount));
  ::setsockopt(handle, IPPROTO_TCP, TCP_USER_TIMEOUT, &kUserTimeoutMilliseconds,
               sizeof(kUserTimeoutMilliseconds));
}

}  // namespace daisywinch
