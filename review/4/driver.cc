// A node gets SIGTERM while the server beside it works on bookings and makes
// calls of its own through the node.
#include "../support/harness.h"

#include <random>

using namespace review;

namespace {

constexpr int kBookings = 100;
constexpr int kDeadlineMs = 6000;
// Time for which a booking makes one lookup after the other.
constexpr double kBookingSeconds = 4.5;
// Work of a lookup, and of one in a hundred: as those of `order-place` in
// sites/corrib-mesh.toml (mean 120, tail 0.01, max 880).
constexpr int kWorkMs = 120;
constexpr int kLongWorkMs = 880;
constexpr double kLongPart = 0.01;
constexpr double kGraceSeconds = 6;
// Calls that were sent later than this after the SIGTERM may not be broken off,
// also if their server is still at work at the end of the grace period.
constexpr double kExcusedSeconds = 3;
// Time that must be left to the deadline of a call that counts.
constexpr double kDeadlineMargin = 0.3;

std::string Configuration() {
  const auto route = [](const std::string& name, const std::string& kind,
                        const std::string& service, const std::string& open) {
    return "\"" + name + "\":{\"Host\":\"hulo84.example\",\"Prefix\":\"/" +
           name + "/\",\"Kind\":\"" + kind + "\",\"Timeout\":\"6000ms\"," +
           "\"TargetLatency\":\"1500ms\",\"Priority\":1,\"Service\":\"" +
           service + "\",\"MaxAttempts\":2,\"Public\":" + open + "}";
  };
  const auto service = [](const std::string& name) {
    return "\"" + name + "\":{\"HealthPath\":\"/health\"," +
           "\"MaxConnections\":1264,\"Protocol\":\"h1\",\"Tls\":false," +
           "\"ColdStart\":\"3s\",\"ColdPerS\":26.0}";
  };
  return "{\"Version\":\"00000007\",\"Routes\":{" +
         route("booking", "unsafe", "recojos", "false") + "," +
         route("lookup", "safe", "mapa-puntos", "true") + "},\"Services\":{" +
         service("recojos") + "," + service("mapa-puntos") +
         "},\"Limits\":{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":67108864,"
         "\"HeaderTimeout\":\"3000ms\",\"IdleTimeout\":\"15000ms\"},"
         "\"Tenants\":{\"clinic\":{\"ApiKeys\":[\"key-of-clinic\"],"
         "\"Priority\":1}}}";
}

// What a server knows of a lookup.
struct Lookup {
  double started_at = 0;
  double ended_at = 0;
};

}  // namespace

