#ifndef DAISYWINCH_TESTS_STANDINS_RAW_TARGET_H
#define DAISYWINCH_TESTS_STANDINS_RAW_TARGET_H

#include <atomic>
#include <memory>
#include <mutex>
#include <string>
#include <thread>

#include "transport/asio.h"
#include "transport/http.h"

namespace daisywinch::test {

/// Bytes that a RawTarget sends as its response.
struct RawAnswer {
  /// "{id}" stands for the attempt id of the request.
  std::string bytes;
  /// Sends each byte by itself.
  bool in_single_bytes = false;
  /// Closes the connection behind the bytes.
  bool closes = false;
};

/// Stand-in for a target that answers with given bytes, which needn't be a
/// valid response. Health checks, on the path /health, get a valid one unless
/// another is set. Runs on a thread of its own.
class RawTarget {
 public:
  /// Throws boost::system::system_error if it can't listen on the address.
  RawTarget(const Address& address, const std::string& instance_id);
  ~RawTarget();
  RawTarget(const RawTarget&) = delete;
  RawTarget& operator=(const RawTarget&) = delete;

  /// Sets the answer to all requests from now on, without health checks.
  void SetAnswer(const RawAnswer& new_answer);
  /// Sets the answer to all health checks from now on.
  void SetHealthAnswer(const RawAnswer& new_answer);

  Address ListenAddress() const;
  /// Number of requests received, without health checks.
  int RequestCount() const { return this->request_count; }
  /// Number of connections on which such a request was received.
  int ConnectionCount() const { return this->connection_count; }

 private:
  Awaitable<> Accept();
  Awaitable<> Serve(std::shared_ptr<Tcp::socket> socket);
  Awaitable<> Write(Tcp::socket& socket,
                    const RawAnswer& raw_answer,
                    ErrorCode& error);
  RawAnswer AnswerTo(const HttpRequest& request) const;

  asio::io_context context{1};
  Tcp::acceptor acceptor;
  mutable std::mutex mutex;
  RawAnswer answer;
  RawAnswer health_answer;
  std::atomic<int> request_count = 0;
  std::atomic<int> connection_count = 0;
  std::thread thread;
};

}  // namespace daisywinch::test

#endif  // DAISYWINCH_TESTS_STANDINS_RAW_TARGET_H
