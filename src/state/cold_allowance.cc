#include "state/cold_allowance.h"

#include <algorithm>
#include <cmath>

namespace daisywinch {

namespace {

/// The span that the allowance is stated for, with a little for the way to
/// the target, which may bring two requests closer together.
constexpr std::chrono::milliseconds kSpan{1050};

}  // namespace

void ColdAllowance::SetRate(double requests_per_second) {
  this->rate = requests_per_second;
}

bool ColdAllowance::HasRoom(TimePoint now) {
  this->Forget(now);
  return this->rate <= 0 || static_cast<double>(this->sent.size()) <
                                std::max(1.0, std::floor(this->rate));
}

void ColdAllowance::TakeSent(TimePoint now) {
  this->Forget(now);
  this->sent.push_back(now);
}

std::optional<TimePoint> ColdAllowance::NextRoom(TimePoint now) {
  if (this->HasRoom(now)) {
    return std::nullopt;
  }
  const std::size_t most =
      static_cast<std::size_t>(std::max(1.0, std::floor(this->rate)));
  return this->sent[this->sent.size() - most] + kSpan;
}

void ColdAllowance::Forget(TimePoint now) {
  while (!this->sent.empty() && now - this->sent.front() >= kSpan) {
    this->sent.pop_front();
  }
}

}  // namespace daisywinch
