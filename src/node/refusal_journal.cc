#include "node/refusal_journal.h"

namespace daisywinch {

namespace {

constexpr std::size_t kCapacity = 512;

}  // namespace

void RefusalJournal::Add(const RefusalRecord& record) {
  this->records.push_back(record);
  if (this->records.size() > kCapacity) {
    this->records.pop_front();
  }
}

}  // namespace daisywinch
