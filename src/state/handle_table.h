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

/// What an onward call inherits from the request that it belongs to.
struct CallContext {
  std::string customer;
  RequestClass request_class = RequestClass::kNormal;
  TimePoint deadline;
  std::string root_id;
};

/// What is known of a request when its handle is closed.
struct ClosedHandle {
  std::uint32_t retries_left = 0;
  /// Time in which at least one onward call was in progress.
  Duration nested_call_time = Duration::zero();
  /// An onward call failed: the request's own failure may come from there.
  bool nested_call_failed = false;
};

/// Handles that stand for requests in progress at the target beside this node.
///
/// A target copies its handle onto the calls that it makes. The gate opens
/// and closes handles, the entry looks them up: safe for use by both threads.
class HandleTable {
 public:
  /// `incarnation` identifies this run of the process in its handles.
  HandleTable(std::string incarnation, const Clock& clock);

  /// Opens a handle with the retries that its subtree may spend.
  std::string Open(const CallContext& context, std::uint32_t retries);

  /// Ends a handle and cancels its onward calls.
  ClosedHandle Close(const std::string& handle);

  /// The context of an open handle. Otherwise the reason is set.
  std::optional<CallContext> Find(const std::string& handle,
                                  RefusalReason& reason) const;

  /// Takes all retries left, so that onward calls that run at the same time
  /// cannot spend them twice.
  std::uint32_t TakeRetries(const std::string& handle);
  void ReturnRetries(const std::string& handle, std::uint32_t retries);

  /// Notes that an onward call of the request failed.
  void ReportNestedFailure(const std::string& handle);

  /// Registers the cancellation of an onward call, called once on Close() by
  /// the thread that closes. Returns 0 if the handle has ended.
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
    /// Start of the time in which onward calls are in progress now.
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
