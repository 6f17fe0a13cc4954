#include "deployment.h"

#include <fcntl.h>
#include <signal.h>
#include <stdlib.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cstdio>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <iostream>
#include <random>
#include <utility>

namespace review {

namespace {

constexpr char kAttemptId[] = "X-Daisywinch-Attempt-Id";
constexpr char kSignature[] = "X-Daisywinch-Response-Signature";
constexpr std::uint16_t kPeerPort = 8543;
/// Port of the link in front of the node's peer port.
constexpr std::uint16_t kLinkPort = 8600;
constexpr std::uint16_t kNewsPort = 7000;
constexpr std::uint16_t kOperatorPort = 7015;
constexpr std::uint16_t kServerPort = 8547;
constexpr std::uint16_t kStorePort = 8545;
constexpr std::size_t kBodyPart = std::size_t{256} * 1024;
constexpr int kSlowReceiveBuffer = 64 * 1024;
constexpr std::size_t kBodyLimit = std::size_t{64} * 1024 * 1024;

Tcp::endpoint Endpoint(const std::string& ip, std::uint16_t port) {
  return {asio::ip::make_address(ip), port};
}

/// Accepts connections for as long as the context runs.
template <typename Handler>
void Listen(asio::io_context& context,
            const Tcp::endpoint& endpoint,
            Handler handler) {
  auto acceptor = std::make_shared<Tcp::acceptor>(context);
  ErrorCode error;
  acceptor->open(endpoint.protocol());
  acceptor->set_option(Tcp::acceptor::reuse_address(true));
  acceptor->bind(endpoint, error);
  if (!error) {
    acceptor->listen(asio::socket_base::max_listen_connections, error);
  }
  if (error) {
    throw CannotRun("a loopback address is not free: " + error.message());
  }
  Spawn(context,
        [](std::shared_ptr<Tcp::acceptor> acceptor,
           Handler handler) -> Awaitable<> {
          while (true) {
            ErrorCode error;
            Tcp::socket socket = co_await acceptor->async_accept(Await(error));
            if (!error) {
              socket.set_option(Tcp::no_delay(true), error);
              handler(std::move(socket));
            }
          }
        }(acceptor, handler));
}

/// Standard base64 with padding.
std::string EncodeBase64(const std::string& bytes) {
  constexpr char kDigits[] =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string text;
  for (std::size_t start = 0; start < bytes.size(); start += 3) {
    const std::size_t count = std::min<std::size_t>(3, bytes.size() - start);
    std::uint32_t group = 0;
    for (std::size_t index = 0; index < 3; ++index) {
      group = group << 8 |
              (index < count ? static_cast<unsigned char>(bytes[start + index])
                             : 0);
    }
    for (std::size_t index = 0; index < 4; ++index) {
      text += index <= count ? kDigits[group >> (18 - 6 * index) & 63] : '=';
    }
  }
  return text;
}

std::string QueryValue(std::string_view target, const std::string& name) {
  std::size_t start = target.find('?');
  while (start != std::string_view::npos) {
    const std::string_view rest = target.substr(start + 1);
    const std::string_view field = rest.substr(0, rest.find('&'));
    if (field.starts_with(name + "=")) {
      return std::string(field.substr(name.size() + 1));
    }
    start = target.find('&', start + 1);
  }
  return {};
}

}  // namespace

Awaitable<> Sleep(Seconds time) {
  asio::steady_timer timer(
      co_await asio::this_coro::executor,
      std::chrono::duration_cast<SteadyClock::duration>(time));
  ErrorCode ignored;
  co_await timer.async_wait(Await(ignored));
}

void Spawn(asio::io_context& context, Awaitable<> coroutine) {
  asio::co_spawn(context, std::move(coroutine), asio::detached);
}

Record::Record(const std::string& file_name)
    : file(std::make_unique<std::ofstream>(file_name)) {}

void Record::Add(const std::string& line) {
  *this->file << line << std::endl;
  std::cout << line << std::endl;
}

Store::Store(asio::io_context& context, const Tcp::endpoint& endpoint)
    : context(context) {
  Listen(context, endpoint, [this](Tcp::socket socket) {
    Spawn(this->context, this->Serve(std::move(socket)));
  });
}

void Store::Put(const std::string& key, const json::value& value) {
  ++this->revision;
  const json::object item = {{"Key", key},
                             {"Value", EncodeBase64(json::serialize(value))},
                             {"Rev", this->revision},
                             {"CreateRevision", this->revision},
                             {"Lease", 0}};
  this->items[key] = item;
  this->history.emplace_back(key, item);
  for (const std::shared_ptr<asio::steady_timer>& timer :
       std::exchange(this->watchers, {})) {
    timer->cancel();
  }
}

Awaitable<json::object> Store::Watch(std::string prefix,
                                     std::uint64_t after,
                                     milliseconds wait) {
  const TimePoint end = SteadyClock::now() + wait;
  while (true) {
    json::array events;
    for (const auto& [key, item] : this->history) {
      if (key.starts_with(prefix) &&
          item.at("Rev").to_number<std::uint64_t>() > after) {
        events.push_back(item);
      }
    }
    if (!events.empty() || SteadyClock::now() >= end) {
      co_return json::object{{"events", events}};
    }
    const std::shared_ptr<asio::steady_timer> timer =
        std::make_shared<asio::steady_timer>(this->context, end);
    this->watchers.push_back(timer);
    ErrorCode ignored;
    co_await timer->async_wait(Await(ignored));
  }
}

Awaitable<> Store::Serve(Tcp::socket socket) {
  boost::beast::flat_buffer buffer;
  ErrorCode error;
  while (true) {
    Request request;
    co_await http::async_read(socket, buffer, request, Await(error));
    if (error) {
      co_return;
    }
    const std::string target(request.target());
    const std::string prefix = QueryValue(target, "Prefix");
    json::object body;
    Response response(http::status::ok, 11);
    if (target.starts_with("/kv-range")) {
      json::array page;
      for (const auto& [key, item] : this->items) {
        if (key.starts_with(prefix) && key > QueryValue(target, "after")) {
          page.push_back(item);
        }
      }
      body = {{"items", page}, {"HasMore", false}};
    } else if (target.starts_with("/kv-watch")) {
      body = co_await this->Watch(
          prefix, std::stoull(QueryValue(target, "after")),
          milliseconds(std::stoi(QueryValue(target, "WaitMs"))));
    } else {
      response.result(http::status::not_found);
    }
    body["StoreRevision"] = this->revision;
    response.set(http::field::content_type, "application/json");
    response.body() = json::serialize(body);
    response.prepare_payload();
    co_await http::async_write(socket, response, Await(error));
    if (error) {
      co_return;
    }
  }
}

Server::Server(asio::io_context& context,
               const Tcp::endpoint& endpoint,
               std::string id,
               std::function<Work(const Request&)> work)
    : context(context), id(std::move(id)), work(std::move(work)) {
  Listen(context, endpoint, [this](Tcp::socket socket) {
    Spawn(this->context, this->Serve(std::move(socket)));
  });
}

Awaitable<> Server::Serve(Tcp::socket socket) {
  boost::beast::tcp_stream stream(std::move(socket));
  boost::beast::flat_buffer buffer;
  ErrorCode error;
  while (true) {
    http::request_parser<http::string_body> parser;
    parser.body_limit(kBodyLimit);
    co_await http::async_read(stream, buffer, parser, Await(error));
    if (error) {
      co_return;
    }
    const Request request = parser.release();
    Response response(http::status::ok, 11);
    response.set(kAttemptId, std::string(request[kAttemptId]));
    const std::string_view expected = request["X-Daisywinch-Expect-Instance"];
    if (request.target() == "/health") {
      response.erase(kAttemptId);
      response.set("X-Daisywinch-Instance-Id", this->id);
    } else if (!expected.empty() && expected != this->id) {
      response.result(http::status::misdirected_request);
      response.set("X-Daisywinch-Instance-Id", this->id);
    } else if (!co_await this->RunRequest(stream, request, response)) {
      co_return;
    }
    response.prepare_payload();
    co_await http::async_write(stream, response, Await(error));
    if (error) {
      co_return;
    }
    for (const std::shared_ptr<Run>& run : this->runs) {
      if (run->attempt_id == std::string(request[kAttemptId])) {
        run->answered = SteadyClock::now();
      }
    }
  }
}

Awaitable<bool> Server::RunRequest(boost::beast::tcp_stream& stream,
                                   const Request& request,
                                   Response& response) {
  const std::shared_ptr<Run> run = std::make_shared<Run>();
  run->attempt_id = std::string(request[kAttemptId]);
  run->path = std::string(request.target());
  run->started = SteadyClock::now();
  this->runs.push_back(run);
  const Work todo = this->work(request);
  const std::shared_ptr<bool> is_working = std::make_shared<bool>(true);
  const std::shared_ptr<asio::steady_timer> timer =
      std::make_shared<asio::steady_timer>(
          this->context,
          std::chrono::duration_cast<SteadyClock::duration>(todo.time));
  // Becomes readable when the caller closes the connection.
  Spawn(this->context,
        [](Tcp::socket& socket, std::shared_ptr<Run> run,
           std::shared_ptr<bool> is_working,
           std::shared_ptr<asio::steady_timer> timer) -> Awaitable<> {
          ErrorCode error;
          co_await socket.async_wait(Tcp::socket::wait_read, Await(error));
          if (!error && *is_working) {
            run->dropped = SteadyClock::now();
            timer->cancel();
          }
        }(stream.socket(), run, is_working, timer));
  ErrorCode ignored;
  co_await timer->async_wait(Await(ignored));
  *is_working = false;
  if (run->dropped) {
    co_return false;
  }
  stream.socket().cancel(ignored);
  response.set(kSignature, "3e1b.07.5a2.600.0.c9f2a4d1");
  response.body() = std::string(todo.response_bytes, 'x');
  co_return true;
}

Link::Link(asio::io_context& context,
           const Tcp::endpoint& listen,
           const Tcp::endpoint& node,
           double bytes_per_second)
    : context(context), node(node), bytes_per_second(bytes_per_second) {
  Listen(context, listen, [this](Tcp::socket socket) {
    Spawn(this->context, this->Pass(std::move(socket)));
  });
}

Awaitable<> Link::Pass(Tcp::socket from_peer) {
  const std::shared_ptr<Tcp::socket> peer =
      std::make_shared<Tcp::socket>(std::move(from_peer));
  const std::shared_ptr<Tcp::socket> to_node =
      std::make_shared<Tcp::socket>(this->context);
  ErrorCode error;
  co_await to_node->async_connect(this->node, Await(error));
  if (error) {
    // A port with no listener resets the connection.
    peer->set_option(asio::socket_base::linger(true, 0), error);
    peer->close(error);
    co_return;
  }
  to_node->set_option(Tcp::no_delay(true), error);
  Spawn(this->context, this->Pump(peer, to_node));
  Spawn(this->context, this->Pump(to_node, peer));
}

Awaitable<> Link::Pump(std::shared_ptr<Tcp::socket> from,
                       std::shared_ptr<Tcp::socket> to) {
  std::vector<char> bytes(16 * 1024);
  TimePoint free_at = SteadyClock::now();
  ErrorCode error;
  while (true) {
    const std::size_t count =
        co_await from->async_read_some(asio::buffer(bytes), Await(error));
    if (error) {
      break;
    }
    // A timer that fires late must not lower the bandwidth.
    free_at = std::max(free_at, SteadyClock::now() - milliseconds(5)) +
              std::chrono::duration_cast<SteadyClock::duration>(
                  Seconds(static_cast<double>(count) / this->bytes_per_second));
    const Seconds wait = free_at - SteadyClock::now();
    if (wait > milliseconds(1)) {
      co_await Sleep(wait);
    }
    co_await asio::async_write(*to, asio::buffer(bytes.data(), count),
                               Await(error));
    if (error) {
      break;
    }
  }
  ErrorCode ignored;
  if (error == asio::error::eof) {
    to->shutdown(Tcp::socket::shutdown_send, ignored);
  } else {
    from->close(ignored);
    to->close(ignored);
  }
}

Deployment::Deployment(asio::io_context& context, std::string program)
    : context(context), program(std::move(program)) {
  if (::access(this->program.c_str(), X_OK) != 0) {
    throw CannotRun(this->program + " was not built");
  }
  std::string name =
      (std::filesystem::temp_directory_path() / "review-XXXXXX").string();
  if (::mkdtemp(name.data()) == nullptr) {
    throw CannotRun("no temporary folder");
  }
  this->folder = name;
  std::random_device seed;
  this->network = "127." + std::to_string(64 + seed() % 60) + "." +
                  std::to_string(1 + seed() % 250) + ".";
  this->store = std::make_unique<Store>(
      context, Endpoint(this->network + "250", kStorePort));
}

Deployment::~Deployment() {
  for (const std::unique_ptr<Machine>& machine : this->machines) {
    if (machine->node > 0) {
      ::kill(machine->node, SIGKILL);
      ::waitpid(machine->node, nullptr, 0);
    }
  }
  std::error_code ignored;
  if (::getenv("REVIEW_KEEP_LOGS") == nullptr) {
    std::filesystem::remove_all(this->folder, ignored);
  } else {
    std::cout << "logs in " << this->folder << std::endl;
  }
}

Machine& Deployment::Add(const std::string& zone,
                         const std::string& service,
                         double link_bytes_per_second,
                         std::function<Work(const Request&)> work) {
  Machine& machine = *this->machines.emplace_back(std::make_unique<Machine>());
  const std::string number = std::to_string(this->machines.size());
  machine.name = "sidecar-" + zone + "-" + number;
  machine.zone = zone;
  machine.service = service;
  machine.server_id = "i-7f3a91c" + number;
  machine.ip = this->network + number;
  machine.server =
      std::make_unique<Server>(this->context, Endpoint(machine.ip, kServerPort),
                               machine.server_id, std::move(work));
  machine.link = std::make_unique<Link>(
      this->context, Endpoint(machine.ip, kLinkPort),
      Endpoint(machine.ip, kPeerPort), link_bytes_per_second);
  const std::int64_t born =
      std::chrono::duration_cast<milliseconds>(
          std::chrono::system_clock::now().time_since_epoch())
          .count();
  this->store->Put(
      "servers/" + machine.server_id,
      {{"Address", machine.ip + ":" + std::to_string(kServerPort)},
       {"born", born},
       {"Info",
        {{"Service", service},
         {"Version", "v1"},
         {"Zone", zone},
         {"Slots", 100}}},
       {"Status", {{"State", "ready"}, {"Seq", 1}, {"ColdLeft", "0ms"}}}});
  return machine;
}

Awaitable<> Deployment::Start(const json::object& routes) {
  json::object services;
  for (const std::unique_ptr<Machine>& machine : this->machines) {
    services[machine->service] = {
        {"HealthPath", "/health"}, {"MaxConnections", 766},
        {"Protocol", "h1"},        {"Tls", false},
        {"ColdStart", "3s"},       {"ColdPerS", 26.0}};
  }
  const json::object tenant = {{"ApiKeys", json::array{kKey}},
                               {"Priority", 1},
                               {"RatePerS", 0},
                               {"Burst", 0}};
  const json::object limits = {{"MaxHeaderBytes", 16384},
                               {"MaxBodyBytes", 67108864},
                               {"HeaderTimeout", "3000ms"},
                               {"IdleTimeout", "15000ms"}};
  this->store->Put("op/config", {{"Version", "00000007"},
                                 {"Routes", routes},
                                 {"Services", services},
                                 {"Limits", limits},
                                 {"Tenants", {{"pulo780", tenant}}}});
  for (const std::unique_ptr<Machine>& machine : this->machines) {
    this->StartNode(*machine);
  }
  const TimePoint deadline = SteadyClock::now() + std::chrono::seconds(20);
  for (const std::unique_ptr<Machine>& machine : this->machines) {
    while (!co_await IsReady(machine->ip)) {
      if (SteadyClock::now() > deadline) {
        throw CannotRun(machine->name + " did not become ready");
      }
      co_await Sleep(milliseconds(50));
    }
  }
}

void Deployment::StartNode(Machine& machine) {
  const auto address = [&machine](std::uint16_t port) {
    return machine.ip + ":" + std::to_string(port);
  };
  // The template of the deploy file, filled in; `peer_port` makes the calls to
  // other machines take their links.
  const json::object settings = {
      {"interface", "mesh"},
      {"vm", machine.name},
      {"data_centre", machine.zone},
      {"service", machine.service},
      {"caller_address", address(kOutboundPort)},
      {"peer_address", address(kPeerPort)},
      {"peer_port", kLinkPort},
      {"ready_address", address(kReadyPort)},
      {"news_address", address(kNewsPort)},
      {"operator_address", address(kOperatorPort)},
      {"target_address", address(kServerPort)},
      {"platform_address", this->network + "250:" + std::to_string(kStorePort)},
      {"first_start", true},
      {"bounds",
       {{"drain", "2500ms"},
        {"grace", "6s"},
        {"retry_ratio", "0.2"},
        {"retry_slack", "120"},
        {"retry_window", "10s"},
        {"quota_window", "5s"},
        {"quota_over", "0.25"},
        {"quota_slack", "20"},
        {"cold_over", "1.5"}}}};
  const std::string file = this->folder + "/" + machine.name + ".json";
  const std::string log = this->folder + "/" + machine.name + ".log";
  std::ofstream(file) << json::serialize(settings);
  const std::string argument = "--settings=" + file;
  machine.node = ::fork();
  if (machine.node == 0) {
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    const int output = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
    ::dup2(output, STDOUT_FILENO);
    ::dup2(output, STDERR_FILENO);
    ::execl(this->program.c_str(), this->program.c_str(), "node", "--verbose",
            argument.c_str(), static_cast<char*>(nullptr));
    ::_exit(127);
  }
}

void Deployment::Signal(const Machine& machine, int signal) {
  ::kill(machine.node, signal);
}

bool Deployment::HasExited(Machine& machine) {
  if (machine.node > 0 && ::waitpid(machine.node, nullptr, WNOHANG) != 0) {
    machine.node = -1;
  }
  return machine.node < 0;
}

Awaitable<bool> IsReady(std::string ip) {
  boost::beast::tcp_stream stream(co_await asio::this_coro::executor);
  stream.expires_after(std::chrono::seconds(1));
  ErrorCode error;
  co_await stream.async_connect(Endpoint(ip, Deployment::kReadyPort),
                                Await(error));
  Request request(http::verb::get, "/ready", 11);
  request.set(http::field::host, ip);
  Response response;
  boost::beast::flat_buffer buffer;
  if (!error) {
    co_await http::async_write(stream, request, Await(error));
  }
  if (!error) {
    co_await http::async_read(stream, buffer, response, Await(error));
  }
  co_return !error && response.result() == http::status::ok;
}

Request MakeRequest(http::verb method,
                    std::string body,
                    const Attempt& attempt) {
  Request request(method, attempt.path, 11);
  request.set(http::field::host, Deployment::kHost);
  request.set(kAttemptId, attempt.id);
  request.set(
      "X-Daisywinch-Timeout-Budget-Ms",
      std::to_string(
          std::chrono::duration_cast<milliseconds>(attempt.budget).count()));
  request.set(http::field::authorization,
              std::string("Bearer ") + Deployment::kKey);
  request.body() = std::move(body);
  request.prepare_payload();
  return request;
}

/// Writes the header, and then the body evenly over `body_time`.
Awaitable<> WriteRequest(boost::beast::tcp_stream& stream,
                         const Request& request,
                         Seconds body_time,
                         ErrorCode& error) {
  const TimePoint started = SteadyClock::now();
  http::request_serializer<http::string_body> serializer(request);
  serializer.split(true);
  co_await http::async_write_header(stream, serializer, Await(error));
  const std::string& content = request.body();
  for (std::size_t written = 0; !error && written < content.size();) {
    const std::size_t count =
        std::min(body_time > Seconds(0) ? kBodyPart : content.size(),
                 content.size() - written);
    co_await asio::async_write(
        stream, asio::buffer(content.data() + written, count), Await(error));
    written += count;
    const Seconds wait = started +
                         body_time * (static_cast<double>(written) /
                                      static_cast<double>(content.size())) -
                         SteadyClock::now();
    if (wait > milliseconds(1)) {
      co_await Sleep(wait);
    }
  }
}

Awaitable<> SendAndLeave(std::string ip,
                         http::verb method,
                         std::string body,
                         Seconds stay,
                         std::shared_ptr<Attempt> attempt) {
  boost::beast::tcp_stream stream(co_await asio::this_coro::executor);
  const Request request = MakeRequest(method, std::move(body), *attempt);
  ErrorCode error;
  stream.expires_after(std::chrono::seconds(5));
  co_await stream.async_connect(Endpoint(ip, Deployment::kOutboundPort),
                                Await(error));
  if (!error) {
    co_await WriteRequest(stream, request, Seconds(0), error);
  }
  attempt->sent = SteadyClock::now();
  co_await Sleep(stay);
  stream.close();
  attempt->ended = SteadyClock::now();
}

Awaitable<> Send(std::string ip,
                 http::verb method,
                 std::string body,
                 Seconds body_time,
                 double read_rate,
                 std::shared_ptr<Attempt> attempt) {
  boost::beast::tcp_stream stream(co_await asio::this_coro::executor);
  if (read_rate > 0) {
    // Otherwise the operating system reads ahead for the client.
    stream.socket().open(Tcp::v4());
    stream.socket().set_option(
        asio::socket_base::receive_buffer_size(kSlowReceiveBuffer));
  }
  const Request request = MakeRequest(method, std::move(body), *attempt);
  ErrorCode error;
  attempt->sent = SteadyClock::now();
  stream.expires_after(
      std::chrono::duration_cast<SteadyClock::duration>(attempt->budget) +
      std::chrono::seconds(2));
  co_await stream.async_connect(Endpoint(ip, Deployment::kOutboundPort),
                                Await(error));
  http::response_parser<http::string_body> parser;
  parser.body_limit(kBodyLimit);
  boost::beast::flat_buffer buffer;
  if (!error) {
    co_await WriteRequest(stream, request, body_time, error);
  }
  attempt->sent = SteadyClock::now();
  if (!error) {
    co_await http::async_read_header(stream, buffer, parser, Await(error));
  }
  const TimePoint answered = SteadyClock::now();
  for (std::size_t read = 0; !error && !parser.is_done();) {
    read +=
        co_await http::async_read_some(stream, buffer, parser, Await(error));
    Seconds wait(0);
    if (read_rate > 0) {
      wait = answered + Seconds(static_cast<double>(read) / read_rate) -
             SteadyClock::now();
    }
    if (wait > milliseconds(1)) {
      co_await Sleep(wait);
    }
  }
  attempt->ended = SteadyClock::now();
  if (!error) {
    const Response response = parser.release();
    attempt->status = static_cast<int>(response.result_int());
    attempt->is_signed = response.find(kSignature) != response.end();
    attempt->reason = std::string(response["X-Daisywinch-Reason"]);
    attempt->body_bytes = response.body().size();
  }
}

Awaitable<> SendOnKeptConnection(std::string ip,
                                 Attempt& first,
                                 Attempt& second,
                                 double read_rate) {
  boost::beast::tcp_stream stream(co_await asio::this_coro::executor);
  stream.socket().open(Tcp::v4());
  // Otherwise the operating system reads ahead for the client.
  stream.socket().set_option(
      asio::socket_base::receive_buffer_size(kSlowReceiveBuffer));
  ErrorCode error;
  co_await stream.async_connect(Endpoint(ip, Deployment::kOutboundPort),
                                Await(error));
  boost::beast::flat_buffer buffer;
  for (Attempt* attempt : {&first, &second}) {
    const Request request = MakeRequest(http::verb::get, "", *attempt);
    if (!error) {
      co_await http::async_write(stream, request, Await(error));
    }
    attempt->sent = SteadyClock::now();
    http::response_parser<http::string_body> parser;
    parser.body_limit(kBodyLimit);
    if (!error) {
      co_await http::async_read_header(stream, buffer, parser, Await(error));
    }
    const TimePoint answered = SteadyClock::now();
    while (!error && !parser.is_done()) {
      co_await http::async_read_some(stream, buffer, parser, Await(error));
      attempt->body_bytes = parser.get().body().size();
      if (attempt == &second && read_rate > 0) {
        const Seconds wait =
            answered +
            Seconds(static_cast<double>(attempt->body_bytes) / read_rate) -
            SteadyClock::now();
        if (wait > milliseconds(1)) {
          co_await Sleep(wait);
        }
      }
    }
    attempt->ended = SteadyClock::now();
    if (!error) {
      attempt->status = static_cast<int>(parser.get().result_int());
      attempt->is_signed = parser.get().find(kSignature) != parser.get().end();
    }
  }
}

json::object MakeRoute(const std::string& prefix,
                       const std::string& kind,
                       const std::string& service) {
  return {{"Host", Deployment::kHost},
          {"Prefix", prefix},
          {"Kind", kind},
          {"Timeout", "6000ms"},
          {"TargetLatency", "2000ms"},
          {"Priority", 1},
          {"MaxAttempts", 2},
          {"Public", false},
          {"Service", service}};
}

}  // namespace review
