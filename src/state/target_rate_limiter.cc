#include "state/target_rate_limiter.h"

#include <algorithm>
#include <cmath>

namespace daisywinch {

namespace {

/// Factor by which the window is longer than the time for which the limit is
/// specified. It is a margin for the network path to the target, which may
/// bring two requests closer together.
constexpr double kWindowMargin = 1.05;
/// Minimum time for which sent requests are remembered.
constexpr std::chrono::milliseconds kMinMemory{1050};
/// Rates below this, in requests per second, are regarded as 0.
constexpr double kMinRate = 0.01;
/// Delay for a target that accepts no requests: the time after which it should
/// be asked for its rate again.
constexpr std::chrono::seconds kNoRequestsDelay{1};

}  // namespace

void TargetRateLimiter::SetRate(std::optional<double> requests_per_second) {
  this->rate = requests_per_second;
}

std::size_t TargetRateLimiter::MaxRequests() const {
  if (*this->rate < kMinRate) {
    return 0;
  }
  return static_cast<std::size_t>(std::ceil(*this->rate));
}

Duration TargetRateLimiter::Window() const {
  if (!this->rate || *this->rate < kMinRate) {
    return kMinMemory;
  }
  return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(
      kWindowMargin * static_cast<double>(this->MaxRequests()) / *this->rate));
}

std::size_t TargetRateLimiter::SentInWindow(TimePoint now) const {
  const auto first = std::upper_bound(
      this->send_times.begin(), this->send_times.end(), now - this->Window());
  return static_cast<std::size_t>(this->send_times.end() - first);
}

bool TargetRateLimiter::CanSend(TimePoint now) {
  return !this->rate || this->SentInWindow(now) < this->MaxRequests();
}

void TargetRateLimiter::RecordSent(TimePoint now) {
  this->RemoveExpired(now);
  this->send_times.push_back(now);
}

Duration TargetRateLimiter::SendDelay(std::size_t waiting, TimePoint now) {
  if (!this->rate) {
    return Duration::zero();
  }
  const std::size_t max_requests = this->MaxRequests();
  if (max_requests == 0) {
    return kNoRequestsDelay;
  }
  const std::size_t sent = this->SentInWindow(now);
  if (sent + waiting < max_requests) {
    return Duration::zero();
  }
  // A request is sent when the one that is `max_requests` before it leaves the
  // window. Goes back in these steps to a request that was already sent, or to
  // one that can be sent now.
  std::size_t predecessor = sent + waiting - max_requests;
  int windows = 1;
  while (predecessor >= sent && predecessor >= max_requests) {
    predecessor -= max_requests;
    ++windows;
  }
  const TimePoint predecessor_at =
      predecessor < sent
          ? this->send_times[this->send_times.size() - sent + predecessor]
          : now;
  return std::max(Duration::zero(),
                  predecessor_at + windows * this->Window() - now);
}

void TargetRateLimiter::RemoveExpired(TimePoint now) {
  const Duration memory = std::max<Duration>(kMinMemory, this->Window());
  while (!this->send_times.empty() &&
         now - this->send_times.front() >= memory) {
    this->send_times.pop_front();
  }
}

}  // namespace daisywinch
