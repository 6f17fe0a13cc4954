#include "node/refusal_history.h"

namespace daisywinch {

namespace {

constexpr std::size_t kMaxRecords = 512;

}  // namespace

void RefusalHistory::Add(const RefusalRecord& record) {
  this->records.push_back(record);
  if (this->records.size() > kMaxRecords) {
    this->records.pop_front();
  }
}

}  // namespace daisywinch