int main(int argc, char** argv) {
  Setting setting(argc > 1 ? argv[1] : "review/4");
  const Endpoint store_address = {setting.Ip(250), 8545};
  Store store;
  if (!store.Start(store_address)) {
    return kExitNotRun;
  }
  store.Put("op/config", Configuration());

  std::mutex mutex;
  std::map<std::string, Lookup> lookups;
  std::mt19937 random(7);
  std::atomic<double> terminated_at = 1e9;
  std::atomic<int> answered = 0;
  std::atomic<int> broken_off = 0;
  std::vector<Machine> machines;
  for (int number = 1; number <= 3; ++number) {
    Machine machine;
    machine.name = "sidecar-quito-a-" + std::to_string(number);
    machine.zone = "quito-a";
    machine.service = number == 1 ? "recojos" : "mapa-puntos";
    machine.ip = setting.Ip(number);
    machine.store = store_address;
    machine.server_id = "i-7f3a91c" + std::to_string(number);
    machines.push_back(machine);
  }
  // Makes lookups through the node beside the server until the time is over.
  const auto book = [&](const Message& request) {
    const double begun_at = Seconds();
    const double deadline =
        begun_at +
        std::atof(request.Header("x-daisywinch-timeout-budget-ms").c_str()) /
            1000;
    int number = 0;
    int handle = -1;
    bool has_failed = false;
    while (!has_failed && Seconds() < begun_at + kBookingSeconds) {
      if (handle < 0) {
        handle = Connect(machines[0].Outbound());
        if (handle < 0) {
          return false;
        }
      }
      Attempt attempt;
      attempt.id = request.Header("x-daisywinch-attempt-id") + "-" +
                   std::to_string(number++);
      attempt.path = "/lookup/" + attempt.id;
      attempt.timeout_ms = static_cast<int>((deadline - Seconds()) * 1000);
      if (attempt.timeout_ms <= 0) {
        break;
      }
      const double sent_at = Seconds();
      WriteAll(handle, attempt.Text());
      Message answer;
      Reader reader(handle);
      const ReadResult result = reader.Read(
          answer, Clock::now() + milliseconds(attempt.timeout_ms + 500));
      const double now = Seconds();
      const int status = result == ReadResult::kComplete ? answer.Status() : 0;
      const bool is_signed =
          !answer.Header("x-daisywinch-response-signature").empty();
      {
        const std::lock_guard<std::mutex> lock(mutex);
        const Lookup lookup = lookups[attempt.id];
        const bool is_at_work = lookup.started_at > 0 && lookup.ended_at == 0;
        const double after = sent_at - terminated_at;
        const bool counts = !is_signed && is_at_work &&
                            after > kExcusedSeconds &&
                            now < terminated_at + kGraceSeconds &&
                            now < deadline - kDeadlineMargin;
        if (status == 200) {
          ++answered;
        } else if (status != 503) {
          TheRecord().Line(
              "lookup %s sent %.3f s after the SIGTERM -> %d %s %.3f s after "
              "it, %.3f s before its deadline, its server %s%s",
              attempt.id.c_str(), after, status, ToText(result),
              now - terminated_at, deadline - now,
              is_at_work ? "is at work" : "is not at work",
              counts ? ": BROKEN OFF" : "");
        }
        broken_off += counts && status != 503 ? 1 : 0;
      }
      has_failed = status != 200;
      if (result != ReadResult::kComplete ||
          answer.Header("connection") == "close") {
        ::close(handle);
        handle = -1;
      }
    }
    if (handle >= 0) {
      ::close(handle);
    }
    return !has_failed;
  };
  std::vector<std::unique_ptr<Server>> servers;
  for (const Machine& machine : machines) {
    servers.push_back(std::make_unique<Server>());
    Server& server = *servers.back();
    const bool is_booking = machine.service == "recojos";
    const bool is_listening = server.Start(
        machine.App(), machine.server_id,
        [&, is_booking](const Message& request, int handle) {
          const std::string id = request.Header("x-daisywinch-attempt-id");
          if (is_booking) {
            TheRecord().Line("%s runs %s", server.id.c_str(), id.c_str());
            if (book(request)) {
              return WriteAll(handle,
                              SignedAnswer(request, "booked", server.id));
            }
            TheRecord().Line("%s: booking %s failed, a lookup failed",
                             server.id.c_str(), id.c_str());
            return WriteAll(handle,
                            "HTTP/1.1 500 Internal Server Error\r\n"
                            "X-Daisywinch-Attempt-Id: " +
                                id + "\r\nX-Daisywinch-Response-Signature: " +
                                server.id + ".1\r\nContent-Length: 0\r\n\r\n");
          }
          bool is_long = false;
          {
            const std::lock_guard<std::mutex> lock(mutex);
            lookups[id].started_at = Seconds();
            is_long = std::bernoulli_distribution(kLongPart)(random);
          }
          SleepMs(is_long ? kLongWorkMs : kWorkMs);
          {
            const std::lock_guard<std::mutex> lock(mutex);
            lookups[id].ended_at = Seconds();
          }
          return WriteAll(handle, SignedAnswer(request, "found", server.id));
        });
    if (!is_listening) {
      return kExitNotRun;
    }
    store.Put("servers/" + machine.server_id, machine.ServerRecord("ready", 1));
  }
  std::vector<std::unique_ptr<Node>> nodes;
  std::vector<Node*> node_list;
  for (const Machine& machine : machines) {
    nodes.push_back(std::make_unique<Node>(machine, setting.temporary_folder));
    nodes.back()->Start();
    node_list.push_back(nodes.back().get());
  }
  for (Node* node : node_list) {
    if (!node->WaitUntilReady(20)) {
      Finish(setting, node_list, kExitNotRun);
    }
  }
  SleepMs(2000);
  std::atomic<int> bookings_answered = 0;
  std::vector<std::thread> clients;
  for (int number = 0; number < kBookings; ++number) {
    // The bookings begin in the two seconds after the SIGTERM.
    clients.emplace_back([&, number] {
      SleepMs(500 + number * 20);
      const int handle = Connect(machines[1 + number % 2].Outbound());
      Reader reader(handle);
      Attempt attempt;
      attempt.method = "POST";
      attempt.id = "b" + std::to_string(number);
      attempt.path = "/booking/" + attempt.id;
      attempt.key = "key-of-clinic";
      attempt.body = "pickup";
      attempt.timeout_ms = kDeadlineMs;
      ReadResult result = ReadResult::kComplete;
      const int status = SendAttempt(handle, reader, attempt, result);
      TheRecord().Line("%s at %s -> %d %s", attempt.id.c_str(),
                       machines[1 + number % 2].name.c_str(), status,
                       ToText(result));
      bookings_answered += status == 200 ? 1 : 0;
      ::close(handle);
    });
  }
  SleepMs(300);
  if (setting.has_trouble) {
    terminated_at = Seconds();
    nodes[0]->Signal(SIGTERM);
    TheRecord().Line("%s: SIGTERM", machines[0].name.c_str());
    while (!nodes[0]->HasEnded() && Seconds() < terminated_at + kGraceSeconds) {
      SleepMs(5);
    }
    TheRecord().Line("%s: the node %s %.3f s after the SIGTERM",
                     machines[0].name.c_str(),
                     nodes[0]->HasEnded() ? "ended" : "is killed",
                     Seconds() - terminated_at);
    nodes[0]->Kill();
  }
  for (std::thread& client : clients) {
    client.join();
  }
  TheRecord().Line(
      "bookings answered 200: %d of %d; lookups answered 200: %d; lookups sent "
      "later than %.0f s after the SIGTERM and broken off while their server "
      "was at work: %d",
      bookings_answered.load(), kBookings, answered.load(), kExcusedSeconds,
      broken_off.load());
  Finish(setting, node_list, broken_off > 0 ? kExitBroken : kExitHeld);
}
