// A planned stop of one node while large messages cross the link to another
// machine. Two modes: "downloads", where large responses come from that
// machine, and "uploads", where a large request goes to it.
//
// Machine 1 is where clients send their requests; its node gets SIGTERM.
// Machine 2 has the server that runs them. The platform asks machine 1 each
// second if it is ready; after two misses its clients send nothing new.
//
// LOST is broken if, after the SIGTERM, a request at which the server is at
// work is broken off and gets an answer of the node's own in place of the
// server's. Not counted, as the rule says: the deadline or the route's timeout
// was reached, or the server was still at work in the last sixth of the grace
// period on a request that was sent no later than 3 s after the SIGTERM.
//
// Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't
// run.
#include <signal.h>

#include <cstdio>
#include <cstdlib>
#include <iostream>

#include "deployment.h"

namespace review {

namespace {

constexpr Seconds kGrace{6};
constexpr Seconds kRouteTimeout{6};
constexpr Seconds kPollInterval{1};
constexpr Seconds kSteadyInterval{0.1};

struct Mode {
  /// Bandwidth of a machine's link in each direction, in bytes per second.
  double link_rate;
  /// Machines whose servers run the requests.
  int back_count;
  int order_count;
  /// Times of an order and of a short request at the server.
  Seconds order_time;
  Seconds short_time;
  /// Large messages, their size, and when clients begin to send their requests,
  /// after the SIGTERM.
  int count;
  std::size_t bytes;
  Seconds begun_after;
  /// Time over which a client sends the body of an upload.
  Seconds body_time;
  /// Bytes per second that a client reads of a download; 0: all that come.
  double read_rate;
  /// When the orders are sent, after the SIGTERM.
  Seconds order_sent_after;
  bool is_upload;
};

const Mode kDownloads = {
    25e6,         1,          1, Seconds(2.4), Seconds(0.03), 14, 3'500'000,
    Seconds(1.0), Seconds(0), 0, Seconds(1.0), false};
const Mode kUploads = {25e6,
                       1,
                       1,
                       Seconds(2.4),
                       Seconds(0.8),
                       1,
                       30'000'000,
                       Seconds(1.2),
                       Seconds(0.7),
                       0,
                       Seconds(0.9),
                       true};
const Mode kSlowReaders = {
    125e6,        2,          4,   Seconds(2.4), Seconds(0.03), 10, 14'000'000,
    Seconds(1.0), Seconds(0), 4e6, Seconds(0.9), false};

class Case {
 public:
  Case(asio::io_context& context,
       Deployment& deployment,
       const Mode& mode,
       bool has_trouble,
       Record& record)
      : context(context),
        deployment(deployment),
        mode(mode),
        has_trouble(has_trouble),
        record(record) {}

  Awaitable<int> Run() {
    Machine& front = this->deployment.Add(
        "galway-a", "orders-front", this->mode.link_rate, [](const Request&) {
          return Work{Seconds(0.01), 100};
        });
    std::vector<const Server*> servers;
    for (int number = 0; number < this->mode.back_count; ++number) {
      const Machine& back = this->deployment.Add(
          "galway-a", "orders-" + std::to_string(number), this->mode.link_rate,
          [this](const Request& request) { return this->WorkOn(request); });
      servers.push_back(back.server.get());
    }
    json::object routes;
    for (int number = 0; number < this->mode.back_count; ++number) {
      const std::string digit = std::to_string(number);
      const std::string service = "orders-" + digit;
      const auto add_route = [&](const std::string& name,
                                 const std::string& kind) {
        routes["r-" + name + digit] =
            MakeRoute("/" + name + digit + "/", kind, service);
      };
      add_route("image", "download");
      add_route("upload", "upload");
      add_route("order", "unsafe");
      add_route("status", "safe");
    }
    co_await this->deployment.Start(routes);
    this->ip = front.ip;
    // Until the targets are known to be warm, few requests reach them.
    co_await Sleep(Seconds(1.5));
    Spawn(this->context, this->SendSteadily());
    co_await Sleep(Seconds(2));

    this->stopped_at = SteadyClock::now();
    this->record.SetOrigin(this->stopped_at);
    if (this->has_trouble) {
      this->deployment.Signal(front, SIGTERM);
      this->record.Add("0.00 SIGTERM to the node of machine 1");
    }
    Spawn(this->context, this->PollReadiness());
    for (int number = 0; number < this->mode.order_count; ++number) {
      Spawn(this->context,
            this->SendAt(this->mode.order_sent_after,
                         this->PathOf("order", number), http::verb::post, 300));
    }
    for (int number = 0; number < this->mode.count; ++number) {
      Spawn(this->context, this->mode.is_upload
                               ? this->SendAt(this->mode.begun_after,
                                              this->PathOf("upload", number),
                                              http::verb::put, this->mode.bytes)
                               : this->SendAt(this->mode.begun_after,
                                              this->PathOf("image", number),
                                              http::verb::get, 0));
    }
    co_await Sleep(kGrace + Seconds(1));
    this->is_steady = false;
    co_await Sleep(Seconds(1));
    co_return this->Judge(servers);
  }

 private:
  /// Requests take turns between the services.
  std::string PathOf(const std::string& name, int number) const {
    return "/" + name + std::to_string(number % this->mode.back_count) + "/" +
           std::to_string(number);
  }

  Work WorkOn(const Request& request) const {
    if (request.target().starts_with("/order")) {
      return {this->mode.order_time, 400};
    }
    if (request.target().starts_with("/image")) {
      return {Seconds(0.1), this->mode.bytes};
    }
    return {request.target().starts_with("/upload") ? Seconds(0.1)
                                                    : this->mode.short_time,
            1500};
  }

