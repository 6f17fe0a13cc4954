#include "state/target_temperature.h"

#include <algorithm>

namespace daisywinch {

void TargetTemperature::TakeEntry(const MeshTarget& entry, TimePoint now) {
  const bool is_other_run = entry.id != this->id || entry.born != this->born;
  if (is_other_run) {
    this->id = entry.id;
    this->born = entry.born;
    this->is_known = false;
    this->wants_check = true;
  }
  const bool has_turned_cold = entry.cold_left > Duration::zero() &&
                               entry.cold_left != this->entry_cold_left;
  this->entry_cold_left = entry.cold_left;
  if (has_turned_cold) {
    this->cold_until = std::max(this->cold_until, now + entry.cold_left);
    this->wants_check = true;
  }
}

void TargetTemperature::TakeHealth(Duration cold_left, TimePoint now) {
  this->is_known = true;
  this->wants_check = false;
  this->cold_until = now + cold_left;
}

void TargetTemperature::TakeRestartSign(TimePoint /*now*/) {
  this->is_known = false;
  this->wants_check = true;
}

bool TargetTemperature::IsCold(TimePoint now) const {
  return !this->is_known || now < this->cold_until;
}

std::optional<TimePoint> TargetTemperature::ColdUntil() const {
  return this->is_known ? std::optional<TimePoint>(this->cold_until)
                        : std::nullopt;
}

}  // namespace daisywinch
