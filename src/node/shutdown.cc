#include "node/shutdown.h"

#include <utility>

#include "state/event_log.h"

namespace daisywinch {

namespace {

constexpr std::chrono::milliseconds kCheckInterval{20};

}  // namespace

Awaitable<> WaitWhileBusy(asio::io_context& context,
                          std::function<bool()> is_busy,
                          TimePoint deadline) {
  ErrorCode ignored;
  while (is_busy() && BootTime::now() < deadline) {
    Timer timer(context, kCheckInterval);
    co_await timer.async_wait(Await(ignored));
  }
}

void LogShutdownEnd(const std::string& vm, int calls, int requests) {
  if (calls > 0 || requests > 0) {
    LogEvent(EventId::kShutdownTimedOut,
             {{"calls", static_cast<std::uint64_t>(calls)},
              {"requests", static_cast<std::uint64_t>(requests)}});
  }
  LogEvent(EventId::kShutdownFinished, {{"vm", vm}});
}

}  // namespace daisywinch
