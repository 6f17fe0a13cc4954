// The store gives two of six machines no response for 0.6 s, just after
// changes. Long after that, a server reports that it drains.
#include "../support/harness.h"

using namespace review;

namespace {

constexpr int kMachines = 6;
// Machines that the store rejects: a share of 0.33 for 0.6 s. The site file has
// platform_down, how = "nodes silent ...", share = 0.35, for_s = 9.0.
constexpr int kRejectedMachines = 2;
constexpr int kRejectMs = 600;
// The store is stable when it has been calm for Contact (3 s).
constexpr int kCalmMs = 3200;
constexpr double kDrainSeconds = 2.0;
// Time for which the server serves after its report.
constexpr int kServesMs = 7000;
constexpr int kWorkMs = 90;
constexpr int kClientsPerMachine = 6;

std::string Configuration(const std::string& version) {
  return "{\"Version\":\"" + version +
         "\",\"Routes\":{\"booking\":{"
         "\"Host\":\"hulo84.example\",\"Prefix\":\"/booking/\","
         "\"Kind\":\"unsafe\",\"Timeout\":\"5000ms\","
         "\"TargetLatency\":\"2000ms\",\"Priority\":0,"
         "\"Service\":\"recojos\",\"MaxAttempts\":2,\"Public\":false}},"
         "\"Services\":{\"recojos\":{\"HealthPath\":\"/health\","
         "\"MaxConnections\":748,\"Protocol\":\"h1\",\"Tls\":false,"
         "\"ColdStart\":\"3s\",\"ColdPerS\":16.0},"
         "\"etiquetas\":{\"HealthPath\":\"/health\","
         "\"MaxConnections\":748,\"Protocol\":\"h1\",\"Tls\":false,"
         "\"ColdStart\":\"3s\",\"ColdPerS\":16.0}},"
         "\"Limits\":{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":67108864,"
         "\"HeaderTimeout\":\"3000ms\",\"IdleTimeout\":\"15000ms\"}}";
}

}  // namespace

int main(int argc, char** argv) {
  Setting setting(argc > 1 ? argv[1] : "review/5");
  Store store;
  store.Put("op/config", Configuration("00000007"));

  std::atomic<double> drain_acknowledged = 1e9;
  std::atomic<int> late = 0;
  std::atomic<double> last_late = 0;
  std::vector<Machine> machines;
  std::vector<std::unique_ptr<Server>> servers;
  for (int number = 1; number <= kMachines; ++number) {
    Machine machine;
    machine.name = "sidecar-quito-a-" + std::to_string(number);
    machine.zone = "quito-a";
    machine.service = number == kMachines ? "etiquetas" : "recojos";
    machine.ip = setting.Ip(number);
    // An address of the store for each machine, as it can't be told from whom
    // a connection on a loopback address comes.
    machine.store = {setting.Ip(250), 8545 + number};
    if (!store.Start(machine.store)) {
      return kExitNotRun;
    }
    machine.server_id = "i-7f3a91c" + std::to_string(number);
    machines.push_back(machine);
    servers.push_back(std::make_unique<Server>());
    Server& server = *servers.back();
    const bool is_leaving_one = number == kMachines - 1;
    const bool is_listening = server.Start(
        machine.App(), machine.server_id,
        [&, is_leaving_one](const Message& request, int handle) {
          const double now = Seconds();
          const std::string id = request.Header("x-daisywinch-attempt-id");
          const double since_drain = now - drain_acknowledged;
          TheRecord().Line("%s runs %s%s", server.id.c_str(), id.c_str(),
                           is_leaving_one && since_drain > 0
                               ? (" " + std::to_string(since_drain) +
                                  " s after its draining was acknowledged")
                                     .c_str()
                               : "");
          if (is_leaving_one && since_drain > kDrainSeconds) {
            ++late;
            last_late = since_drain;
          }
          SleepMs(kWorkMs);
          return WriteAll(handle, SignedAnswer(request, "booked", server.id));
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
  SleepMs(3000);

  std::atomic<bool> is_stopped = false;
  std::vector<std::thread> clients;
  for (int number = 0; number < kMachines * kClientsPerMachine; ++number) {
    clients.emplace_back([&, number] {
      const int handle = Connect(machines[number % kMachines].Outbound());
      Reader reader(handle);
      int sequence = 0;
      while (!is_stopped) {
        Attempt attempt;
        attempt.method = "POST";
        attempt.id =
            "c" + std::to_string(number) + "-" + std::to_string(sequence++);
        attempt.path = "/booking/" + attempt.id;
        attempt.body = "pickup";
        ReadResult result = ReadResult::kComplete;
        const int status = SendAttempt(handle, reader, attempt, result);
        TheRecord().Line("%s at %s -> %d %s", attempt.id.c_str(),
                         machines[number % kMachines].name.c_str(), status,
                         ToText(result));
        if (status == 0) {
          return;
        }
        SleepMs(60);
      }
      ::close(handle);
    });
  }
  SleepMs(1000);
  // A new configuration, and the server of another service becomes cold and
  // reports it. The polls for servers are sent anew soon after that.
  store.Put("op/config", Configuration("00000009"));
  store.Put("servers/" + machines[kMachines - 1].server_id,
            machines[kMachines - 1].ServerRecord("ready", 2, "600ms"));
  SleepMs(100);
  TheRecord().Line("the store begins to reject machines");
  if (setting.has_trouble) {
    std::set<std::string> rejected;
    for (int number = 0; number < kRejectedMachines; ++number) {
      rejected.insert(machines[number].store.Text());
    }
    store.RejectCallsAt(rejected);
  }
  SleepMs(kRejectMs);
  store.RejectCallsAt({});
  TheRecord().Line("the store serves all machines again");
  SleepMs(kCalmMs);
  store.Put("servers/" + machines[kMachines - 2].server_id,
            machines[kMachines - 2].ServerRecord("draining", 2));
  drain_acknowledged = Seconds();
  TheRecord().Line("the store has acknowledged that %s drains",
                   machines[kMachines - 2].server_id.c_str());
  SleepMs(kServesMs);
  is_stopped = true;
  for (std::thread& client : clients) {
    client.join();
  }
  TheRecord().Line(
      "requests that reached the server later than Drain: %d; the last one "
      "%.1f s after the acknowledgement",
      late.load(), last_late.load());
  Finish(setting, node_list, late > 0 ? kExitBroken : kExitHeld);
}
