#include "state/cold_state_tracker.h"

#include <algorithm>

namespace daisywinch {

void ColdStateTracker::UpdateRecord(const MeshTarget& record, TimePoint now) {
  const bool is_new_run = record.id != this->id || record.born != this->born;
  if (is_new_run) {
    this->id = record.id;
    this->born = record.born;
    this->is_known = false;
    this->needs_check = true;
  }
  const bool has_become_cold = record.cold_left > Duration::zero() &&
                               record.cold_left != this->record_cold_left;
  this->record_cold_left = record.cold_left;
  if (has_become_cold) {
    this->cold_until = std::max(this->cold_until, now + record.cold_left);
    this->needs_check = true;
  }
}

void ColdStateTracker::RecordHealth(Duration cold_left, TimePoint now) {
  this->is_known = true;
  this->needs_check = false;
  this->cold_until = now + cold_left;
}

void ColdStateTracker::RecordPossibleRestart(TimePoint /*now*/) {
  this->is_known = false;
  this->needs_check = true;
}

bool ColdStateTracker::IsCold(TimePoint now) const {
  return !this->is_known || now < this->cold_until;
}

std::optional<TimePoint> ColdStateTracker::ColdUntil() const {
  return this->is_known ? std::optional<TimePoint>(this->cold_until)
                        : std::nullopt;
}

}  // namespace daisywinch
