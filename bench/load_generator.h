#ifndef DAISYWINCH_BENCH_LOAD_GENERATOR_H
#define DAISYWINCH_BENCH_LOAD_GENERATOR_H

#include <cstdint>
#include <map>
#include <memory>
#include <random>
#include <string>
#include <vector>

#include "state/clock.h"
#include "state/settings.h"
#include "state/token_bucket.h"
#include "transport/asio.h"
#include "transport/http.h"
#include "transport/target_client.h"

namespace daisywinch::bench {

/// Requests of one kind, sent as a Poisson process.
struct Stream {
  /// Name of the customer or request class; also prefixes idempotency keys.
  std::string name;
  std::string key;
  std::string method = "GET";
  std::string path;
  double calls_per_second = 0;
  /// Permitted rate and burst of the customer, from which the generator
  /// determines the requests that are within the rate.
  double customer_rate = 1e9;
  double customer_burst = 1e9;
  /// Whether requests carry an idempotency key, as those that are not safe to
  /// repeat must.
  bool has_idempotency_key = false;
  /// Maximum number of attempts per request.
  int attempts = 1;
  Duration retry_delay = std::chrono::milliseconds(50);
  Duration timeout = std::chrono::seconds(1);
  /// Each attempt goes to one of these at random.
  std::vector<Address> server_addresses;
};

/// Outcome of the requests of one stream.
struct StreamResult {
  std::uint64_t request_count = 0;
  std::uint64_t attempt_count = 0;
  /// Requests of which an attempt got a complete response with status 200.
  std::uint64_t success_count = 0;
  /// Requests all of whose attempts failed.
  std::uint64_t failure_count = 0;
  /// Requests that a single token bucket with the customer's rate and burst
  /// admits, retries not counted, and those of them that succeeded.
  std::uint64_t within_rate_count = 0;
  std::uint64_t within_rate_success_count = 0;
  /// Requests within the rate whose last attempt was refused as over the rate.
  std::uint64_t wrongly_refused_count = 0;
  /// Failed attempts by refusal reason, or by HTTP status if the response has
  /// no reason; 0 if there was no response.
  std::map<int, std::uint64_t> refusals;
  /// Latencies of successful attempts in seconds.
  std::vector<double> latencies;
  /// Successful responses by interval of 0.1 seconds since the start.
  std::vector<std::uint64_t> successes_by_interval;

  /// Returns a quantile of the latencies in seconds, 0 without successes.
  double Latency(double quantile) const;
  /// Returns successful responses per second between two times since the start,
  /// which are multiples of 0.1 seconds.
  double Goodput(Duration from, Duration to) const;
};

/// Sends streams of HTTP requests at random times, as an open-loop load
/// generator. The rates may change between runs.
class LoadGenerator {
 public:
  explicit LoadGenerator(std::uint64_t seed);

  /// Adds a stream; returns its index.
  std::size_t Add(const Stream& stream);
  void SetRate(std::size_t stream, double calls_per_second);

  /// Sends requests for the given time. Responses that arrive later are counted
  /// only while RunFor() or WaitForResponses() runs again.
  void RunFor(Duration time);
  /// Waits until no request is in flight.
  void WaitForResponses();

  const StreamResult& Result(std::size_t stream) const {
    return this->results[stream];
  }
  /// Returns the sum over all streams.
  StreamResult Total() const;
  Duration Elapsed() const;

 private:
  Awaitable<> SendRequest(std::size_t index);
  /// Returns kSucceeded, or the reason as in StreamResult::refusals.
  Awaitable<int> SendAttempt(std::size_t index,
                             const HttpRequest& request,
                             Address server_address);
  TargetClient& ClientFor(const Address& server_address);
  Duration DrawInterval(std::size_t stream);

  asio::io_context context{1};
  std::mt19937_64 random;
  std::vector<Stream> streams;
  std::vector<StreamResult> results;
  std::vector<TokenBucket> ideal_buckets;
  std::vector<TimePoint> next_send_at;
  std::map<std::string, std::unique_ptr<TargetClient>> clients;
  TimePoint started_at;
  int requests_in_flight = 0;
  std::uint64_t next_idempotency_key = 1;
};

}  // namespace daisywinch::bench

#endif  // DAISYWINCH_BENCH_LOAD_GENERATOR_H
