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

/// A kind of request that callers send at random times.
struct Stream {
  /// Groups results, usually a customer or a class.
  std::string name;
  std::string key;
  std::string method = "GET";
  std::string path;
  double calls_per_second = 0;
  /// Rate and burst that the customer is granted, to tell which requests were
  /// inside them.
  double customer_rate = 1e9;
  double customer_burst = 1e9;
  /// Requests that may not be repeated carry an idempotency key.
  bool has_idempotency_key = false;
  /// Attempts that a caller makes before it gives up.
  int attempts = 1;
  Duration retry_delay = std::chrono::milliseconds(50);
  Duration timeout = std::chrono::seconds(1);
  std::vector<Address> server_addresses;
};

/// What became of the requests of one stream.
struct StreamResult {
  std::uint64_t request_count = 0;
  std::uint64_t attempt_count = 0;
  /// Requests answered whole with status 200 at some attempt.
  std::uint64_t success_count = 0;
  std::uint64_t failure_count = 0;
  /// Fresh requests that one bucket of the granted rate and burst admits, and
  /// those of them that were answered.
  std::uint64_t within_rate_count = 0;
  std::uint64_t within_rate_success_count = 0;
  /// Those of them that were refused as over the rate at every attempt.
  std::uint64_t wrongly_refused_count = 0;
  /// Attempts by refusal reason; 0 stands for no answer at all.
  std::map<int, std::uint64_t> refusals;
  /// Latency of good attempts in seconds.
  std::vector<double> latencies;
  /// Good answers by the tenth of a second since the start.
  std::vector<std::uint64_t> successes_by_interval;

  double Latency(double quantile) const;
  /// Good answers per second between two times since the start.
  double Goodput(Duration from, Duration to) const;
};

/// Sends streams of requests whose rates may change while it runs.
class LoadGenerator {
 public:
  explicit LoadGenerator(std::uint64_t seed);

  /// Adds a stream; returns its index.
  std::size_t Add(const Stream& stream);
  void SetRate(std::size_t stream, double calls_per_second);

  /// Sends for a time; answers may come later and still count.
  void RunFor(Duration time);
  /// Waits until no request is waiting for its answer.
  void WaitForResponses();

  const StreamResult& Result(std::size_t stream) const {
    return this->results[stream];
  }
  /// The sum over all streams.
  StreamResult Total() const;
  Duration Elapsed() const;

 private:
  Awaitable<> SendRequest(std::size_t index);
  /// Returns kGood, or the reason of the refusal.
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
