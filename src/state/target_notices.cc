#include "state/target_notices.h"

#include <algorithm>

namespace daisywinch {

namespace {

/// Time without a response after which a target that made a statement is
/// checked.
constexpr std::chrono::seconds kCheckInterval{1};

}  // namespace

void TargetNotices::UpdateRecord(const MeshTarget& record) {
  if (record.id == this->id && record.born == this->born) {
    return;
  }
  *this = TargetNotices();
  this->id = record.id;
  this->born = record.born;
}

void TargetNotices::Record(const TargetNotice& notice,
                           bool is_genuine,
                           TimePoint sent_at,
                           TimePoint now) {
  this->last_response_at = now;
  if (notice.max_rate) {
    this->max_rate = notice.max_rate;
    this->max_rate_stated_at = now;
  } else if (sent_at >= this->max_rate_stated_at) {
    this->max_rate.reset();
  }
  if (notice.is_leaving) {
    this->is_leaving = true;
    this->leaving_stated_at = now;
  } else if (this->is_leaving && is_genuine &&
             this->possible_restart_at >= this->leaving_stated_at &&
             sent_at >= this->possible_restart_at) {
    this->is_leaving = false;
    this->has_run_ended = true;
  }
}

void TargetNotices::RecordReport(std::int64_t run_born, TimePoint now) {
  const bool has_ended =
      run_born < this->born || (run_born == this->born && this->has_run_ended);
  if (has_ended || this->is_leaving) {
    return;
  }
  this->is_leaving = true;
  this->leaving_stated_at = now;
}

void TargetNotices::RecordPossibleRestart(TimePoint now) {
  this->possible_restart_at =
      std::max(now, this->possible_restart_at.value_or(now));
}

bool TargetNotices::NeedsCheck(TimePoint now) const {
  return (this->max_rate || this->is_leaving) &&
         now - this->last_response_at >= kCheckInterval;
}

}  // namespace daisywinch