  Awaitable<> SendAt(Seconds after,
                     std::string path,
                     http::verb method,
                     std::size_t body_bytes) {
    co_await Sleep(after);
    co_await this->SendOne(path, method, body_bytes);
  }

  Awaitable<> SendOne(std::string path,
                      http::verb method,
                      std::size_t body_bytes) {
    const std::shared_ptr<Attempt> attempt = std::make_shared<Attempt>();
    char id[17];
    std::snprintf(id, sizeof(id), "9c41d07b%08zx", this->attempts.size());
    attempt->id = id;
    attempt->path = std::move(path);
    attempt->budget = Seconds(6);
    this->attempts.push_back(attempt);
    const bool is_large_body = body_bytes == this->mode.bytes;
    const bool is_download = attempt->path.starts_with("/image");
    co_await Send(this->ip, method, std::string(body_bytes, 'b'),
                  is_large_body ? this->mode.body_time : Seconds(0),
                  is_download ? this->mode.read_rate : 0, attempt);
  }

  /// Short requests, each on its own connection, for as long as clients send.
  Awaitable<> SendSteadily() {
    for (int number = 0; this->is_steady; ++number) {
      Spawn(this->context,
            this->SendOne(this->PathOf("status", number), http::verb::get, 0));
      co_await Sleep(kSteadyInterval);
    }
  }

  /// The platform's question, once a second. Its clock has no fixed relation to
  /// the signal; the first question here comes 0.3 s after it.
  Awaitable<> PollReadiness() {
    co_await Sleep(Seconds(0.3));
    for (int misses = 0; this->is_steady;) {
      misses = co_await IsReady(this->ip) ? 0 : misses + 1;
      if (misses == 2) {
        this->record.Add(this->Time(SteadyClock::now()) +
                         " second miss; clients send nothing new");
        this->is_steady = false;
      }
      co_await Sleep(kPollInterval);
    }
  }

  std::string Time(TimePoint time) const {
    char text[32];
    std::snprintf(text, sizeof(text), "%.2f", this->record.At(time));
    return text;
  }

  int Judge(const std::vector<const Server*>& servers) {
    std::map<std::string, std::shared_ptr<review::Run>> runs;
    for (const Server* server : servers) {
      for (const std::shared_ptr<review::Run>& run : server->Runs()) {
        runs[run->attempt_id] = run;
      }
    }
    int lost = 0;
    int steady_served = 0;
    for (const std::shared_ptr<Attempt>& attempt : this->attempts) {
      const std::shared_ptr<review::Run> run =
          runs.contains(attempt->id) ? runs[attempt->id] : nullptr;
      const bool is_served = attempt->status == 200 && attempt->is_signed;
      if (attempt->path.starts_with("/status") && is_served) {
        ++steady_served;
        continue;
      }
      std::string line =
          this->Time(attempt->sent) + " sent " + attempt->id + " " +
          attempt->path + "; " + this->Time(attempt->ended) + " status " +
          std::to_string(attempt->status) +
          (attempt->is_signed ? " of the server, " : " of the node, ") +
          std::to_string(attempt->body_bytes) + " bytes" +
          (attempt->reason.empty() ? "" : ", reason " + attempt->reason);
      if (run) {
        line += "; run from " + this->Time(run->started) +
                (run->answered  ? ", answered " + this->Time(*run->answered)
                 : run->dropped ? ", dropped " + this->Time(*run->dropped)
                                : ", not answered");
      } else {
        line += "; not run";
      }
      if (this->IsLost(*attempt, run.get())) {
        ++lost;
        line += "; LOST: broken off while the server was at work";
      }
      this->record.Add(line);
    }
    this->record.Add(std::to_string(steady_served) +
                     " short requests were served");
    this->record.Add("LOST is " +
                     (lost > 0
                          ? "broken by " + std::to_string(lost) + " requests"
                          : std::string("kept")));
    return lost > 0 ? 1 : 0;
  }

  /// The rule as written.
  bool IsLost(const Attempt& attempt, const review::Run* run) const {
    if (!this->has_trouble || attempt.is_signed || run == nullptr) {
      return false;
    }
    const bool is_at_work = attempt.ended > run->started &&
                            (!run->answered || attempt.ended < *run->answered);
    const bool is_in_window =
        attempt.ended > this->stopped_at &&
        attempt.ended < this->stopped_at + kGrace + Seconds(1);
    const Seconds time_left = std::min(attempt.budget, kRouteTimeout) -
                              (attempt.ended - attempt.sent);
    const bool is_over_time = time_left < Seconds(0.1);
    const bool is_excused =
        attempt.ended >= this->stopped_at + kGrace * 5 / 6 &&
        attempt.sent <= this->stopped_at + Seconds(3);
    return is_at_work && is_in_window && !is_over_time && !is_excused;
  }

  asio::io_context& context;
  Deployment& deployment;
  Mode mode;
  bool has_trouble;
  Record& record;
  std::string ip;
  TimePoint stopped_at;
  bool is_steady = true;
  std::vector<std::shared_ptr<Attempt>> attempts;
};

}  // namespace

}  // namespace review

int main(int argc, char** argv) {
  if (argc != 4) {
    std::cerr << "usage: stop_beside_large_messages "
                 "downloads|uploads|slow-readers PROGRAM "
                 "RECORD\n";
    return 2;
  }
  const std::string name = argv[1];
  const review::Mode mode = name == "uploads"     ? review::kUploads
                            : name == "downloads" ? review::kDownloads
                                                  : review::kSlowReaders;
  return review::RunCase(
      argv[3], argv[2],
      [mode](review::asio::io_context& context, review::Deployment& deployment,
             bool has_trouble, review::Record& record) {
        return std::make_shared<review::Case>(context, deployment, mode,
                                              has_trouble, record);
      });
}
