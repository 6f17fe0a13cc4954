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

/// What is known of the earlier requests with an idempotency key.
enum class EarlierRequest {
  /// None is on record.
  kNone,
  kInProgress,
  kAnswered,
  /// One was sent to the target and its end is not known.
  kUnknown,
};

/// Record of the requests that may run at most once, by idempotency key.
///
/// A record outlives the request's end by the repeat window. `Response` is what
/// a repeat is given; it has a method `std::size_t ByteSizeLong() const`.
template <typename Response>
class IdempotencyRecords {
 public:
  /// `record_limit` bounds the records, `byte_limit` the answers kept.
  IdempotencyRecords(std::size_t record_limit, std::size_t byte_limit)
      : record_limit(record_limit), byte_limit(byte_limit) {}

  void SetWindow(Duration new_window) { this->window = new_window; }

  EarlierRequest Find(const std::string& key, TimePoint now) {
    this->RemoveExpired(now);
    const auto found = this->records.find(key);
    return found == this->records.end() ? EarlierRequest::kNone
                                        : found->second.state;
  }

  /// The response of a request that Find() says was answered.
  const Response& ResponseOf(const std::string& key) const {
    return *this->records.at(key).response;
  }

  /// Records that a request starts; false when there is no room to record it.
  bool Begin(const std::string& key) {
    if (this->records.size() >= this->record_limit) {
      return false;
    }
    this->records[key] = Record();
    return true;
  }

  /// The request was not run after all: a repeat may run.
  void EndNotRun(const std::string& key) { this->records.erase(key); }

  void EndUnknown(const std::string& key, TimePoint now) {
    this->End(key, EarlierRequest::kUnknown, now);
  }

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
  /// Ended records, oldest first.
  std::deque<std::pair<TimePoint, std::string>> ended;
};

}  // namespace daisywinch

#endif  // DAISYWINCH_STATE_IDEMPOTENCY_RECORDS_H
