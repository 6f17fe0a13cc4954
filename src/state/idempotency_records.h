#ifndef DAISYWINCH_STATE_IDEMPOTENCY_RECORDS_H
#define DAISYWINCH_STATE_IDEMPOTENCY_RECORDS_H

#include <cstddef>
#include <deque>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>

#include "state/clock.h"

namespace daisywinch {

/// State of the earlier request with the same idempotency key.
enum class EarlierRequest {
  /// There is no record of one.
  kNone,
  kInProgress,
  kAnswered,
  /// It was sent to the target and its outcome is not known.
  kUnknown,
};

/// Records of the requests that may run at most once, by idempotency key.
///
/// A request with the key of an earlier one is a duplicate. A record expires
/// when the window has passed since the end of its request. `Response` is what
/// a duplicate gets as its response; it must have a method `std::size_t
/// ByteSizeLong() const`.
template <typename Response>
class IdempotencyRecords {
 public:
  /// `record_limit` is the maximum number of records, `byte_limit` the maximum
  /// total size of the stored responses in bytes.
  IdempotencyRecords(std::size_t record_limit, std::size_t byte_limit)
      : record_limit(record_limit), byte_limit(byte_limit) {}

  /// Sets the time for which duplicates of an ended request are recognized.
  void SetWindow(Duration new_window) { this->window = new_window; }

  EarlierRequest Find(const std::string& key, TimePoint now) {
    this->RemoveExpired(now);
    const auto found = this->records.find(key);
    return found == this->records.end() ? EarlierRequest::kNone
                                        : found->second.state;
  }

  /// The response to a request for which Find() returned kAnswered.
  const Response& ResponseOf(const std::string& key) const {
    return *this->records.at(key).response;
  }

  /// Records the start of a request; returns false if the record limit is
  /// reached. The request must not run then.
  bool Begin(const std::string& key) {
    if (this->records.size() >= this->record_limit) {
      return false;
    }
    this->records[key] = Record();
    return true;
  }

  /// Removes the record of a request that did not run: a duplicate may run.
  void EndNotRun(const std::string& key) { this->records.erase(key); }

  /// Ends a request of which it is not known whether it ran.
  void EndUnknown(const std::string& key, TimePoint now) {
    this->End(key, EarlierRequest::kUnknown, now);
  }

  /// Ends a request that was answered. If its response would exceed the byte
  /// limit, the outcome counts as unknown.
  void EndAnswered(const std::string& key,
                   const Response& response,
                   TimePoint now) {
    const std::size_t size = response.ByteSizeLong();
    if (this->bytes + size > this->byte_limit) {
      this->EndUnknown(key, now);
      return;
    }
    this->End(key, EarlierRequest::kAnswered, now);
    this->records[key].response = response;
    this->bytes += size;
  }

  std::size_t Size() const { return this->records.size(); }

 private:
  struct Record {
    EarlierRequest state = EarlierRequest::kInProgress;
    std::optional<Response> response;
  };

  void End(const std::string& key, EarlierRequest state, TimePoint now) {
    this->records[key].state = state;
    this->ended.emplace_back(now, key);
  }

  void RemoveExpired(TimePoint now) {
    while (!this->ended.empty() &&
           this->ended.front().first + this->window < now) {
      const auto found = this->records.find(this->ended.front().second);
      if (found != this->records.end()) {
        this->bytes -=
            found->second.response ? found->second.response->ByteSizeLong() : 0;
        this->records.erase(found);
      }
      this->ended.pop_front();
    }
  }

  std::size_t record_limit;
  std::size_t byte_limit;
  std::size_t bytes = 0;
  Duration window = Duration::zero();
  std::unordered_map<std::string, Record> records;
  /// Times and keys of the ended requests, oldest first.
  std::deque<std::pair<TimePoint, std::string>> ended;
};

}  // namespace daisywinch

#endif  // DAISYWINCH_STATE_IDEMPOTENCY_RECORDS_H
