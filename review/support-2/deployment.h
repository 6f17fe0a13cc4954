#ifndef DAISYWINCH_REVIEW_SUPPORT_2_DEPLOYMENT_H
#define DAISYWINCH_REVIEW_SUPPORT_2_DEPLOYMENT_H

#include <signal.h>
#include <sys/types.h>

#include <chrono>
#include <cstdint>
#include <cstdlib>
#include <deque>
#include <functional>
#include <list>
#include <map>
#include <memory>
#include <optional>
#include <stdexcept>
#include <string>
#include <vector>

#include <boost/asio.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>
#include <boost/json.hpp>

/// A small deployment of the users' platform on loopback addresses: the store,
/// application servers, the links between machines, and the nodes, which are
/// the project's own program in processes of their own.
namespace review {

namespace asio = boost::asio;
namespace http = boost::beast::http;
namespace json = boost::json;
using Tcp = asio::ip::tcp;
using ErrorCode = boost::system::error_code;
using SteadyClock = std::chrono::steady_clock;
using TimePoint = SteadyClock::time_point;
using Seconds = std::chrono::duration<double>;
using std::chrono::milliseconds;
using Request = http::request<http::string_body>;
using Response = http::response<http::string_body>;

template <typename Result = void>
using Awaitable = asio::awaitable<Result>;

/// Completion token that stores the error instead of throwing it.
inline auto Await(ErrorCode& error) {
  return asio::redirect_error(asio::use_awaitable, error);
}

Awaitable<> Sleep(Seconds time);
void Spawn(asio::io_context& context, Awaitable<> coroutine);

/// The case can't run here; the program exits with 2.
struct CannotRun : std::runtime_error {
  using std::runtime_error::runtime_error;
};

/// Writes what was sent, answered and run to the record file and to standard
/// output. Times are in seconds from the origin.
class Record {
 public:
  explicit Record(const std::string& file_name);
  void Add(const std::string& line);
  void SetOrigin(TimePoint origin) { this->origin = origin; }
  double At(TimePoint time) const {
    return Seconds(time - this->origin).count();
  }

 private:
  std::unique_ptr<std::ostream> file;
  TimePoint origin = SteadyClock::now();
};

/// The platform's store, which can only be read.
class Store {
 public:
  Store(asio::io_context& context, const Tcp::endpoint& endpoint);
  void Put(const std::string& key, const json::value& value);

 private:
  Awaitable<> Serve(Tcp::socket socket);
  Awaitable<json::object> Watch(std::string prefix,
                                std::uint64_t after,
                                milliseconds wait);

  asio::io_context& context;
  std::uint64_t revision = 100;
  std::map<std::string, json::object> items;
  std::deque<std::pair<std::string, json::object>> history;
  std::list<std::shared_ptr<asio::steady_timer>> watchers;
};

/// How a server works on a request.
struct Work {
  Seconds time{0};
  std::size_t response_bytes = 0;
};

/// One run of a request at a server.
struct Run {
  std::string attempt_id;
  std::string path;
  TimePoint started;
  /// Time at which the server had handed its whole response to the connection;
  /// unset if the connection ended first.
  std::optional<TimePoint> answered;
  /// Time at which the caller closed the connection during the work.
  std::optional<TimePoint> dropped;
};

/// An application server. It drops a request whose connection closes.
class Server {
 public:
  Server(asio::io_context& context,
         const Tcp::endpoint& endpoint,
         std::string id,
         std::function<Work(const Request&)> work);
  const std::vector<std::shared_ptr<Run>>& Runs() const { return this->runs; }

 private:
  Awaitable<> Serve(Tcp::socket socket);
  Awaitable<bool> RunRequest(boost::beast::tcp_stream& stream,
                             const Request& request,
                             Response& response);

  asio::io_context& context;
  std::string id;
  std::function<Work(const Request&)> work;
  std::vector<std::shared_ptr<Run>> runs;
};

/// The link of a machine: passes connections on to the node on it, with the
/// bandwidth of the link in each direction and without any other change.
class Link {
 public:
  Link(asio::io_context& context,
       const Tcp::endpoint& listen,
       const Tcp::endpoint& node,
       double bytes_per_second);

 private:
  Awaitable<> Pass(Tcp::socket from_peer);
  Awaitable<> Pump(std::shared_ptr<Tcp::socket> from,
                   std::shared_ptr<Tcp::socket> to);

