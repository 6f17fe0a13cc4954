#include "state/fatal_requests.h"

#include <algorithm>
#include <utility>

namespace daisywinch {

namespace {

/// Crashes after which a request that no target has answered is fatal. Two may
/// coincide with a request that is sent again after the first one.
constexpr std::size_t kFatalCrashes = 3;
/// A request has to be part of one in this many crashes. Many crashes without
/// it mean that targets end for other reasons, so that it may have run in some
/// of them by chance.
constexpr std::size_t kMaxCrashesPerFatal = 4;
/// Crashes after which a request is fatal although another one may explain
/// them.
constexpr std::size_t kCertainCrashes = 6;
/// Time for which a fatal request is refused after the last crash.
constexpr std::chrono::minutes kVerdictTime{2};
/// Time for which crashes are remembered.
constexpr std::chrono::minutes kMemory{10};
/// Time for which crashes are remembered that have led to no verdict.
constexpr std::chrono::seconds kUnexplainedMemory{30};
/// Time for which an answered request counts as harmless, before and after a
/// crash.
constexpr std::chrono::seconds kClearedTime{10};
/// Minimum time by which a later answer renews that. Ages lose some precision
/// with each message, which must not make a report look new.
constexpr std::chrono::seconds kMinClearedStep{1};
constexpr std::size_t kMaxCrashes = 16;
constexpr std::size_t kMaxRunning = 64;
constexpr std::size_t kMaxCleared = 256;
/// Maximum number of requests in a report, which has to fit into a datagram
/// with other contents. The latest crashes are reported first.
constexpr std::size_t kMaxReported = 512;
constexpr std::size_t kMaxAnswered = 1024;

}  // namespace

void FatalRequests::RecordCrash(TargetCrash crash, TimePoint now) {
  this->AddCrash(crash.id, std::move(crash.running), now - crash.age, now);
  this->is_urgent = true;
  this->Forget(now);
  this->Judge();
}

void FatalRequests::RecordAnswered(RequestDigest digest, TimePoint now) {
  if (this->crashes_by_request.contains(digest) && this->Clear(digest, now)) {
    this->is_urgent = true;
    this->Judge();
  }
  const auto [found, is_new] = this->answered_at.try_emplace(digest, now);
  found->second = now;
  if (!is_new) {
    return;
  }
  this->answered.push_back(digest);
  if (this->answered.size() > kMaxAnswered) {
    this->answered_at.erase(this->answered.front());
    this->answered.pop_front();
  }
}

bool FatalRequests::Merge(const CrashReport& report, TimePoint now) {
  bool has_news = false;
  for (const ClearedRequest& request : report.cleared) {
    has_news |= this->Clear(request.digest, now - request.age);
  }
  for (const TargetCrash& crash : report.crashes) {
    has_news |= this->AddCrash(crash.id, crash.running, now - crash.age, now);
  }
  if (has_news) {
    this->Forget(now);
    this->Judge();
  }
  return has_news;
}

bool FatalRequests::AddCrash(std::uint64_t id,
                             std::set<RequestDigest> running,
                             TimePoint at,
                             TimePoint now) {
  if (this->crashes.contains(id) || running.empty() ||
      running.size() > kMaxRunning || now - at > kMemory) {
    return false;
  }
  for (const RequestDigest digest : running) {
    // The request may have been answered by this node's target.
    const auto answer = this->answered_at.find(digest);
    if (answer != this->answered_at.end() &&
        at - answer->second < kClearedTime) {
      this->Clear(digest, answer->second);
    }
    this->crashes_by_request[digest].insert(id);
  }
  this->crashes[id] = {std::move(running), at};
  return true;
}

bool FatalRequests::Clear(RequestDigest digest, TimePoint at) {
  const auto [found, is_new] = this->cleared.try_emplace(digest, at);
  if (!is_new && at < found->second + kMinClearedStep) {
    return false;
  }
  found->second = at;
  return true;
}

void FatalRequests::Forget(TimePoint now) {
  const auto is_explained = [this](const Crash& crash) {
    return std::any_of(crash.running.begin(), crash.running.end(),
                       [this](RequestDigest digest) {
                         return this->verdicts.contains(digest);
                       });
  };
  const auto forget = [this](std::map<std::uint64_t, Crash>::iterator crash) {
    for (const RequestDigest digest : crash->second.running) {
      const auto found = this->crashes_by_request.find(digest);
      found->second.erase(crash->first);
      if (found->second.empty()) {
        this->crashes_by_request.erase(found);
      }
    }
    return this->crashes.erase(crash);
  };
  for (auto crash = this->crashes.begin(); crash != this->crashes.end();) {
    const Duration memory = is_explained(crash->second)
                                ? Duration(kMemory)
                                : Duration(kUnexplainedMemory);
    crash = now - crash->second.at > memory ? forget(crash) : std::next(crash);
  }
  while (this->crashes.size() > kMaxCrashes) {
    forget(std::min_element(this->crashes.begin(), this->crashes.end(),
                            [](const auto& left, const auto& right) {
                              return left.second.at < right.second.at;
                            }));
  }
  std::erase_if(this->cleared, [now](const auto& entry) {
    return now - entry.second > kUnexplainedMemory;
  });
  if (this->cleared.size() > kMaxCleared) {
    std::erase_if(this->cleared, [this](const auto& entry) {
      return !this->crashes_by_request.contains(entry.first);
    });
  }
}

std::size_t FatalRequests::CrashCount(RequestDigest digest) const {
  const auto found = this->crashes_by_request.find(digest);
  if (found == this->crashes_by_request.end()) {
    return 0;
  }
  const auto clearance = this->cleared.find(digest);
  if (clearance == this->cleared.end()) {
    return found->second.size();
  }
  return std::count_if(
      found->second.begin(), found->second.end(), [&](std::uint64_t id) {
        return this->crashes.at(id).at > clearance->second + kClearedTime;
      });
}

bool FatalRequests::IsExplainedByAnother(
    RequestDigest digest,
    const std::set<std::uint64_t>& crash_ids) const {
  const Crash& first = this->crashes.at(*crash_ids.begin());
  return std::any_of(
      first.running.begin(), first.running.end(), [&](RequestDigest other) {
        const std::set<std::uint64_t>& others =
            this->crashes_by_request.at(other);
        return other != digest && others.size() > crash_ids.size() &&
               this->CrashCount(other) == others.size() &&
               std::includes(others.begin(), others.end(), crash_ids.begin(),
                             crash_ids.end());
      });
}

void FatalRequests::Judge() {
  this->verdicts.clear();
  for (const auto& [digest, crash_ids] : this->crashes_by_request) {
    const std::size_t count = this->CrashCount(digest);
    if (count < kFatalCrashes ||
        count * kMaxCrashesPerFatal < this->crashes.size() ||
        (count < kCertainCrashes &&
         this->IsExplainedByAnother(digest, crash_ids))) {
      continue;
    }
    TimePoint last;
    for (const std::uint64_t id : crash_ids) {
      last = std::max(last, this->crashes.at(id).at);
    }
    this->verdicts[digest] = last;
  }
}

bool FatalRequests::IsFatal(RequestDigest digest, TimePoint now) const {
  const auto found = this->verdicts.find(digest);
  return found != this->verdicts.end() && now - found->second < kVerdictTime;
}

std::vector<RequestDigest> FatalRequests::Verdicts(TimePoint now) const {
  std::vector<RequestDigest> digests;
  for (const auto& [digest, last] : this->verdicts) {
    if (this->IsFatal(digest, now)) {
      digests.push_back(digest);
    }
  }
  return digests;
}

CrashReport FatalRequests::MakeReport(TimePoint now) {
  this->is_urgent = false;
  CrashReport report;
  for (const auto& [id, crash] : this->crashes) {
    TargetCrash sent = {id, {}, now - crash.at};
    for (const RequestDigest digest : crash.running) {
      if (this->verdicts.contains(digest)) {
        sent.running.insert(digest);
      }
    }
    if (sent.running.empty()) {
      sent.running = crash.running;
    }
    report.crashes.push_back(std::move(sent));
  }
  std::sort(report.crashes.begin(), report.crashes.end(),
            [](const TargetCrash& left, const TargetCrash& right) {
              return left.age < right.age;
            });
  std::size_t reported = 0;
  std::erase_if(report.crashes, [&reported](const TargetCrash& crash) {
    reported += crash.running.size();
    return reported > kMaxReported;
  });
  for (const auto& [digest, at] : this->cleared) {
    if (this->crashes_by_request.contains(digest)) {
      report.cleared.push_back({digest, now - at});
    }
  }
  return report;
}

}  // namespace daisywinch
