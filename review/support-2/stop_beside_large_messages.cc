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

/// 200 Mbit/s, the link of a machine in the sheet of the named site.
constexpr double kLinkBytesPerSecond = 25e6;
constexpr Seconds kGrace{6};
constexpr Seconds kRouteTimeout{6};
constexpr Seconds kPollInterval{1};
constexpr Seconds kSteadyInterval{0.1};

struct Mode {
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
  /// When the order is sent, after the SIGTERM.
  Seconds order_sent_after;
  bool is_upload;
};

const Mode kDownloads = {Seconds(2.4), Seconds(0.03), 14,           3'500'000,
                         Seconds(1.0), Seconds(0),    Seconds(1.0), false};
const Mode kUploads = {Seconds(2.4), Seconds(0.8), 1,
                       30'000'000,   Seconds(1.2), Seconds(0.7),
                       Seconds(0.9), true};

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
        "galway-a", "orders-front", kLinkBytesPerSecond, [](const Request&) {
          return Work{Seconds(0.01), 100};
        });
    Machine& back = this->deployment.Add(
        "galway-a", "orders", kLinkBytesPerSecond,
        [this](const Request& request) { return this->WorkOn(request); });
    json::object routes;
    routes["r-image"] = MakeRoute("/image/", "download", "orders");
    routes["r-upload"] = MakeRoute("/upload/", "upload", "orders");
    routes["r-order"] = MakeRoute("/order/", "unsafe", "orders");
    routes["r-status"] = MakeRoute("/status/", "safe", "orders");
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
    Spawn(this->context, this->SendAt(this->mode.order_sent_after, "/order/1",
                                      http::verb::post, 300));
    for (int number = 0; number < this->mode.count; ++number) {
      const std::string suffix = std::to_string(number);
      Spawn(this->context,
            this->mode.is_upload
                ? this->SendAt(this->mode.begun_after, "/upload/" + suffix,
                               http::verb::put, this->mode.bytes)
                : this->SendAt(this->mode.begun_after, "/image/" + suffix,
                               http::verb::get, 0));
    }
    co_await Sleep(kGrace + Seconds(1));
    this->is_steady = false;
    co_await Sleep(Seconds(1));
    co_return this->Judge(*back.server);
  }

 private:
  Work WorkOn(const Request& request) const {
    if (request.target().starts_with("/order/")) {
      return {this->mode.order_time, 400};
    }
    if (request.target().starts_with("/image/")) {
      return {Seconds(0.1), this->mode.bytes};
    }
    return {request.target().starts_with("/upload/") ? Seconds(0.1)
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
    co_await Send(
        this->ip, method, std::string(body_bytes, 'b'),
        body_bytes == this->mode.bytes ? this->mode.body_time : Seconds(0),
        attempt);
  }

  /// Short requests, each on its own connection, for as long as clients send.
  Awaitable<> SendSteadily() {
    for (int number = 0; this->is_steady; ++number) {
      Spawn(this->context, this->SendOne("/status/" + std::to_string(number),
                                         http::verb::get, 0));
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

  int Judge(const Server& server) {
    std::map<std::string, std::shared_ptr<review::Run>> runs;
    for (const std::shared_ptr<review::Run>& run : server.Runs()) {
      runs[run->attempt_id] = run;
    }
    int lost = 0;
    int steady_served = 0;
    for (const std::shared_ptr<Attempt>& attempt : this->attempts) {
      const std::shared_ptr<review::Run> run =
          runs.contains(attempt->id) ? runs[attempt->id] : nullptr;
      const bool is_served = attempt->status == 200 && attempt->is_signed;
      if (attempt->path.starts_with("/status/") && is_served) {
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
    std::cerr << "usage: stop_beside_large_messages downloads|uploads PROGRAM "
                 "RECORD\n";
    return 2;
  }
  const bool is_upload = std::string(argv[1]) == "uploads";
  return review::RunCase(
      argv[3], argv[2],
      [is_upload](review::asio::io_context& context,
                  review::Deployment& deployment, bool has_trouble,
                  review::Record& record) {
        return std::make_shared<review::Case>(
            context, deployment,
            is_upload ? review::kUploads : review::kDownloads, has_trouble,
            record);
      });
}
