#include "coordination/mesh_directory.h"

#include <algorithm>
#include <utility>

namespace daisywinch {

namespace {

/// Time after the store's return in which entries that lapsed while it was
/// away come back; stated by the platform as about two seconds.
constexpr std::chrono::milliseconds kLapseTime{2000};

/// Outages that are shorter make no entry lapse: that takes three heartbeats of
/// at least a second, and a relay hears of the store once a second.
constexpr std::chrono::milliseconds kLeastOutage{2000};

}  // namespace

bool MeshDirectory::TakeConfiguration(
    std::shared_ptr<const MeshConfiguration> offered) {
  if (this->configuration &&
      offered->Version() <= this->configuration->Version()) {
    return false;
  }
  this->configuration = std::move(offered);
  return true;
}

void MeshDirectory::TakeTarget(const MeshTarget& target) {
  this->targets[target.id] = target;
  this->vanished.erase(target.id);
}

void MeshDirectory::RemoveTarget(const std::string& id, TimePoint now) {
  const bool may_return =
      this->is_store_lost || (this->lapse_until && now < *this->lapse_until);
  if (!may_return) {
    this->targets.erase(id);
    return;
  }
  if (this->targets.contains(id)) {
    this->vanished.emplace(id, this->lapse_until.value_or(now + kLapseTime));
  }
}

void MeshDirectory::SetEvacuated(const std::string& data_centre,
                                 bool is_evacuated) {
  if (is_evacuated) {
    this->evacuated.insert(data_centre);
  } else {
    this->evacuated.erase(data_centre);
  }
}

std::vector<std::string> MeshDirectory::KeepOnlyTargets(
    const std::set<std::string>& ids,
    TimePoint now) {
  std::vector<std::string> missing;
  for (const auto& [id, target] : this->targets) {
    if (!ids.contains(id)) {
      missing.push_back(id);
    }
  }
  for (const std::string& id : missing) {
    this->RemoveTarget(id, now);
  }
  return missing;
}

void MeshDirectory::KeepOnlyEvacuated(
    const std::set<std::string>& data_centres) {
  this->evacuated = data_centres;
}

bool MeshDirectory::StoreBack(Duration away, TimePoint now) {
  if (!this->is_store_lost) {
    return false;
  }
  this->is_store_lost = false;
  if (away >= kLeastOutage) {
    this->AwaitLapsed(now + kLapseTime);
  } else if (this->LapseLeft(now) == Duration::zero()) {
    for (auto& [id, until] : this->vanished) {
      until = now;
    }
  }
  return true;
}

void MeshDirectory::AwaitLapsed(TimePoint until) {
  this->lapse_until = std::max(until, this->lapse_until.value_or(until));
}

Duration MeshDirectory::LapseLeft(TimePoint now) const {
  return std::max(Duration::zero(), this->lapse_until.value_or(now) - now);
}

bool MeshDirectory::Settle(TimePoint now) {
  bool has_removed = false;
  for (auto entry = this->vanished.begin(); entry != this->vanished.end();) {
    if (now < entry->second || this->is_store_lost) {
      ++entry;
      continue;
    }
    this->targets.erase(entry->first);
    entry = this->vanished.erase(entry);
    has_removed = true;
  }
  return has_removed;
}

std::shared_ptr<const MeshView> MeshDirectory::MakeView() const {
  return std::make_shared<const MeshView>(this->configuration, this->targets,
                                          this->evacuated);
}

}  // namespace daisywinch
