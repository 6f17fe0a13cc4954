#include "state/cold_rate_limiter.h"

#include <algorithm>
#include <cmath>

namespace daisywinch {

namespace {

/// Length of the sliding window: one second, for which the limit is specified,
/// plus a margin for the network path to the target, which may bring two
/// requests closer together.
constexpr std::chrono::milliseconds kWindow{1050};

}  // namespace

void ColdRateLimiter::SetRate(double requests_per_second) {
  this->rate = requests_per_second;
}

bool ColdRateLimiter::CanSend(TimePoint now) {
  this->RemoveExpired(now);
  return this->rate <= 0 || static_cast<double>(this->send_times.size()) <
                                std::max(1.0, std::floor(this->rate));
}

void ColdRateLimiter::RecordSent(TimePoint now) {
  this->RemoveExpired(now);
  this->send_times.push_back(now);
}

std::optional<TimePoint> ColdRateLimiter::NextSendTime(TimePoint now) {
  if (this->CanSend(now)) {
    return std::nullopt;
  }
  const std::size_t max_requests =
      static_cast<std::size_t>(std::max(1.0, std::floor(this->rate)));
  return this->send_times[this->send_times.size() - max_requests] + kWindow;
}

void ColdRateLimiter::RemoveExpired(TimePoint now) {
  while (!this->send_times.empty() &&
         now - this->send_times.front() >= kWindow) {
    this->send_times.pop_front();
  }
}

}  // namespace daisywinch
