#ifndef DAISYWINCH_STATE_MEMORY_BUDGET_H
#define DAISYWINCH_STATE_MEMORY_BUDGET_H

#include <atomic>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <map>
#include <mutex>
#include <set>
#include <string>
#include <string_view>

namespace daisywinch {

/// Limits the memory that a process holds for the messages of callers, targets
/// and other nodes together.
///
/// A message has a size limit of its own, but how many are held at a time, and
/// whether a sender ever ends one, is up to others. So everything that reads
/// messages counts their bytes here. When the sum exceeds the limit, the
/// largest messages that are being read are broken off until the rest fits.
/// Small ones are never broken off.
///
/// Thread-safe.
class MemoryBudget {
 public:
  /// Size below which a message is not broken off, in bytes.
  static constexpr std::size_t kMinBrokenOff = std::size_t{256} * 1024;

  /// `limit` is in bytes.
  explicit MemoryBudget(std::size_t limit) : limit(limit) {}

  MemoryBudget(const MemoryBudget&) = delete;
  MemoryBudget& operator=(const MemoryBudget&) = delete;

  /// The limit for this process: a part of the machine's memory, as the
  /// operating system reports it, but no more than the smallest supported
  /// machine allows, as a platform may limit the process further.
  static std::size_t DefaultLimit();

  /// Makes the allocator return large blocks to the operating system at once.
  /// By default it keeps blocks of up to 32 MB, which would count as held.
  static void ReturnFreedMemory();

  /// Bytes held, and messages broken off by what they were, in the Prometheus
  /// text format.
  std::string ToPrometheusText() const;

  /// The bytes of one message. Released on destruction.
  class Holder {
   public:
    /// `budget` may be null, which means no limit. `use` says for the log what
    /// is held. `break_off` is called at most once, on any thread; it must not
    /// block or use the holder. Null for a message that can't be broken off.
    Holder(MemoryBudget* budget,
           std::string_view use,
           std::function<void()> break_off);
    ~Holder();

    Holder(const Holder&) = delete;
    Holder& operator=(const Holder&) = delete;

    /// Sets the number of bytes held.
    void Resize(std::size_t new_bytes);
    /// From now on the message can't be broken off.
    void Keep();
    /// Whether the message is to be broken off.
    bool IsBrokenOff() const { return this->is_broken_off; }

   private:
    friend class MemoryBudget;

    /// Resizes a message that is a candidate or becomes one.
    void ResizeCandidate(std::size_t new_bytes);

    MemoryBudget* budget;
    std::string_view use;
    std::function<void()> break_off;
    std::size_t bytes = 0;
    /// While this is set, other threads use the holder under the mutex of the
    /// budget.
    std::atomic<bool> is_candidate = false;
    std::atomic<bool> is_broken_off = false;
  };

 private:
  void RecordMostHeld();
  /// Breaks off the largest messages until the others fit. `asking` is
  /// preferred among those of the same size. The mutex must be locked.
  void MakeRoom(const Holder* asking);

  const std::size_t limit;
  /// Bytes of all holders, except of those that are to be broken off.
  std::atomic<std::size_t> held = 0;
  std::atomic<std::size_t> most_held = 0;
  /// Guards the members below and the candidates. Messages too small to be
  /// broken off don't need it, as they are most of the traffic.
  mutable std::mutex mutex;
  /// Holders that can be broken off: those of kMinBrokenOff bytes or more.
  std::set<Holder*> candidates;
  std::map<std::string, std::uint64_t, std::less<>> broken_off_by_use;
};

}  // namespace daisywinch

#endif  // DAISYWINCH_STATE_MEMORY_BUDGET_H
