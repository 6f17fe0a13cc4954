#include "state/ownership_history.h"

#include <algorithm>
#include <utility>

#include "state/rendezvous.h"

namespace daisywinch {

OwnershipHistory::OwnershipHistory(std::string local_name, TimePoint started_at)
    : local_name(std::move(local_name)), started_at(started_at) {}

void OwnershipHistory::UpdateTargets(const std::vector<std::string>& names,
                                     TimePoint now) {
  if (names == this->current) {
    return;
  }
  if (!this->current.empty()) {
    this->past.push_back({std::move(this->current), now});
  }
  this->current = names;
  while (!this->past.empty() &&
         this->past.front().replaced_at + this->window < now) {
    this->past.pop_front();
  }
}

bool OwnershipHistory::Owns(std::string_view key) const {
  const std::string* owner = ChooseByRendezvous(this->current, key);
  return owner != nullptr && *owner == this->local_name;
}

bool OwnershipHistory::OwnedForWholeWindow(std::string_view key,
                                           TimePoint now) const {
  if (now - this->started_at < this->window || !this->Owns(key)) {
    return false;
  }
  return std::all_of(
      this->past.begin(), this->past.end(), [&](const PastList& list) {
        if (list.replaced_at + this->window < now) {
          return true;
        }
        const std::string* owner = ChooseByRendezvous(list.names, key);
        return owner != nullptr && *owner == this->local_name;
      });
}

}  // namespace daisywinch
