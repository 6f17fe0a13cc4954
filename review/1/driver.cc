// The configuration grows twice by many routes, and clients use them.
#include "../support/harness.h"

#include <random>

using namespace review;

namespace {

constexpr int kFirstRoutes = 8;
// As in the day trouble-2 of sites/corrib-mesh.toml: big_config, count = 405.
constexpr int kMoreRoutes = 405;
constexpr int kChanges = 2;
constexpr int kTimeoutMs = 1200;
constexpr int kDeadlineMs = 5000;
constexpr int kWorkMs = 15;
constexpr int kClientsPerMachine = 30;
constexpr int kPauseMs = 100;
constexpr double kLateSeconds = 0.5;
constexpr int kRunSeconds = 50;
// Time from the acknowledgement of the configuration until requests count.
constexpr int kSettleSeconds = 4;

std::string Configuration(int version, int routes) {
  char number[16];
  std::snprintf(number, sizeof(number), "%08x", version);
  std::string list;
  for (int route = 0; route < routes; ++route) {
    const std::string name = "r-" + std::to_string(route);
    list += (list.empty() ? "\"" : ",\"") + name +
            "\":{\"Host\":\"hulo84.example\",\"Prefix\":\"/" + name +
            "/\",\"Kind\":\"safe\",\"Timeout\":\"" +
            std::to_string(kTimeoutMs) +
            "ms\",\"TargetLatency\":\"800ms\",\"Priority\":2,"
            "\"Service\":\"mapa-puntos\",\"MaxAttempts\":2,\"Public\":true}";
  }
  return std::string("{\"Version\":\"") + number + "\",\"Routes\":{" + list +
         "},\"Services\":{\"mapa-puntos\":{\"HealthPath\":\"/health\","
         "\"MaxConnections\":748,\"Protocol\":\"h1\",\"Tls\":false,"
         "\"ColdStart\":\"3s\",\"ColdPerS\":16.0}},"
         "\"Limits\":{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":67108864,"
         "\"HeaderTimeout\":\"3000ms\",\"IdleTimeout\":\"15000ms\"},"
         "\"Tenants\":{\"clinic\":{\"ApiKeys\":[\"key-of-clinic\"],"
         "\"Priority\":1}}}";
}

}  // namespace

int main(int argc, char** argv) {
  Setting setting(argc > 1 ? argv[1] : "review/1");
  const Endpoint store_address = {setting.Ip(250), 8545};
  Store store;
  if (!store.Start(store_address)) {
    return kExitNotRun;
  }
  store.Put("op/config", Configuration(7, kFirstRoutes));
  std::vector<Machine> machines;
  std::vector<std::unique_ptr<Server>> servers;
  for (int number = 1; number <= 2; ++number) {
    Machine machine;
    machine.name = "sidecar-quito-a-" + std::to_string(number);
    machine.zone = "quito-a";
    machine.service = "mapa-puntos";
    machine.ip = setting.Ip(number);
    machine.store = store_address;
    machine.server_id = "i-7f3a91c" + std::to_string(number);
    machines.push_back(machine);
    servers.push_back(std::make_unique<Server>());
    Server& server = *servers.back();
    const bool is_listening = server.Start(
        machine.App(), machine.server_id,
        [&server](const Message& request, int handle) {
          SleepMs(kWorkMs);
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
  std::atomic<int> routes = kFirstRoutes;
  std::atomic<double> counted_from = 1e9;
  std::atomic<int> served = 0;
  std::atomic<int> other = 0;
  // Requests without an answer at the timeout of their route, and half a second
  // later.
  std::atomic<int> unanswered = 0;
  std::atomic<int> late = 0;
  std::atomic<bool> is_stopped = false;
  std::vector<std::thread> clients;
  for (int number = 0; number < 2 * kClientsPerMachine; ++number) {
    clients.emplace_back([&, number] {
      std::mt19937 random(static_cast<unsigned>(number));
      int sequence = 0;
      while (!is_stopped) {
        const int handle = Connect(machines[number % 2].Outbound());
        if (handle < 0) {
          SleepMs(100);
          continue;
        }
        Reader reader(handle);
        bool is_open = true;
        while (is_open && !is_stopped) {
          Attempt attempt;
          attempt.id =
              "c" + std::to_string(number) + "-" + std::to_string(sequence++);
          attempt.path = "/r-" +
                         std::to_string(static_cast<int>(random() % routes)) +
                         "/" + attempt.id;
          attempt.timeout_ms = kDeadlineMs;
          const double sent_at = Seconds();
          ReadResult result = ReadResult::kComplete;
          const int status = SendAttempt(handle, reader, attempt, result);
          const double took = Seconds() - sent_at;
          const bool counts = sent_at >= counted_from;
          const bool is_unanswered = took > kTimeoutMs / 1000.0;
          const bool is_late = took > kTimeoutMs / 1000.0 + kLateSeconds;
          if (counts) {
            ++(status == 200 ? served : other);
            unanswered += is_unanswered ? 1 : 0;
            late += is_late ? 1 : 0;
          }
          TheRecord().Line(
              "%s %s at %s -> %d %s after %.3f s%s", attempt.id.c_str(),
              attempt.path.c_str(), machines[number % 2].name.c_str(), status,
              ToText(result), took, counts && is_late ? ": LATE" : "");
          is_open = status != 0;
          SleepMs(kPauseMs);
        }
        ::close(handle);
      }
    });
  }
  SleepMs(4000);
  for (int change = 1; setting.has_trouble && change <= kChanges; ++change) {
    const int count = kFirstRoutes + change * kMoreRoutes;
    store.Put("op/config", Configuration(7 + 2 * change, count));
    TheRecord().Line("the store acknowledged a configuration with %d routes",
                     count);
    // The new routes are in force within ConfigApply (2 s).
    SleepMs(2500);
    routes = count;
  }
  SleepMs(kSettleSeconds * 1000);
  counted_from = Seconds();
  for (int second = 0; second < kRunSeconds; ++second) {
    SleepMs(1000);
    TheRecord().Line(
        "after %d s: answered 200 %d, otherwise %d; unanswered at the timeout "
        "%d, half a second later %d",
        second + 1, served.load(), other.load(), unanswered.load(),
        late.load());
  }
  is_stopped = true;
  for (std::thread& client : clients) {
    client.join();
  }
  TheRecord().Line(
      "answered 200: %d, otherwise: %d; unanswered at the timeout of the "
      "route: "
      "%d, of these half a second later: %d",
      served.load(), other.load(), unanswered.load(), late.load());
  Finish(setting, node_list,
         late * 2 > unanswered && late > 0 ? kExitBroken : kExitHeld);
}