  asio::io_context& context;
  Tcp::endpoint node;
  double bytes_per_second;
};

/// A machine with its application server and its node.
struct Machine {
  std::string name;
  std::string zone;
  std::string service;
  std::string server_id;
  std::string ip;
  std::unique_ptr<Server> server;
  std::unique_ptr<Link> link;
  pid_t node = -1;
};

class Deployment {
 public:
  static constexpr std::uint16_t kOutboundPort = 8548;
  static constexpr std::uint16_t kReadyPort = 8546;
  static constexpr char kHost[] = "hulo84.example";
  static constexpr char kKey[] = "6wsjnbanfqasnmgkcuyj";

  /// `program` is the program of the deploy file.
  Deployment(asio::io_context& context, std::string program);
  ~Deployment();

  /// Adds a machine; `work` is what its server does.
  Machine& Add(const std::string& zone,
               const std::string& service,
               double link_bytes_per_second,
               std::function<Work(const Request&)> work);
  /// Writes the configuration and starts all nodes; returns when they are
  /// ready.
  Awaitable<> Start(const json::object& routes);
  void Signal(const Machine& machine, int signal);
  bool HasExited(Machine& machine);

 private:
  void StartNode(Machine& machine);

  asio::io_context& context;
  std::string program;
  std::string network;
  std::string folder;
  std::unique_ptr<Store> store;
  std::vector<std::unique_ptr<Machine>> machines;
};

/// Asks a node's Ready address, as the platform does.
Awaitable<bool> IsReady(std::string ip);

/// One attempt of a client, on a connection of its own.
struct Attempt {
  std::string id;
  std::string path;
  Seconds budget{0};
  /// Time of the last byte of the request.
  TimePoint sent;
  /// Time of the last byte of the answer, or of the end of the connection.
  TimePoint ended;
  /// 0 if the connection ended without a complete answer.
  int status = 0;
  bool is_signed = false;
  std::string reason;
  std::size_t body_bytes = 0;
};

/// Sends the body evenly over `body_time`. Reads the answer as fast as it
/// comes, or at `read_rate` bytes per second if that is above 0.
Awaitable<> Send(std::string ip,
                 http::verb method,
                 std::string body,
                 Seconds body_time,
                 double read_rate,
                 std::shared_ptr<Attempt> attempt);

/// Sends a request and closes the connection `stay` after its last byte,
/// without waiting for an answer.
Awaitable<> SendAndLeave(std::string ip,
                         http::verb method,
                         std::string body,
                         Seconds stay,
                         std::shared_ptr<Attempt> attempt);

/// Sends one request after the other on the same connection; reads the answer
/// to the second one at `read_rate` bytes per second, or as fast as it comes if
/// that is 0. Counts the bytes of the second answer's body also if it breaks
/// off.
Awaitable<> SendOnKeptConnection(std::string ip,
                                 Attempt& first,
                                 Attempt& second,
                                 double read_rate);

json::object MakeRoute(const std::string& prefix,
                       const std::string& kind,
                       const std::string& service);

/// Runs a case, which `make` creates, and returns the exit code of its program.
/// All nodes have ended then. TROUBLE=0 in the environment leaves out the
/// disruption.
template <typename Make>
int RunCase(const std::string& record_file,
            const std::string& program,
            Make make) {
  ::signal(SIGPIPE, SIG_IGN);
  const char* trouble = std::getenv("TROUBLE");
  const bool has_trouble = trouble == nullptr || std::string(trouble) != "0";
  Record record(record_file);
  asio::io_context context;
  int result = 2;
  std::string problem;
  try {
    Deployment deployment(context, program);
    const auto test_case = make(context, deployment, has_trouble, record);
    asio::co_spawn(context, test_case->Run(),
                   [&](std::exception_ptr exception, int code) {
                     try {
                       if (exception) {
                         std::rethrow_exception(exception);
                       }
                       result = code;
                     } catch (const std::exception& error) {
                       problem = error.what();
                     }
                     context.stop();
                   });
    context.run_for(std::chrono::seconds(100));
  } catch (const std::exception& error) {
    problem = error.what();
  }
  if (!problem.empty()) {
    record.Add("the case couldn't run: " + problem);
  }
  record.Add("exit code " + std::to_string(result));
  // Coroutines that still wait are left as they are.
  std::_Exit(result);
}

}  // namespace review

#endif  // DAISYWINCH_REVIEW_SUPPORT_2_DEPLOYMENT_H
