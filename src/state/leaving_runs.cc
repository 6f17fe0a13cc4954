#include "state/leaving_runs.h"

namespace daisywinch {

namespace {

/// Interval between calls that ask a gate whether a run has ended. Bounds the
/// time for which a restarted target stays unused while the store is away.
constexpr std::chrono::seconds kCheckInterval{5};
/// Maximum number of runs that are remembered, several times the number of
/// targets of a large fleet.
constexpr std::size_t kMaxRuns = 4096;

}  // namespace

bool LeavingRuns::RecordLeaving(const std::string& target_id,
                                std::int64_t born,
                                TimePoint now) {
  const auto [entry, is_new] = this->runs.try_emplace(target_id);
  Run& run = entry->second;
  if (!is_new && born < run.born) {
    return false;
  }
  const bool is_news = is_new || born > run.born;
  run = {born, now + kCheckInterval};
  if (is_new) {
    this->order.push_back(target_id);
  }
  if (this->runs.size() > kMaxRuns) {
    this->runs.erase(this->order.front());
    this->order.pop_front();
  }
  return is_news;
}

bool LeavingRuns::RecordEnd(const std::string& target_id, std::int64_t born) {
  const auto found = this->runs.find(target_id);
  if (found == this->runs.end() || found->second.born > born) {
    return false;
  }
  this->runs.erase(found);
  std::erase(this->order, target_id);
  return true;
}

bool LeavingRuns::IsLeaving(const MeshTarget& target) const {
  const auto found = this->runs.find(target.id);
  return found != this->runs.end() && target.born <= found->second.born;
}

bool LeavingRuns::IsCheckDue(const MeshTarget& target, TimePoint now) const {
  const auto found = this->runs.find(target.id);
  return found != this->runs.end() && now >= found->second.check_due_at;
}

void LeavingRuns::RecordCheck(const MeshTarget& target, TimePoint now) {
  const auto found = this->runs.find(target.id);
  if (found != this->runs.end()) {
    found->second.check_due_at = now + kCheckInterval;
  }
}

}  // namespace daisywinch
