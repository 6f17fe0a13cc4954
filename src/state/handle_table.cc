#include "state/handle_table.h"

#include <utility>

#include "state/key_digest.h"

namespace daisywinch {

namespace {

constexpr int kHandleBytes = 16;

}  // namespace

HandleTable::HandleTable(std::string incarnation, const Clock& clock)
    : incarnation(std::move(incarnation)), clock(clock) {}

std::string HandleTable::Open(const CallContext& context,
                              std::uint32_t retries) {
  std::string handle = this->incarnation + "." + RandomHex(kHandleBytes);
  const std::lock_guard lock(this->mutex);
  Record& record = this->records[handle];
  record.context = context;
  record.retries = retries;
  return handle;
}

ClosedHandle HandleTable::Close(const std::string& handle) {
  Record record;
  {
    const std::lock_guard lock(this->mutex);
    const auto found = this->records.find(handle);
    if (found == this->records.end()) {
      return {};
    }
    record = std::move(found->second);
    this->records.erase(found);
  }
  for (const auto& [call, cancel] : record.nested_calls) {
    cancel();
  }
  if (!record.nested_calls.empty()) {
    record.nested_call_time += this->clock.Now() - record.nested_calls_since;
  }
  return {record.retries, record.nested_call_time, record.nested_call_failed};
}

std::optional<CallContext> HandleTable::Find(const std::string& handle,
                                             RefusalReason& reason) const {
  const std::lock_guard lock(this->mutex);
  const auto found = this->records.find(handle);
  if (found != this->records.end()) {
    return found->second.context;
  }
  const bool is_own = handle.starts_with(this->incarnation + ".");
  reason = is_own ? RefusalReason::kHandleEnded : RefusalReason::kHandleForeign;
  return std::nullopt;
}

std::uint32_t HandleTable::TakeRetries(const std::string& handle) {
  const std::lock_guard lock(this->mutex);
  const auto found = this->records.find(handle);
  return found == this->records.end() ? 0
                                      : std::exchange(found->second.retries, 0);
}

void HandleTable::ReturnRetries(const std::string& handle,
                                std::uint32_t retries) {
  const std::lock_guard lock(this->mutex);
  const auto found = this->records.find(handle);
  if (found != this->records.end()) {
    found->second.retries += retries;
  }
}

void HandleTable::ReportNestedFailure(const std::string& handle) {
  const std::lock_guard lock(this->mutex);
  const auto found = this->records.find(handle);
  if (found != this->records.end()) {
    found->second.nested_call_failed = true;
  }
}

std::uint64_t HandleTable::AddNestedCall(const std::string& handle,
                                         std::function<void()> cancel) {
  const std::lock_guard lock(this->mutex);
  const auto found = this->records.find(handle);
  if (found == this->records.end()) {
    return 0;
  }
  if (found->second.nested_calls.empty()) {
    found->second.nested_calls_since = this->clock.Now();
  }
  const std::uint64_t call = this->next_call++;
  found->second.nested_calls[call] = std::move(cancel);
  return call;
}

void HandleTable::RemoveNestedCall(const std::string& handle,
                                   std::uint64_t call) {
  const std::lock_guard lock(this->mutex);
  const auto found = this->records.find(handle);
  if (found == this->records.end() ||
      found->second.nested_calls.erase(call) == 0) {
    return;
  }
  if (found->second.nested_calls.empty()) {
    found->second.nested_call_time +=
        this->clock.Now() - found->second.nested_calls_since;
  }
}

}  // namespace daisywinch
