#include "bench/load_generator.h"

#include <algorithm>
#include <charconv>

#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>

namespace daisywinch::bench {

namespace {

constexpr std::uint64_t kMaxBodySize = 16 * 1024 * 1024;
constexpr std::chrono::milliseconds kGoodputInterval{100};
constexpr std::chrono::milliseconds kMaxPollTime{20};
/// Result of a successful attempt; refusal reasons are not negative.
constexpr int kSucceeded = -1;
constexpr int kOverRateReason = 106;

/// Returns the refusal reason of the response, else its HTTP status; 0 if there
/// was no response.
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
  for (std::size_t interval = from / kGoodputInterval;
       interval < static_cast<std::size_t>(to / kGoodputInterval) &&
       interval < this->successes_by_interval.size();
       ++interval) {
    count += this->successes_by_interval[interval];
  }
  return static_cast<double>(count) /
         std::chrono::duration<double>(to - from).count();
}

LoadGenerator::LoadGenerator(std::uint64_t seed)
    : random(seed), started_at(BootTime::now()) {}

std::size_t LoadGenerator::Add(const Stream& stream) {
  this->streams.push_back(stream);
  this->results.emplace_back();
  this->ideal_buckets.emplace_back(stream.customer_rate, stream.customer_burst,
                                   stream.customer_burst, BootTime::now());
  this->next_send_at.push_back(BootTime::now());
  this->SetRate(this->streams.size() - 1, stream.calls_per_second);
  return this->streams.size() - 1;
}

void LoadGenerator::SetRate(std::size_t stream, double calls_per_second) {
  this->streams[stream].calls_per_second = calls_per_second;
  this->next_send_at[stream] = BootTime::now() + this->DrawInterval(stream);
}

Duration LoadGenerator::DrawInterval(std::size_t stream) {
  const double rate = this->streams[stream].calls_per_second;
  if (rate <= 0) {
    return std::chrono::hours(24);
  }
  std::exponential_distribution<double> distribution(rate);
  return std::chrono::duration_cast<Duration>(
      std::chrono::duration<double>(distribution(this->random)));
}

void LoadGenerator::RunFor(Duration time) {
  const TimePoint end = BootTime::now() + time;
  while (BootTime::now() < end) {
    const TimePoint now = BootTime::now();
    TimePoint next = std::min(end, now + kMaxPollTime);
    for (std::size_t stream = 0; stream < this->streams.size(); ++stream) {
      while (this->next_send_at[stream] <= now) {
        this->next_send_at[stream] += this->DrawInterval(stream);
        ++this->requests_in_flight;
        asio::co_spawn(this->context, this->SendRequest(stream),
                       asio::detached);
      }
      next = std::min(next, this->next_send_at[stream]);
    }
    this->context.restart();
    this->context.run_for(next - BootTime::now());
  }
}

void LoadGenerator::WaitForResponses() {
  while (this->requests_in_flight > 0) {
    this->context.restart();
    this->context.run_for(kMaxPollTime);
  }
}

Awaitable<> LoadGenerator::SendRequest(std::size_t index) {
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
    request.set(
        kIdempotencyKeyHeader,
        stream.name + "-" + std::to_string(this->next_idempotency_key++));
    request.set(kAttemptHeader, "1");
  }
  ++this->results[index].request_count;
  const bool is_within_rate =
      this->ideal_buckets[index].TryAcquire(1, BootTime::now());
  bool succeeded = false;
  int reason = 0;
  for (int attempt = 0; attempt < stream.attempts && !succeeded; ++attempt) {
    if (attempt > 0) {
      request.erase(kAttemptHeader);
      Timer retry_timer(this->context, stream.retry_delay);
      ErrorCode ignored;
      co_await retry_timer.async_wait(Await(ignored));
    }
    std::uniform_int_distribution<std::size_t> distribution(
        0, stream.server_addresses.size() - 1);
    reason = co_await this->SendAttempt(
        index, request, stream.server_addresses[distribution(this->random)]);
    succeeded = reason == kSucceeded;
  }
  this->results[index].success_count += succeeded ? 1 : 0;
  this->results[index].failure_count += succeeded ? 0 : 1;
  this->results[index].within_rate_count += is_within_rate ? 1 : 0;
  this->results[index].within_rate_success_count +=
      is_within_rate && succeeded ? 1 : 0;
  this->results[index].wrongly_refused_count +=
      is_within_rate && reason == kOverRateReason ? 1 : 0;
  --this->requests_in_flight;
}

Awaitable<int> LoadGenerator::SendAttempt(std::size_t index,
                                          const HttpRequest& request,
                                          Address server_address) {
  const TimePoint sent_at = BootTime::now();
  HttpRequest copy = request;
  copy.prepare_payload();
  const TargetExchange exchange =
      co_await this->ClientFor(server_address)
          .Send(std::move(copy), sent_at + this->streams[index].timeout,
                std::make_shared<Cancellation>());
  StreamResult& result = this->results[index];
  ++result.attempt_count;
  const bool succeeded = exchange.end == TargetExchange::End::kAnswered &&
                         exchange.response.result() == http::status::ok;
  if (!succeeded) {
    const int reason = ReasonOf(exchange);
    ++result.refusals[reason];
    co_return reason;
  }
  const TimePoint now = BootTime::now();
  result.latencies.push_back(
      std::chrono::duration<double>(now - sent_at).count());
  const std::size_t interval = (now - this->started_at) / kGoodputInterval;
  if (result.successes_by_interval.size() <= interval) {
    result.successes_by_interval.resize(interval + 1);
  }
  ++result.successes_by_interval[interval];
  co_return kSucceeded;
}

TargetClient& LoadGenerator::ClientFor(const Address& server_address) {
  std::unique_ptr<TargetClient>& client =
      this->clients[server_address.ToString()];
  if (!client) {
    client = std::make_unique<TargetClient>(this->context, server_address,
                                            kMaxBodySize);
  }
  return *client;
}

StreamResult LoadGenerator::Total() const {
  StreamResult total;
  for (const StreamResult& result : this->results) {
    total.request_count += result.request_count;
    total.attempt_count += result.attempt_count;
    total.success_count += result.success_count;
    total.failure_count += result.failure_count;
    for (const auto& [reason, count] : result.refusals) {
      total.refusals[reason] += count;
    }
    total.latencies.insert(total.latencies.end(), result.latencies.begin(),
                           result.latencies.end());
    if (total.successes_by_interval.size() <
        result.successes_by_interval.size()) {
      total.successes_by_interval.resize(result.successes_by_interval.size());
    }
    for (std::size_t interval = 0;
         interval < result.successes_by_interval.size(); ++interval) {
      total.successes_by_interval[interval] +=
          result.successes_by_interval[interval];
    }
  }
  return total;
}

Duration LoadGenerator::Elapsed() const {
  return BootTime::now() - this->started_at;
}

}  // namespace daisywinch::bench
