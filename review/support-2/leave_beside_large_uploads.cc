// Clients leave before their deadline while uploads cross the link to another
// machine.
//
// Machine 1 is where clients send their requests, machine 2 has the server that
// runs them. One client begins an upload of 10 MB, 36 others send one of 0.9 MB
// each right after it. Three in ten leave 0.45 s after their last byte.
//
// GONE is broken if more than a few requests reach the server over half a
// second after their clients closed the connection. Here more than three count
// as more than a few.
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
constexpr int kUploads = 36;
constexpr std::size_t kFirstBytes = 10'000'000;
constexpr std::size_t kUploadBytes = 900'000;
constexpr Seconds kStay{0.45};
constexpr Seconds kAllowed{0.5};
constexpr int kFew = 3;

class Case {
 public:
  Case(asio::io_context& context,
       Deployment& deployment,
       bool has_trouble,
       Record& record)
      : context(context),
        deployment(deployment),
        has_trouble(has_trouble),
        record(record) {}

  Awaitable<int> Run() {
    const auto work = [](const Request&) { return Work{Seconds(0.16), 400}; };
    Machine& front = this->deployment.Add("ar-centro-a", "portal",
                                          kLinkBytesPerSecond, work);
    Machine& back = this->deployment.Add("ar-centro-a", "carteras",
                                         kLinkBytesPerSecond, work);
    json::object routes;
    routes["r-upload"] = MakeRoute("/upload/", "upload", "carteras");
    co_await this->deployment.Start(routes);
    this->ip = front.ip;
    // Until the targets are known to be warm, few requests reach them.
    co_await Sleep(Seconds(2.5));
    this->record.SetOrigin(SteadyClock::now());
    this->SendOne(kFirstBytes, false);
    co_await Sleep(Seconds(0.03));
    for (int number = 0; number < kUploads; ++number) {
      this->SendOne(kUploadBytes, this->has_trouble && number % 10 < 3);
    }
    co_await Sleep(Seconds(8));
    co_return this->Judge(*back.server);
  }

 private:
  void SendOne(std::size_t bytes, bool leaves) {
    const std::shared_ptr<Attempt> attempt = std::make_shared<Attempt>();
    char id[17];
    std::snprintf(id, sizeof(id), "9c41d07b%08zx", this->attempts.size());
    attempt->id = id;
    attempt->path = "/upload/" + std::to_string(this->attempts.size());
    attempt->budget = Seconds(5);
    this->attempts.emplace_back(attempt, leaves);
    std::string body(bytes, 'b');
    Spawn(this->context, leaves
                             ? SendAndLeave(this->ip, http::verb::put,
                                            std::move(body), kStay, attempt)
                             : Send(this->ip, http::verb::put, std::move(body),
                                    Seconds(0), 0, attempt));
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
    int late = 0;
    for (const auto& [attempt, leaves] : this->attempts) {
      const auto run = runs.find(attempt->id);
      std::string line =
          this->Time(attempt->sent) + " sent " + attempt->id + " " +
          attempt->path + "; " + this->Time(attempt->ended) +
          (leaves ? " client left"
                  : " status " + std::to_string(attempt->status));
      line += run == runs.end()
                  ? "; not run"
                  : "; run from " + this->Time(run->second->started);
      if (leaves && run != runs.end() &&
          run->second->started > attempt->ended + kAllowed) {
        ++late;
        line += "; reached the server over 0.5 s after the close";
      }
      this->record.Add(line);
    }
    this->record.Add(std::to_string(late) +
                     " requests reached the server over 0.5 s after the close; "
                     "GONE is " +
                     (late > kFew ? "broken" : "kept"));
    return late > kFew ? 1 : 0;
  }

  asio::io_context& context;
  Deployment& deployment;
  bool has_trouble;
  Record& record;
  std::string ip;
  std::vector<std::pair<std::shared_ptr<Attempt>, bool>> attempts;
};

}  // namespace

}  // namespace review

int main(int argc, char** argv) {
  if (argc != 3) {
    std::cerr << "usage: leave_beside_large_uploads PROGRAM RECORD\n";
    return 2;
  }
  return review::RunCase(
      argv[2], argv[1],
      [](review::asio::io_context& context, review::Deployment& deployment,
         bool has_trouble, review::Record& record) {
        return std::make_shared<review::Case>(context, deployment, has_trouble,
                                              record);
      });
}
