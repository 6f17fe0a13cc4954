#include "state/memory_budget.h"

#include <malloc.h>
#include <sys/sysinfo.h>

#include <algorithm>
#include <utility>

#include "state/event_log.h"

namespace daisywinch {

namespace {

constexpr std::size_t kMegabyte = std::size_t{1024} * 1024;
/// Size in bytes from which blocks are returned at once.
constexpr int kReturnedBlockSize = 1024 * 1024;
/// Part of the machine's memory for messages. While one is passed on, a second
/// copy of it may exist for a moment.
constexpr double kMemoryShare = 0.37;
/// Maximum limit, for a machine of 260 MB.
constexpr std::size_t kMaxLimit = 96 * kMegabyte;

}  // namespace

std::size_t MemoryBudget::DefaultLimit() {
  struct sysinfo information = {};
  if (::sysinfo(&information) != 0) {
    return kMaxLimit;
  }
  const double total = static_cast<double>(information.totalram) *
                       static_cast<double>(information.mem_unit);
  return std::min(kMaxLimit, static_cast<std::size_t>(kMemoryShare * total));
}

void MemoryBudget::ReturnFreedMemory() {
  ::mallopt(M_MMAP_THRESHOLD, kReturnedBlockSize);
  ::mallopt(M_TRIM_THRESHOLD, 2 * kReturnedBlockSize);
}

std::string MemoryBudget::ToPrometheusText() const {
  std::string text =
      "# HELP daisywinch_message_bytes Bytes held for messages.\n"
      "# TYPE daisywinch_message_bytes gauge\n"
      "daisywinch_message_bytes " +
      std::to_string(this->held) +
      "\n# TYPE daisywinch_message_bytes_most gauge\n"
      "daisywinch_message_bytes_most " +
      std::to_string(this->most_held) +
      "\n# TYPE daisywinch_message_bytes_limit gauge\n"
      "daisywinch_message_bytes_limit " +
      std::to_string(this->limit) +
      "\n# HELP daisywinch_messages_broken_off_total Messages that were broken "
      "off for lack of memory.\n"
      "# TYPE daisywinch_messages_broken_off_total counter\n";
  const std::lock_guard<std::mutex> lock(this->mutex);
  for (const auto& [use, count] : this->broken_off_by_use) {
    text += "daisywinch_messages_broken_off_total{use=\"" + use + "\"} " +
            std::to_string(count) + "\n";
  }
  return text;
}

void MemoryBudget::RecordMostHeld() {
  const std::size_t now_held = this->held;
  std::size_t most = this->most_held;
  while (now_held > most &&
         !this->most_held.compare_exchange_weak(most, now_held)) {
  }
}

void MemoryBudget::MakeRoom(const Holder* asking) {
  while (this->held > this->limit) {
    const auto largest =
        std::max_element(this->candidates.begin(), this->candidates.end(),
                         [asking](const Holder* left, const Holder* right) {
                           return std::pair(left->bytes, left == asking) <
                                  std::pair(right->bytes, right == asking);
                         });
    if (largest == this->candidates.end()) {
      return;
    }
    Holder& holder = **largest;
    this->candidates.erase(largest);
    LogEvent(EventId::kMessageBrokenOff,
             {{"use", holder.use},
              {"bytes", static_cast<std::uint64_t>(holder.bytes)},
              {"held", static_cast<std::uint64_t>(this->held)},
              {"limit", static_cast<std::uint64_t>(this->limit)}});
    this->held -= holder.bytes;
    ++this->broken_off_by_use[std::string(holder.use)];
    holder.is_broken_off = true;
    holder.break_off();
    // Its own thread may destroy the holder from now on.
    holder.is_candidate = false;
  }
}

MemoryBudget::Holder::Holder(MemoryBudget* budget,
                             std::string_view use,
                             std::function<void()> break_off)
    : budget(budget), use(use), break_off(std::move(break_off)) {}

MemoryBudget::Holder::~Holder() {
  this->Resize(0);
  this->Keep();
}

void MemoryBudget::Holder::Resize(std::size_t new_bytes) {
  if (this->budget == nullptr || new_bytes == this->bytes) {
    return;
  }
  const bool can_be_broken_off = this->break_off && !this->is_broken_off;
  if (this->is_candidate || (can_be_broken_off && new_bytes >= kMinBrokenOff)) {
    this->ResizeCandidate(new_bytes);
    return;
  }
  if (!this->is_broken_off) {
    this->budget->held += new_bytes - this->bytes;
  }
  this->bytes = new_bytes;
  if (this->budget->held > this->budget->limit) {
    const std::lock_guard<std::mutex> lock(this->budget->mutex);
    this->budget->MakeRoom(this);
  }
  this->budget->RecordMostHeld();
}

void MemoryBudget::Holder::ResizeCandidate(std::size_t new_bytes) {
  const std::lock_guard<std::mutex> lock(this->budget->mutex);
  if (!this->is_broken_off) {
    this->budget->held += new_bytes - this->bytes;
    this->is_candidate = new_bytes >= kMinBrokenOff;
    if (this->is_candidate) {
      this->budget->candidates.insert(this);
    } else {
      this->budget->candidates.erase(this);
    }
  }
  this->bytes = new_bytes;
  this->budget->MakeRoom(this);
  this->budget->RecordMostHeld();
}

void MemoryBudget::Holder::Keep() {
  if (this->is_candidate) {
    const std::lock_guard<std::mutex> lock(this->budget->mutex);
    this->budget->candidates.erase(this);
    this->is_candidate = false;
  }
  this->break_off = nullptr;
}

}  // namespace daisywinch
