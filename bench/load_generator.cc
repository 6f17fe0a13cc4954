#include "bench/load_generator.h"

#include <algorithm>
#include <charconv>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace daisywinch::bench {

namespace {

constexpr std::uint64_t kBodyLimit = 16 * 1024 * 1024;
constexpr std::chrono::milliseconds kTenth{100};
constexpr std::chrono::milliseconds kLongestWait{20};
constexpr int kGood = -1;
constexpr int kOverRate = 106;

int ReasonOf(const TargetExchange& exchange) {
  if (exchange.end != TargetExchange::End::kAnswered) {
    return 0;
  }
  const std::string_view text = exchange.response[kReasonHeader];
  int reason = static_cast<int>(exchange.response.result_int());
  std::from_chars(text.data(), text.data() + text.size(), reason);
  return reason;
}

}  // namespace

double StreamResult::Latency(double quantile) const {
  if (this->latencies.empty()) {
    return 0;
  }
  std::vector<double> sorted = this->latencies;
  std::sort(sorted.begin(), sorted.end());
  const std::size_t index =
      static_cast<std::size_t>(quantile * static_cast<double>(sorted.size()));
  return sorted[std::min(index, sorted.size() - 1)];
}

double StreamResult::Goodput(Duration from, Duration to) const {
  std::uint64_t count = 0;
  for (std::size_t tenth = from / kTenth;
       tenth < static_cast<std::size_t>(to / kTenth) &&
       tenth < this->good_by_tenth.size();
       ++tenth) {
    count += this->good_by_tenth[tenth];
  }
  return static_cast<double>(count) /
         std::chrono::duration<double>(to - from).count();
}

LoadGenerator::LoadGenerator(std::uint64_t seed)
    : random(seed), started_at(BootTime::now()) {}

std::size_t LoadGenerator::Add(const Stream& stream) {
  this->streams.push_back(stream);
  this->results.emplace_back();
  this->granted.emplace_back(stream.granted_rate, stream.granted_burst,
                             stream.granted_burst, BootTime::now());
  this->next_at.push_back(BootTime::now());
  this->SetRate(this->streams.size() - 1, stream.calls_per_second);
  return this->streams.size() - 1;
}

void LoadGenerator::SetRate(std::size_t stream, double calls_per_second) {
  this->streams[stream].calls_per_second = calls_per_second;
  this->next_at[stream] = BootTime::now() + this->TimeToNext(stream);
}

Duration LoadGenerator::TimeToNext(std::size_t stream) {
  const double rate = this->streams[stream].calls_per_second;
  if (rate <= 0) {
    return std::chrono::hours(24);
  }
  std::exponential_distribution<double> draw(rate);
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(draw(this->random)));
}

void LoadGenerator::RunFor(Duration time) {
  const TimePoint end = BootTime::now() + time;
  while (BootTime::now() < end) {
    const TimePoint now = BootTime::now();
    TimePoint next = std::min(end, now + kLongestWait);
    for (std::size_t stream = 0; stream < this->streams.size(); ++stream) {
      while (this->next_at[stream] <= now) {
        this->next_at[stream] += this->TimeToNext(stream);
        ++this->open_requests;
        asio::co_spawn(this->context, this->Send(stream), asio::detached);
      }
      next = std::min(next, this->next_at[stream]);
    }
    this->context.restart();
    this->context.run_for(next - BootTime::now());
  }
}

void LoadGenerator::Finish() {
  while (this->open_requests > 0) {
    this->context.restart();
    this->context.run_for(kLongestWait);
  }
}

Awaitable<> LoadGenerator::Send(std::size_t index) {
  const Stream stream = this->streams[index];
  HttpRequest request;
  request.version(11);
  request.method_string(stream.method);
  request.target(stream.path);
  request.set(http::field::host, "daisywinch");
  if (!stream.key.empty()) {
    request.set(http::field::authorization, "Bearer " + stream.key);
  }
  if (stream.has_idempotency_key) {
    request.set(kIdempotencyKeyHeader,
                stream.name + "-" + std::to_string(this->next_key++));
    request.set(kAttemptHeader, "1");
  }
  ++this->results[index].fresh;
  const bool inside = this->granted[index].TryAcquire(1, BootTime::now());
  bool good = false;
  int reason = 0;
  for (int attempt = 0; attempt < stream.attempts && !good; ++attempt) {
    if (attempt > 0) {
      request.erase(kAttemptHeader);
      Timer pause(this->context, stream.retry_delay);
      ErrorCode ignored;
      co_await pause.async_wait(Await(ignored));
    }
    std::uniform_int_distribution<std::size_t> draw(0,
                                                    stream.entries.size() - 1);
    reason = co_await this->Attempt(index, request,
                                    stream.entries[draw(this->random)]);
    good = reason == kGood;
  }
  this->results[index].good += good ? 1 : 0;
  this->results[index].gave_up += good ? 0 : 1;
  this->results[index].inside += inside ? 1 : 0;
  this->results[index].good_inside += inside && good ? 1 : 0;
  this->results[index].refused_inside += inside && reason == kOverRate ? 1 : 0;
  --this->open_requests;
}

Awaitable<int> LoadGenerator::Attempt(std::size_t index,
                                      const HttpRequest& request,
                                      Address entry) {
  const TimePoint sent_at = BootTime::now();
  HttpRequest copy = request;
  copy.prepare_payload();
  const TargetExchange exchange = co_await this->ClientFor(entry).Send(
      std::move(copy), sent_at + this->streams[index].timeout,
      std::make_shared<Cancellation>());
  StreamResult& result = this->results[index];
  ++result.attempts;
  const bool good = exchange.end == TargetExchange::End::kAnswered &&
                    exchange.response.result() == http::status::ok;
  if (!good) {
    const int reason = ReasonOf(exchange);
    ++result.refusals[reason];
    co_return reason;
  }
  const TimePoint now = BootTime::now();
  result.latencies.push_back(
      std::chrono::duration<double>(now - sent_at).count());
  const std::size_t tenth = (now - this->started_at) / kTenth;
  if (result.good_by_tenth.size() <= tenth) {
    result.good_by_tenth.resize(tenth + 1);
  }
  ++result.good_by_tenth[tenth];
  co_return kGood;
}

TargetClient& LoadGenerator::ClientFor(const Address& entry) {
  std::unique_ptr<TargetClient>& client = this->clients[entry.ToString()];
  if (!client) {
    client = std::make_unique<TargetClient>(this->context, entry, kBodyLimit);
  }
  return *client;
}

StreamResult LoadGenerator::Total() const {
  StreamResult total;
  for (const StreamResult& result : this->results) {
    total.fresh += result.fresh;
    total.attempts += result.attempts;
    total.good += result.good;
    total.gave_up += result.gave_up;
    for (const auto& [reason, count] : result.refusals) {
      total.refusals[reason] += count;
    }
    total.latencies.insert(total.latencies.end(), result.latencies.begin(),
                           result.latencies.end());
    if (total.good_by_tenth.size() < result.good_by_tenth.size()) {
      total.good_by_tenth.resize(result.good_by_tenth.size());
    }
    for (std::size_t tenth = 0; tenth < result.good_by_tenth.size(); ++tenth) {
      total.good_by_tenth[tenth] += result.good_by_tenth[tenth];
    }
  }
  return total;
}

Duration LoadGenerator::Elapsed() const {
  return BootTime::now() - this->started_at;
}

}  // namespace daisywinch::bench
