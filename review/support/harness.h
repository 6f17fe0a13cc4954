// Stand-ins for the platform, its store, servers and clients, shared by the
// scripts of the review. Blocking sockets with one thread per connection; only
// the C++ library and POSIX are needed.
#ifndef REVIEW_SUPPORT_HARNESS_H
#define REVIEW_SUPPORT_HARNESS_H

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/stat.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <cctype>
#include <chrono>
#include <condition_variable>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <sstream>
#include <string>
#include <thread>
#include <vector>

namespace review {

using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

constexpr int kExitHeld = 0;
constexpr int kExitBroken = 1;
constexpr int kExitNotRun = 2;

inline double Seconds() {
  static const Clock::time_point start = Clock::now();
  return std::chrono::duration<double>(Clock::now() - start).count();
}

inline void SleepMs(int ms) {
  std::this_thread::sleep_for(milliseconds(ms));
}

// Writes what was sent, answered and run, one line each.
class Record {
 public:
  void Open(const std::string& name) {
    this->file = std::fopen(name.c_str(), "w");
  }
  void Line(const char* format, ...) __attribute__((format(printf, 2, 3))) {
    const std::lock_guard<std::mutex> lock(this->mutex);
    if (this->file == nullptr) {
      return;
    }
    std::fprintf(this->file, "%9.3f ", Seconds());
    va_list arguments;
    va_start(arguments, format);
    std::vfprintf(this->file, format, arguments);
    va_end(arguments);
    std::fputc('\n', this->file);
    std::fflush(this->file);
  }

