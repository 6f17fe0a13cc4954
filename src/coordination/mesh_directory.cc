#include "coordination/mesh_directory.h"

#include <algorithm>
#include <utility>

namespace daisywinch {

namespace {

/// Time after an outage of the store in which targets register again whose
/// records expired during it. The platform specifies about two seconds, and
/// also that a target that has left gets no request two seconds later; the
/// difference covers the interval of the checks and the way to the target.
constexpr std::chrono::milliseconds kExpiryGrace{1800};

/// No record expires in a shorter outage: that takes three missed heartbeats at
/// intervals of at least one second, and a relay gets a response from the store
/// about once a second.
constexpr std::chrono::milliseconds kMinOutage{2000};

/// Time for which a record of an older copy is held back, or a missing
/// evacuation is kept. Longer than three missed heartbeats, after which the
/// record of a target that is gone expires, and than operators take to write
/// again what a restored store has lost.
constexpr std::chrono::seconds kHoldTime{10};

/// Bounds of the memory of removed targets. A copy is seconds old.
constexpr std::chrono::minutes kRemovalMemory{2};
constexpr std::size_t kMaxRemovals = 4096;

/// Deadline of a removal that arrives during an outage of the store.
constexpr TimePoint kUntilStoreReturns = TimePoint::max();

}  // namespace

bool MeshDirectory::ApplyConfiguration(
    std::shared_ptr<const MeshConfiguration> offered) {
  if (this->configuration &&
      offered->Version() <= this->configuration->Version()) {
    return false;
  }
  this->configuration = std::move(offered);
  return true;
}

void MeshDirectory::ApplyTarget(const MeshTarget& target,
                                const StorePosition& position) {
  this->targets[target.id] = target;
  this->reports[target.id] = {AgeOf(target), position};
  this->removed.erase(target.id);
  this->held.erase(target.id);
  this->pending_removals.erase(target.id);
}

bool MeshDirectory::ApplyListedTarget(const MeshTarget& target,
                                      const StorePosition& position,
                                      TimePoint now) {
  const auto removal = this->removed.find(target.id);
  const auto report = this->reports.find(target.id);
  const bool is_removed = removal != this->removed.end();
  if (!is_removed && report == this->reports.end()) {
    this->ApplyTarget(target, position);
    return true;
  }
  const TargetReport& last =
      is_removed ? removal->second.report : report->second;
  if (position.era <= last.position.era) {
    if (last.position < position) {
      this->ApplyTarget(target, position);
    }
    return !(position < last.position);
  }
  // Revisions don't compare with those of an earlier era, but the target's own
  // count goes on.
  const bool is_same = !is_removed && AgeOf(target) == last.age;
  if (last.age < AgeOf(target) || is_same) {
    this->ApplyTarget(target, position);
    return true;
  }
  if (is_removed) {
    this->HoldTarget(target, position, now);
    return false;
  }
  // The record exists, so the target isn't missing; what it will write again is
  // known already.
  this->pending_removals.erase(target.id);
  if (this->targets[target.id].leaving) {
    this->HoldTarget(target, position, now);
  }
  return false;
}

void MeshDirectory::HoldTarget(const MeshTarget& target,
                               const StorePosition& position,
                               TimePoint now) {
  const auto [entry, is_new] = this->held.try_emplace(
      target.id, HeldTarget{target, position, now + kHoldTime});
  if (!is_new) {
    entry->second.target = target;
    entry->second.position = position;
  }
}

void MeshDirectory::RemoveTarget(const std::string& id,
                                 const StorePosition& position,
                                 TimePoint now) {
  this->held.erase(id);
  this->RememberRemoval(id, position, now);
  this->RemoveOrDefer(id, now);
}

void MeshDirectory::RememberRemoval(const std::string& id,
                                    const StorePosition& position,
                                    TimePoint now) {
  const auto report = this->reports.find(id);
  const auto removal = this->removed.find(id);
  if (removal == this->removed.end() && report == this->reports.end()) {
    return;
  }
  const TargetAge age = removal != this->removed.end()
                            ? removal->second.report.age
                            : report->second.age;
  this->removed[id] = {{age, position}, now};
  this->removals.emplace_back(now, id);
  while (this->removals.size() > kMaxRemovals ||
         now - this->removals.front().first > kRemovalMemory) {
    const auto& [removed_at, removed_id] = this->removals.front();
    const auto found = this->removed.find(removed_id);
    if (found != this->removed.end() &&
        found->second.removed_at == removed_at) {
      this->removed.erase(found);
    }
    this->removals.pop_front();
  }
}

void MeshDirectory::RemoveOrDefer(const std::string& id, TimePoint now) {
  const bool may_reappear = this->is_store_unreachable ||
                            this->ExpiryGraceLeft(now) > Duration::zero();
  if (!may_reappear) {
    this->targets.erase(id);
    this->reports.erase(id);
    return;
  }
  if (this->targets.contains(id)) {
    this->pending_removals.emplace(id, this->is_store_unreachable
                                           ? kUntilStoreReturns
                                           : *this->expiry_grace_end);
  }
}

std::vector<std::string> MeshDirectory::RetainTargets(
    const std::set<std::string>& ids,
    const StorePosition& position,
    TimePoint now) {
  std::erase_if(this->held,
                [&](const auto& entry) { return !ids.contains(entry.first); });
  std::vector<std::string> missing;
  for (const auto& [id, report] : this->reports) {
    if (!ids.contains(id) && report.position < position) {
      missing.push_back(id);
    }
  }
  for (const std::string& id : missing) {
    if (this->reports[id].position.era == position.era) {
      this->RememberRemoval(id, position, now);
    }
    this->RemoveOrDefer(id, now);
  }
  return missing;
}

void MeshDirectory::SetEvacuated(const std::string& data_centre,
                                 bool is_evacuated,
                                 const StorePosition& position) {
  this->deferred_evacuations.erase(data_centre);
  EvacuationReport& report = this->evacuation_reports[data_centre];
  const bool is_unknown = report.position == StorePosition();
  report.is_evacuated = is_evacuated;
  report.position = position;
  if (is_evacuated || is_unknown) {
    report.written = position;
  }
  if (is_evacuated) {
    this->evacuated.insert(data_centre);
  } else {
    this->evacuated.erase(data_centre);
  }
}

void MeshDirectory::ReplaceEvacuated(
    const std::map<std::string, std::uint64_t>& record_revisions,
    const StorePosition& position,
    TimePoint now) {
  for (const auto& [data_centre, revision] : record_revisions) {
    this->ApplyListedEvacuation(data_centre, {position.era, revision}, now);
  }
  std::erase_if(this->deferred_evacuations, [&](const auto& entry) {
    return entry.second.is_evacuated && !record_revisions.contains(entry.first);
  });
  for (const std::string& data_centre : std::set(this->evacuated)) {
    const EvacuationReport& report = this->evacuation_reports[data_centre];
    if (record_revisions.contains(data_centre) || position < report.position) {
      continue;
    }
    if (report.position.era == position.era) {
      this->SetEvacuated(data_centre, false, position);
    } else {
      this->DeferEvacuation(data_centre, false, position, now);
    }
  }
}

void MeshDirectory::ApplyListedEvacuation(const std::string& data_centre,
                                          const StorePosition& written,
                                          TimePoint now) {
  const auto found = this->evacuation_reports.find(data_centre);
  if (found == this->evacuation_reports.end()) {
    this->SetEvacuated(data_centre, true, written);
    return;
  }
  const EvacuationReport& report = found->second;
  if (written.era <= report.position.era) {
    if (report.position < written) {
      this->SetEvacuated(data_centre, true, written);
    }
    return;
  }
  // A record that the copy holds has kept its revision, so a higher one was
  // written later.
  if (report.is_evacuated || written.revision > report.written.revision) {
    this->SetEvacuated(data_centre, true, written);
  } else {
    this->DeferEvacuation(data_centre, true, written, now);
  }
}

void MeshDirectory::DeferEvacuation(const std::string& data_centre,
                                    bool is_evacuated,
                                    const StorePosition& position,
                                    TimePoint now) {
  this->deferred_evacuations.try_emplace(
      data_centre, DeferredEvacuation{is_evacuated, position, now + kHoldTime});
}

void MeshDirectory::MarkStoreRestored(TimePoint now) {
  this->ExtendExpiryGrace(now + kExpiryGrace);
  this->held.clear();
  this->deferred_evacuations.clear();
}

bool MeshDirectory::MarkStoreReachable(Duration outage, TimePoint now) {
  if (!this->is_store_unreachable) {
    return false;
  }
  this->is_store_unreachable = false;
  if (outage >= kMinOutage) {
    this->ExtendExpiryGrace(now + kExpiryGrace);
  }
  const TimePoint grace_end = now + this->ExpiryGraceLeft(now);
  for (auto& [id, deadline] : this->pending_removals) {
    deadline = std::min(deadline, grace_end);
  }
  return true;
}

void MeshDirectory::ExtendExpiryGrace(TimePoint deadline) {
  this->expiry_grace_end =
      std::max(deadline, this->expiry_grace_end.value_or(deadline));
}

Duration MeshDirectory::ExpiryGraceLeft(TimePoint now) const {
  return std::max(Duration::zero(), this->expiry_grace_end.value_or(now) - now);
}

bool MeshDirectory::ApplyOverdue(TimePoint now) {
  if (this->is_store_unreachable) {
    return false;
  }
  bool has_applied = this->ApplyHeldTargets(now);
  has_applied |= this->ApplyDeferredEvacuations(now);
  for (auto entry = this->pending_removals.begin();
       entry != this->pending_removals.end();) {
    if (now < entry->second) {
      ++entry;
      continue;
    }
    this->targets.erase(entry->first);
    this->reports.erase(entry->first);
    entry = this->pending_removals.erase(entry);
    has_applied = true;
  }
  return has_applied;
}

bool MeshDirectory::ApplyHeldTargets(TimePoint now) {
  std::vector<HeldTarget> due;
  for (const auto& [id, held_target] : this->held) {
    if (held_target.deadline <= now) {
      due.push_back(held_target);
    }
  }
  for (const HeldTarget& held_target : due) {
    this->ApplyTarget(held_target.target, held_target.position);
  }
  return !due.empty();
}

bool MeshDirectory::ApplyDeferredEvacuations(TimePoint now) {
  std::map<std::string, DeferredEvacuation> due;
  for (const auto& [data_centre, deferred] : this->deferred_evacuations) {
    if (deferred.deadline <= now) {
      due.emplace(data_centre, deferred);
    }
  }
  for (const auto& [data_centre, deferred] : due) {
    this->SetEvacuated(data_centre, deferred.is_evacuated, deferred.position);
  }
  return !due.empty();
}

std::shared_ptr<const MeshView> MeshDirectory::MakeView() const {
  return std::make_shared<const MeshView>(this->configuration, this->targets,
                                          this->evacuated);
}

}  // namespace daisywinch
