#ifndef DAISYWINCH_STATE_HANDLE_TABLE_H
#define DAISYWINCH_STATE_HANDLE_TABLE_H

#include <cstdint>
#include <functional>
#include <mutex>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>

#include "state/clock.h"
#include "state/configuration.h"
#include "state/refusal.h"

namespace daisywinch {

/// What a nested call inherits from the request that it is made for.
struct CallContext {
  std::string customer;
  RequestClass request_class = RequestClass::kNormal;
  TimePoint deadline;
  std::string root_id;
};

/// State of a request when its handle is closed.
struct ClosedHandle {
  std::uint32_t retries_left = 0;
  /// Time during which at least one nested call was in progress.
  Duration nested_call_time = Duration::zero();
  /// A nested call failed, which may be why the request itself failed.
  bool nested_call_failed = false;
};

/// Handles of the requests in progress at the local target.
///
/// A handle is sent with each request, and the target copies it into the nested
/// calls that it makes while serving the request. The gate opens and closes
/// handles, and the ingress looks them up. Thread-safe.
class HandleTable {
 public:
  /// `incarnation` identifies this run of the process and prefixes its handles,
  /// so that handles of other nodes and earlier runs are told apart.
  HandleTable(std::string incarnation, const Clock& clock);

  /// Opens a handle. `retries` is the number of retries that the nested calls
  /// of the request may use.
  std::string Open(const CallContext& context, std::uint32_t retries);

  /// Closes a handle and cancels its nested calls. Returns an empty state if
  /// the handle is not open.
  ClosedHandle Close(const std::string& handle);

  /// The context of an open handle. If it is not open, returns nothing and sets
  /// `reason` to kHandleEnded or, if another node issued it, kHandleForeign.
  std::optional<CallContext> Find(const std::string& handle,
                                  RefusalReason& reason) const;

  /// Takes all remaining retries, so that concurrent nested calls cannot spend
  /// them twice. Unused ones are given back with ReturnRetries().
  std::uint32_t TakeRetries(const std::string& handle);
  void ReturnRetries(const std::string& handle, std::uint32_t retries);

  /// Records that a nested call of the request failed.
  void ReportNestedFailure(const std::string& handle);

  /// Registers a nested call and returns its number, or 0 if the handle is not
  /// open. If the call is still registered when the handle is closed, Close()
  /// calls `cancel` once, on its own thread.
  std::uint64_t AddNestedCall(const std::string& handle,
                              std::function<void()> cancel);
  void RemoveNestedCall(const std::string& handle, std::uint64_t call);

 private:
  struct Record {
    CallContext context;
    std::uint32_t retries = 0;
    std::unordered_map<std::uint64_t, std::function<void()>> nested_calls;
    Duration nested_call_time = Duration::zero();
    bool nested_call_failed = false;
    /// Start of the current period with nested calls in progress.
    TimePoint nested_calls_since;
  };

  std::string incarnation;
  const Clock& clock;
  mutable std::mutex mutex;
  std::unordered_map<std::string, Record> records;
  std::uint64_t next_call = 1;
};

}  // namespace daisywinch

#endif  // DAISYWINCH_STATE_HANDLE_TABLE_H