 private:
  std::mutex mutex;
  std::FILE* file = nullptr;
};

inline Record& TheRecord() {
  static Record* record = new Record();
  return *record;
}

struct Endpoint {
  std::string ip;
  int port = 0;
  std::string Text() const {
    return this->ip + ":" + std::to_string(this->port);
  }
};

inline sockaddr_in ToSocketAddress(const Endpoint& endpoint) {
  sockaddr_in address = {};
  address.sin_family = AF_INET;
  address.sin_port = htons(static_cast<std::uint16_t>(endpoint.port));
  inet_pton(AF_INET, endpoint.ip.c_str(), &address.sin_addr);
  return address;
}

inline int Listen(const Endpoint& endpoint) {
  const int handle = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const int on = 1;
  ::setsockopt(handle, SOL_SOCKET, SO_REUSEADDR, &on, sizeof(on));
  const sockaddr_in address = ToSocketAddress(endpoint);
  if (::bind(handle, reinterpret_cast<const sockaddr*>(&address),
             sizeof(address)) != 0 ||
      ::listen(handle, 1024) != 0) {
    ::close(handle);
    return -1;
  }
  return handle;
}

inline int Connect(const Endpoint& endpoint) {
  const int handle = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
  const sockaddr_in address = ToSocketAddress(endpoint);
  if (::connect(handle, reinterpret_cast<const sockaddr*>(&address),
                sizeof(address)) != 0) {
    ::close(handle);
    return -1;
  }
  const int on = 1;
  ::setsockopt(handle, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
  return handle;
}

inline bool WriteAll(int handle, const char* data, std::size_t size) {
  while (size > 0) {
    const ssize_t count = ::send(handle, data, size, MSG_NOSIGNAL);
    if (count <= 0) {
      return false;
    }
    data += count;
    size -= static_cast<std::size_t>(count);
  }
  return true;
}

inline bool WriteAll(int handle, const std::string& text) {
  return WriteAll(handle, text.data(), text.size());
}

// One HTTP/1.1 request or response.
struct Message {
  std::string start_line;
  std::map<std::string, std::string> headers;  // Names in lower case.
  std::string body;

  std::string Header(const std::string& name) const {
    const auto found = this->headers.find(name);
    return found == this->headers.end() ? "" : found->second;
  }
  // Second word of the start line: the target of a request.
  std::string Target() const {
    const std::size_t first = this->start_line.find(' ');
    const std::size_t second = this->start_line.find(' ', first + 1);
    return this->start_line.substr(first + 1, second - first - 1);
  }
  int Status() const { return std::atoi(this->start_line.c_str() + 9); }
};

enum class ReadResult { kComplete, kEnded, kReset, kTimeout, kPartial };

// Reads messages from a connection.
class Reader {
 public:
  explicit Reader(int handle) : handle(handle) {}

  ReadResult Read(Message& message, Clock::time_point deadline) {
    message = Message();
    std::size_t head_end = 0;
    while ((head_end = this->buffer.find("\r\n\r\n")) == std::string::npos) {
      const ReadResult result = this->Fill(deadline);
      if (result != ReadResult::kComplete) {
        return this->buffer.empty() ? result : Cut(result);
      }
    }
    std::istringstream head(this->buffer.substr(0, head_end + 2));
    this->buffer.erase(0, head_end + 4);
    std::string line;
    std::getline(head, line);
    message.start_line = line.substr(0, line.size() - 1);
    while (std::getline(head, line)) {
      const std::size_t colon = line.find(':');
      if (colon == std::string::npos) {
        continue;
      }
      std::string name = line.substr(0, colon);
      for (char& character : name) {
        character = static_cast<char>(std::tolower(character));
      }
      const std::size_t value = line.find_first_not_of(' ', colon + 1);
      message.headers[name] = value == std::string::npos
                                  ? ""
                                  : line.substr(value, line.size() - 1 - value);
    }
    const std::size_t length =
        std::strtoull(message.Header("content-length").c_str(), nullptr, 10);
    while (this->buffer.size() < length) {
      const ReadResult result = this->Fill(deadline);
      if (result != ReadResult::kComplete) {
        message.body = this->buffer;
        return Cut(result);
      }
    }
    message.body = this->buffer.substr(0, length);
    this->buffer.erase(0, length);
    return ReadResult::kComplete;
  }

 private:
  static ReadResult Cut(ReadResult result) {
    return result == ReadResult::kTimeout ? result : ReadResult::kPartial;
  }
  ReadResult Fill(Clock::time_point deadline) {
    const int left = static_cast<int>(std::max<std::int64_t>(
        0, std::chrono::duration_cast<milliseconds>(deadline - Clock::now())
               .count()));
    pollfd descriptor = {this->handle, POLLIN, 0};
    if (::poll(&descriptor, 1, left) <= 0) {
      return ReadResult::kTimeout;
    }
    char bytes[65536];
    const ssize_t count = ::recv(this->handle, bytes, sizeof(bytes), 0);
    if (count == 0) {
      return ReadResult::kEnded;
    }
    if (count < 0) {
      return ReadResult::kReset;
    }
    this->buffer.append(bytes, static_cast<std::size_t>(count));
    return ReadResult::kComplete;
  }

  int handle;
  std::string buffer;
};

inline const char* ToText(ReadResult result) {
  switch (result) {
    case ReadResult::kComplete:
      return "complete";
    case ReadResult::kEnded:
      return "closed";
    case ReadResult::kReset:
      return "reset";
    case ReadResult::kTimeout:
      return "timeout";
    case ReadResult::kPartial:
      return "cut in the middle";
  }
  return "";
}

inline std::string Base64(const std::string& bytes) {
  constexpr char kDigits[] =
      "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
  std::string text;
  for (std::size_t at = 0; at < bytes.size(); at += 3) {
    unsigned value = 0;
    for (std::size_t index = 0; index < 3; ++index) {
      value = value * 256 + (at + index < bytes.size()
                                 ? static_cast<unsigned char>(bytes[at + index])
                                 : 0);
    }
    text += kDigits[value >> 18];
    text += kDigits[(value >> 12) & 63];
    text += at + 1 < bytes.size() ? kDigits[(value >> 6) & 63] : '=';
    text += at + 2 < bytes.size() ? kDigits[value & 63] : '=';
  }
  return text;
}

inline std::string QueryValue(const std::string& target,
                              const std::string& name) {
  std::size_t at = target.find('?');
  while (at != std::string::npos) {
    const std::size_t start = at + 1;
    at = target.find('&', start);
    const std::string pair =
        target.substr(start, at == std::string::npos ? at : at - start);
    if (pair.rfind(name + "=", 0) == 0) {
      std::string value = pair.substr(name.size() + 1);
      std::size_t percent = 0;
      while ((percent = value.find('%', percent)) != std::string::npos) {
        value.replace(percent, 3, 1,
                      static_cast<char>(std::strtol(
                          value.substr(percent + 1, 2).c_str(), nullptr, 16)));
        ++percent;
      }
      return value;
    }
  }
  return "";
}

// Accepts connections and handles each one on a thread of its own.
class Acceptor {
 public:
  using Handler = std::function<void(int)>;

  bool Start(const Endpoint& endpoint, Handler new_handler) {
    this->handler = std::move(new_handler);
    this->listener = Listen(endpoint);
    if (this->listener < 0) {
      return false;
    }
    std::thread([this] {
      while (true) {
        const int handle =
            ::accept4(this->listener, nullptr, nullptr, SOCK_CLOEXEC);
        if (handle < 0) {
          if (errno == EMFILE || errno == ECONNABORTED || errno == EINTR) {
            SleepMs(1);
            continue;
          }
          return;
        }
        const int on = 1;
        ::setsockopt(handle, IPPROTO_TCP, TCP_NODELAY, &on, sizeof(on));
        std::thread([this, handle] { this->handler(handle); }).detach();
      }
    }).detach();
    return true;
  }

 private:
  Handler handler;
  int listener = -1;
};

// The platform's store, as PROTOCOL.md describes it: lists and watches.
class Store {
 public:
  bool Start(const Endpoint& endpoint) {
    this->acceptors.push_back(std::make_unique<Acceptor>());
    return this->acceptors.back()->Start(
        endpoint,
        [this, endpoint](int handle) { this->Serve(handle, endpoint); });
  }
  // From now on calls at the endpoints get no response, also not later: their
  // connections stay open and return nothing further.
  void RejectCallsAt(const std::set<std::string>& new_endpoints) {
    const std::lock_guard<std::mutex> lock(this->mutex);
    this->rejecting_endpoints = new_endpoints;
  }
  // Returns the revision; the acknowledgement of the change.
  std::uint64_t Put(const std::string& key, const std::string& value) {
    return this->Apply({key, value, 0, false});
  }
  std::uint64_t Remove(const std::string& key) {
    return this->Apply({key, "", 0, true});
  }

 private:
  struct Change {
    std::string key;
    std::string value;
    std::uint64_t revision = 0;
    bool is_removed = false;
  };

  std::uint64_t Apply(Change change) {
    const std::lock_guard<std::mutex> lock(this->mutex);
    change.revision = ++this->revision;
    if (change.is_removed) {
      this->items.erase(change.key);
    } else {
      this->items[change.key] = change;
    }
    this->history.push_back(change);
    this->changed.notify_all();
    return this->revision;
  }
  static std::string ToJson(const Change& change) {
    const std::string revision = std::to_string(change.revision);
    if (change.is_removed) {
      return "{\"Key\":\"" + change.key + "\",\"Rev\":" + revision +
             ",\"Removed\":true}";
    }
    return "{\"Key\":\"" + change.key + "\",\"Value\":\"" +
           Base64(change.value) + "\",\"Rev\":" + revision +
           ",\"CreateRevision\":" + revision + ",\"Lease\":0}";
  }
  std::string Answer(const std::string& target) {
    const std::string prefix = QueryValue(target, "Prefix");
    std::unique_lock<std::mutex> lock(this->mutex);
    if (target.rfind("/kv-range", 0) == 0) {
      const std::string after = QueryValue(target, "after");
      std::string list;
      for (const auto& [key, item] : this->items) {
        if (key.rfind(prefix, 0) == 0 && key > after) {
          list += (list.empty() ? "" : ",") + ToJson(item);
        }
      }
      return "{\"items\":[" + list + "],\"HasMore\":false,\"StoreRevision\":" +
             std::to_string(this->revision) + "}";
    }
    const std::uint64_t after =
        std::strtoull(QueryValue(target, "after").c_str(), nullptr, 10);
    const Clock::time_point deadline =
        Clock::now() +
        milliseconds(std::atoi(QueryValue(target, "WaitMs").c_str()));
    while (true) {
      std::string events;
      for (const Change& change : this->history) {
        if (change.revision > after && change.key.rfind(prefix, 0) == 0) {
          events += (events.empty() ? "" : ",") + ToJson(change);
        }
      }
      if (!events.empty() || Clock::now() >= deadline) {
        return "{\"events\":[" + events +
               "],\"StoreRevision\":" + std::to_string(this->revision) + "}";
      }
      this->changed.wait_until(lock, deadline);
    }
  }
  bool IsRejecting(const Endpoint& endpoint) {
    const std::lock_guard<std::mutex> lock(this->mutex);
    return this->rejecting_endpoints.contains(endpoint.Text());
  }
  void Serve(int handle, const Endpoint& endpoint) {
    Reader reader(handle);
    Message request;
    bool is_silent = false;
    while (reader.Read(request, Clock::now() + std::chrono::hours(1)) ==
           ReadResult::kComplete) {
      is_silent = is_silent || this->IsRejecting(endpoint);
      if (is_silent) {
        TheRecord().Line("the store gives no response at %s to %s",
                         endpoint.Text().c_str(), request.Target().c_str());
        continue;
      }
      const std::string body = this->Answer(request.Target());
      is_silent = this->IsRejecting(endpoint);
      if (is_silent) {
        TheRecord().Line("the store gives no response at %s to %s",
                         endpoint.Text().c_str(), request.Target().c_str());
        continue;
      }
      WriteAll(handle,
               "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\n"
               "Content-Length: " +
                   std::to_string(body.size()) + "\r\n\r\n" + body);
    }
    ::close(handle);
  }

  std::vector<std::unique_ptr<Acceptor>> acceptors;
  std::mutex mutex;
  std::condition_variable changed;
  std::map<std::string, Change> items;
  std::vector<Change> history;
  std::uint64_t revision = 100;
  std::set<std::string> rejecting_endpoints;
};

// A machine: its addresses, its node process and what its settings say.
struct Machine {
  std::string name;
  std::string zone;
  std::string service;
  std::string ip;
  Endpoint store;
  std::string server_id;
  int memory_mb = 260;

  Endpoint Inbound() const { return {this->ip, 8543}; }
  Endpoint Outbound() const { return {this->ip, 8548}; }
  Endpoint Ready() const { return {this->ip, 8546}; }
  Endpoint App() const { return {this->ip, 8547}; }

  // The fields that the platform fills in, by the names of DEPLOY.md.
  std::map<std::string, std::string> Fields() const {
    return {{"NodeName", this->name},
            {"Zone", this->zone},
            {"Service", this->service},
            {"Ip", this->ip},
            {"ListenAddrs.Outbound", this->Outbound().Text()},
            {"ListenAddrs.Inbound", this->Inbound().Text()},
            {"ListenAddrs.Ready", this->Ready().Text()},
            {"PortRange.0", "7000"},
            {"PortRange.1", "7015"},
            {"AppAddr", this->App().Text()},
            {"PlatformStore.Address", this->store.Text()},
            {"FirstStart", "true"},
            {"Bounds.Drain", "2000ms"},
            {"Bounds.Grace", "6s"},
            {"Bounds.RetryBudgetRatio", "0.2"},
            {"Bounds.RetrySlack", "47"},
            {"Bounds.BudgetWindow", "10s"},
            {"Bounds.QuotaWindow", "5s"},
            {"Bounds.QuotaOver", "0.25"},
            {"Bounds.QuotaSlack", "20"},
            {"Bounds.ColdOver", "1.5"}};
  }
  // The record that the server writes into the store.
  std::string ServerRecord(const std::string& state,
                           int sequence,
                           const std::string& cold_left = "0ms") const {
    return "{\"Address\":\"" + this->App().Text() +
           "\",\"born\":1764900000000,"
           "\"Info\":{\"Service\":\"" +
           this->service + "\",\"Version\":\"v1\",\"Zone\":\"" + this->zone +
           "\",\"Slots\":108},\"Status\":{\"State\":\"" + state +
           "\",\"Seq\":" + std::to_string(sequence) + ",\"ColdLeft\":\"" +
           cold_left + "\"}}";
  }
};

inline std::string ReadText(const std::string& name) {
  std::ifstream file(name);
  std::ostringstream text;
  text << file.rdbuf();
  return text.str();
}

// Fills in the project's template of the settings.
inline std::string FillTemplate(std::string text, const Machine& machine) {
  for (const auto& [name, value] : machine.Fields()) {
    const std::string placeholders[] = {"{{" + name + "}}",
                                        "{{" + name + "|json}}"};
    for (const std::string& placeholder : placeholders) {
      std::size_t at = 0;
      while ((at = text.find(placeholder)) != std::string::npos) {
        text.replace(at, placeholder.size(), value);
      }
    }
  }
  return text;
}

// The node process of one machine, started as the deploy file says.
class Node {
 public:
  Node(const Machine& machine, const std::string& folder)
      : machine(machine), folder(folder) {}

  void Start() {
    const std::string settings =
        this->folder + "/" + this->machine.name + ".conf";
    std::ofstream(settings)
        << FillTemplate(ReadText("deploy/settings.json"), this->machine);
    const std::string log = this->folder + "/" + this->machine.name + ".log";
    const std::string option = "--settings=" + settings;
    const pid_t child = ::fork();
    if (child == 0) {
      // The node ends with the script, also if the script is killed.
      ::prctl(PR_SET_PDEATHSIG, SIGKILL);
      const int output =
          ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
      ::dup2(output, STDOUT_FILENO);
      ::dup2(output, STDERR_FILENO);
      ::execl("target/daisywinch", "target/daisywinch", "node", "--verbose",
              option.c_str(), nullptr);
      ::_exit(127);
    }
    this->pid = child;
    TheRecord().Line("%s: node started, process %d", this->machine.name.c_str(),
                     static_cast<int>(child));
  }
  void Signal(int signal) const { ::kill(this->pid, signal); }
  // Kills the process and waits for its end.
  void Kill() {
    if (this->pid > 0) {
      ::kill(this->pid, SIGKILL);
      ::waitpid(this->pid, nullptr, 0);
      this->pid = 0;
    }
  }
  // Whether the process has ended by itself.
  bool HasEnded() {
    if (this->pid > 0 && ::waitpid(this->pid, nullptr, WNOHANG) == this->pid) {
      this->pid = 0;
    }
    return this->pid == 0;
  }
  // Resident memory in megabytes.
  double MemoryMb() const {
    std::ifstream file("/proc/" + std::to_string(this->pid) + "/statm");
    std::uint64_t total = 0;
    std::uint64_t resident = 0;
    file >> total >> resident;
    return static_cast<double>(resident) *
           static_cast<double>(::sysconf(_SC_PAGESIZE)) / (1024.0 * 1024.0);
  }
  bool IsReady() const {
    const int handle = Connect(this->machine.Ready());
    if (handle < 0) {
      return false;
    }
    WriteAll(handle, "GET /ready HTTP/1.1\r\nHost: ready\r\n\r\n");
    Message answer;
    Reader reader(handle);
    const bool is_ready =
        reader.Read(answer, Clock::now() + milliseconds(800)) ==
            ReadResult::kComplete &&
        answer.Status() == 200;
    ::close(handle);
    return is_ready;
  }
  bool WaitUntilReady(double seconds) const {
    const double end = Seconds() + seconds;
    while (Seconds() < end) {
      if (this->IsReady()) {
        return true;
      }
      SleepMs(50);
    }
    return false;
  }

  Machine machine;
  std::string folder;
  pid_t pid = 0;
};

// Kills a node whose memory exceeds the limit of its machine, as the platform
// does, and starts it again after a short delay.
class MemoryGuard {
 public:
  void Watch(std::vector<Node*> new_nodes) {
    this->nodes = std::move(new_nodes);
    this->thread = std::thread([this] {
      while (!this->is_stopped) {
        for (Node* node : this->nodes) {
          this->Check(*node);
        }
        SleepMs(2);
      }
    });
  }
  void Stop() {
    this->is_stopped = true;
    if (this->thread.joinable()) {
      this->thread.join();
    }
  }
  int Ends(const Node& node) {
    const std::lock_guard<std::mutex> lock(this->mutex);
    return this->ends[&node];
  }
  double Peak(const Node& node) {
    const std::lock_guard<std::mutex> lock(this->mutex);
    return this->peaks[&node];
  }

 private:
  void Check(Node& node) {
    const std::lock_guard<std::mutex> lock(this->mutex);
    const auto restart = this->restarts.find(&node);
    if (restart != this->restarts.end()) {
      if (Clock::now() >= restart->second) {
        this->restarts.erase(restart);
        node.Start();
      }
      return;
    }
    const double memory = node.MemoryMb();
    this->peaks[&node] = std::max(this->peaks[&node], memory);
    const bool is_over = memory > node.machine.memory_mb;
    if (!is_over && !node.HasEnded()) {
      return;
    }
    node.Kill();
    ++this->ends[&node];
    this->restarts[&node] = Clock::now() + milliseconds(1000);
    TheRecord().Line("%s: %s at %.0f MB of %d MB", node.machine.name.c_str(),
                     is_over ? "memory over the limit, killed by the platform"
                             : "process ended by itself",
                     memory, node.machine.memory_mb);
  }

  std::vector<Node*> nodes;
  std::thread thread;
  std::atomic<bool> is_stopped = false;
  std::mutex mutex;
  std::map<const Node*, int> ends;
  std::map<const Node*, double> peaks;
  std::map<const Node*, Clock::time_point> restarts;
};

// One attempt of a client on a connection.
struct Attempt {
  std::string method = "GET";
  std::string host = "hulo84.example";
  std::string path;
  std::string id;
  std::string key;
  std::string body;
  int timeout_ms = 5000;

  std::string Text() const {
    std::string text = this->method + " " + this->path +
                       " HTTP/1.1\r\nHost: " + this->host +
                       "\r\nX-Daisywinch-Attempt-Id: " + this->id +
                       "\r\nX-Daisywinch-Timeout-Budget-Ms: " +
                       std::to_string(this->timeout_ms) + "\r\n";
    if (!this->key.empty()) {
      text += "Authorization: Bearer " + this->key + "\r\n";
    }
    if (!this->body.empty() || this->method != "GET") {
      text += "Content-Length: " + std::to_string(this->body.size()) + "\r\n";
    }
    return text + "\r\n" + this->body;
  }
};

inline std::string SignedAnswer(const Message& request,
                                const std::string& body,
                                const std::string& server_id) {
  return "HTTP/1.1 200 OK\r\nX-Daisywinch-Attempt-Id: " +
         request.Header("x-daisywinch-attempt-id") +
         "\r\nX-Daisywinch-Response-Signature: " + server_id +
         ".1.2.3\r\nKeep-Alive: timeout=10\r\nContent-Length: " +
         std::to_string(body.size()) + "\r\n\r\n" + body;
}

// An application server. `serve` writes the answer to a request and returns
// false to close the connection.
class Server {
 public:
  using ServeFunction = std::function<bool(const Message& request, int handle)>;

  bool Start(const Endpoint& endpoint,
             const std::string& new_id,
             ServeFunction new_serve) {
    this->id = new_id;
    this->serve = std::move(new_serve);
    return this->acceptor.Start(endpoint,
                                [this](int handle) { this->Handle(handle); });
  }

  std::string id;

 private:
  void Handle(int handle) {
    Reader reader(handle);
    Message request;
    bool is_open = true;
    while (is_open &&
           reader.Read(request, Clock::now() + std::chrono::seconds(10)) ==
               ReadResult::kComplete) {
      const std::string expected =
          request.Header("x-daisywinch-expect-instance");
      if (request.Target() == "/health") {
        is_open = WriteAll(
            handle, "HTTP/1.1 200 OK\r\nX-Daisywinch-Instance-Id: " + this->id +
                        "\r\nContent-Length: 0\r\n\r\n");
      } else if (!expected.empty() && expected != this->id) {
        is_open = WriteAll(
            handle,
            "HTTP/1.1 421 Misdirected Request\r\nX-Daisywinch-Attempt-Id: " +
                request.Header("x-daisywinch-attempt-id") +
                "\r\nX-Daisywinch-Instance-Id: " + this->id +
                "\r\nContent-Length: 0\r\n\r\n");
      } else {
        is_open = this->serve(request, handle);
      }
    }
    ::close(handle);
  }

  ServeFunction serve;
  Acceptor acceptor;
};

// Reads and records; 0 if the connection ended without a complete answer.
inline int SendAttempt(int handle,
                       Reader& reader,
                       const Attempt& attempt,
                       ReadResult& result) {
  if (!WriteAll(handle, attempt.Text())) {
    result = ReadResult::kReset;
    return 0;
  }
  Message answer;
  result = reader.Read(answer,
                       Clock::now() + milliseconds(attempt.timeout_ms + 1000));
  return result == ReadResult::kComplete ? answer.Status() : 0;
}

// Folder of the script, temporary folder, and addresses that no other run uses.
struct Setting {
  std::string case_folder;
  std::string temporary_folder;
  std::string network;
  bool has_trouble = true;

  explicit Setting(const char* folder) : case_folder(folder) {
    Seconds();
    ::signal(SIGPIPE, SIG_IGN);
    const char* trouble = std::getenv("TROUBLE");
    this->has_trouble = trouble == nullptr || std::string(trouble) != "0";
    const char* base = std::getenv("TMPDIR");
    std::string pattern =
        std::string(base == nullptr ? "/tmp" : base) + "/review-XXXXXX";
    this->temporary_folder = ::mkdtemp(pattern.data());
    const int pid = ::getpid();
    this->network = "127." + std::to_string(60 + pid / 250 % 60) + "." +
                    std::to_string(1 + pid % 250);
    TheRecord().Open(this->case_folder + "/record.txt");
    TheRecord().Line("trouble: %s", this->has_trouble ? "yes" : "no");
  }
  std::string Ip(int host) const {
    return this->network + "." + std::to_string(host);
  }
};

// Ends the run: kills the nodes and removes the temporary folder.
[[noreturn]] inline void Finish(const Setting& setting,
                                const std::vector<Node*>& nodes,
                                int code) {
  for (Node* node : nodes) {
    node->Kill();
  }
  if (std::getenv("REVIEW_KEEP") == nullptr) {
    const std::string command = "rm -rf '" + setting.temporary_folder + "'";
    if (std::system(command.c_str()) != 0) {
      TheRecord().Line("the temporary folder could not be removed");
    }
  }
  TheRecord().Line("exit code %d", code);
  std::_Exit(code);
}

}  // namespace review

#endif  // REVIEW_SUPPORT_HARNESS_H
