#ifndef DAISYWINCH_NODE_SHUTDOWN_H
#define DAISYWINCH_NODE_SHUTDOWN_H

#include <functional>
#include <string>

#include "state/clock.h"
#include "transport/asio.h"

namespace daisywinch {

/// Part of the time until the deadline of a shutdown that is left to the caller
/// server after the wait for the gate's calls.
inline constexpr std::chrono::milliseconds kCallerShutdownTime{300};

/// Returns when `is_busy` returns false, or at the deadline. The predicate is
/// called on the thread of the context.
Awaitable<> WaitWhileBusy(asio::io_context& context,
                          std::function<bool()> is_busy,
                          TimePoint deadline);

/// Logs that a node has shut down, and how many calls to its gate and requests
/// to its ingress were interrupted by the timeout.
void LogShutdownEnd(const std::string& vm, int calls, int requests);

}  // namespace daisywinch

#endif  // DAISYWINCH_NODE_SHUTDOWN_H
