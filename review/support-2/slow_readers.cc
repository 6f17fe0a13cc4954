// Clients read large answers slowly but steadily on kept connections.
//
// Each of six clients sends a short request, and then one for a large file on
// the same connection, and reads the file at a rate at which it takes half of
// the time that the client has. The server and its node are sound and idle
// otherwise.
//
// LOST is broken if more than three requests from kept connections were passed
// on to the server and the node closed their connections without a whole
// answer.
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

/// 1,000 Mbit/s, the link of a machine in the sheet of the named site.
constexpr double kLinkBytesPerSecond = 125e6;
constexpr int kClients = 6;
constexpr std::size_t kFileBytes = 10'000'000;
constexpr double kSlowBytesPerSecond = 400'000;
constexpr Seconds kBudget{50};
constexpr int kAllowed = 3;

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
    Machine& front =
        this->deployment.Add("galway-a", "catalogue", kLinkBytesPerSecond,
                             [](const Request&) { return Work{}; });
    Machine& back = this->deployment.Add(
        "galway-a", "mouldfiles", kLinkBytesPerSecond,
        [](const Request& request) {
          return Work{Seconds(0.07), request.target().starts_with("/image/big")
                                         ? kFileBytes
                                         : std::size_t{1000}};
        });
    json::object routes;
    json::object route = MakeRoute("/image/", "download", "mouldfiles");
    route["Timeout"] = "60s";
    routes["r-image"] = route;
    co_await this->deployment.Start(routes);
    this->ip = front.ip;
    // Until the targets are known to be warm, few requests reach them.
    co_await Sleep(Seconds(2.5));
    this->record.SetOrigin(SteadyClock::now());
    for (int number = 0; number < kClients; ++number) {
      this->attempts.push_back(std::make_shared<Attempt>());
      Spawn(this->context, this->Fetch(number, this->attempts.back()));
    }
    co_await Sleep(
        Seconds(static_cast<double>(kFileBytes) / kSlowBytesPerSecond) +
        Seconds(5));
    co_return this->Judge(*back.server);
  }

 private:
  Awaitable<> Fetch(int number, std::shared_ptr<Attempt> attempt) {
    Attempt first;
    first.id = "9c41d07be2a3000" + std::to_string(number);
    first.path = "/image/small";
    first.budget = kBudget;
    attempt->id = "9c41d07be2a3100" + std::to_string(number);
    attempt->path = "/image/big" + std::to_string(number);
    attempt->budget = kBudget;
    co_await SendOnKeptConnection(this->ip, first, *attempt,
                                  this->has_trouble ? kSlowBytesPerSecond : 0);
  }

  int Judge(const Server& server) {
    int lost = 0;
    for (const std::shared_ptr<Attempt>& attempt : this->attempts) {
      bool has_run = false;
      for (const std::shared_ptr<review::Run>& run : server.Runs()) {
        has_run |= run->attempt_id == attempt->id && run->answered;
      }
      char line[200];
      const double ended =
          attempt->ended == TimePoint() ? -1 : this->record.At(attempt->ended);
      std::snprintf(
          line, sizeof(line),
          "%.2f sent %s %s; %.2f %s after %zu bytes; the server %s",
          this->record.At(attempt->sent), attempt->id.c_str(),
          attempt->path.c_str(), ended,
          attempt->status == 200 ? "whole answer" : "connection ended",
          attempt->body_bytes,
          has_run ? "had handed over its answer" : "didn't answer");
      this->record.Add(line);
      lost += attempt->status != 200 && has_run && ended >= 0 ? 1 : 0;
    }
    this->record.Add(std::to_string(lost) +
                     " requests from kept connections lost their answers; "
                     "LOST is " +
                     (lost > kAllowed ? "broken" : "kept"));
    return lost > kAllowed ? 1 : 0;
  }

  asio::io_context& context;
  Deployment& deployment;
  bool has_trouble;
  Record& record;
  std::string ip;
  std::vector<std::shared_ptr<Attempt>> attempts;
};

}  // namespace

}  // namespace review

int main(int argc, char** argv) {
  if (argc != 3) {
    std::cerr << "usage: slow_readers PROGRAM RECORD\n";
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
