#include "state/crash_detector.h"

#include <algorithm>

namespace daisywinch {

namespace {

/// Maximum time between a lost response and a sign that the process has ended.
constexpr std::chrono::seconds kMaxDelay{2};
/// Maximum number of requests that are reported of one crash; the ones that
/// were sent last are kept.
constexpr std::size_t kMaxRequests = 64;

}  // namespace

void CrashDetector::RecordLostResponse(RequestDigest digest,
                                       TimePoint sent_at,
                                       TimePoint now) {
  const bool is_of_last_crash = this->taken_at && sent_at <= *this->taken_at;
  if (digest != 0 && !is_of_last_crash) {
    this->lost_responses.push_back({digest, sent_at, now});
  }
}

bool CrashDetector::UpdateRecord(const MeshTarget& record, TimePoint now) {
  const bool is_new_run = record.id != this->id || record.born != this->born;
  const bool is_first = this->born == -1;
  this->id = record.id;
  this->born = record.born;
  return is_new_run && !is_first && this->RecordProcessEnd(now);
}

bool CrashDetector::RecordProcessEnd(TimePoint now) {
  this->RemoveOld(now);
  if (this->is_recognized || this->lost_responses.empty()) {
    return false;
  }
  this->is_recognized = true;
  return true;
}

std::set<RequestDigest> CrashDetector::TakeCrash(TimePoint now) {
  std::sort(this->lost_responses.begin(), this->lost_responses.end(),
            [](const LostResponse& left, const LostResponse& right) {
              return left.sent_at > right.sent_at;
            });
  std::set<RequestDigest> running;
  for (const LostResponse& response : this->lost_responses) {
    if (running.size() < kMaxRequests) {
      running.insert(response.digest);
    }
  }
  this->lost_responses.clear();
  this->is_recognized = false;
  this->taken_at = now;
  return running;
}

void CrashDetector::RemoveOld(TimePoint now) {
  std::erase_if(this->lost_responses, [now](const LostResponse& response) {
    return now - response.lost_at > kMaxDelay;
  });
}

}  // namespace daisywinch
