// The store loses a few answers: those to two long polls for servers. The
// connections of these polls return nothing further. Long after that, a server
// reports that it drains.
#include "../support/harness.h"

using namespace review;

namespace {

// Length of the disruption and the part of the answers that are lost at most,
// as in the site file: platform_lost, x = 0.35, for_s = 4.5.
constexpr int kLossMs = 4500;
constexpr double kMaxLostPart = 0.35;
// The store is stable when it has been calm for Contact (3 s).
constexpr int kCalmMs = 3200;
constexpr double kDrainSeconds = 2.0;
// Time for which the server serves after its report.
constexpr int kServesMs = 7000;
constexpr int kWorkMs = 90;
constexpr int kClientsPerMachine = 6;

std::string Configuration() {
  return "{\"Version\":\"00000007\",\"Routes\":{\"booking\":{"
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
  const Endpoint store_address = {setting.Ip(250), 8545};
  Store store;
  if (!store.Start(store_address)) {
    return kExitNotRun;
  }
  store.Put("op/config", Configuration());

  std::atomic<double> drain_acknowledged = 1e9;
  std::atomic<int> late = 0;
  std::atomic<double> last_late = 0;
  std::vector<Machine> machines;
  std::vector<std::unique_ptr<Server>> servers;
  for (int number = 1; number <= 4; ++number) {
    Machine machine;
    machine.name = "sidecar-quito-a-" + std::to_string(number);
    machine.zone = "quito-a";
    machine.service = number == 4 ? "etiquetas" : "recojos";
    machine.ip = setting.Ip(number);
    machine.store = store_address;
    machine.server_id = "i-7f3a91c" + std::to_string(number);
    machines.push_back(machine);
    servers.push_back(std::make_unique<Server>());
    Server& server = *servers.back();
    const bool is_leaving_one = number == 3;
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
    nodes.push_back(
        std::make_unique<Node>(machine, setting.temporary_folder));
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
  for (int number = 0; number < 3 * kClientsPerMachine; ++number) {
    clients.emplace_back([&, number] {
      const int handle = Connect(machines[number % 3].Outbound());
      Reader reader(handle);
      int sequence = 0;
      while (!is_stopped) {
        Attempt attempt;
        attempt.method = "POST";
        attempt.id = "c" + std::to_string(number) + "-" +
                     std::to_string(sequence++);
        attempt.path = "/booking/" + attempt.id;
        attempt.body = "pickup";
        ReadResult result = ReadResult::kComplete;
        const int status = SendAttempt(handle, reader, attempt, result);
        TheRecord().Line("%s at %s -> %d %s", attempt.id.c_str(),
                         machines[number % 3].name.c_str(), status,
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
  const int answers_before = store.Answers();
  const int lost_before = store.Lost();
  TheRecord().Line("the store begins to lose answers");
  const double loss_started = Seconds();
  if (setting.has_trouble) {
    store.SetLossRule([&](const std::string& target) {
      const bool is_server_watch =
          target.rfind("/kv-watch", 0) == 0 &&
          target.find("servers/") != std::string::npos;
      return is_server_watch && Seconds() - loss_started > 3.75;
    });
  }
  // The server of another service becomes cold and warm again, and reports
  // both. The polls are sent anew after the first report, and the answers with
  // the second one are lost.
  SleepMs(3500);
  store.Put("servers/" + machines[3].server_id,
            machines[3].ServerRecord("ready", 2, "600ms"));
  SleepMs(750);
  store.Put("servers/" + machines[3].server_id,
            machines[3].ServerRecord("ready", 3, "0ms"));
  SleepMs(kLossMs - 4250);
  store.SetLossRule(nullptr);
  const int lost = store.Lost() - lost_before;
  const int answers = store.Answers() - answers_before;
  TheRecord().Line("the store loses no more answers; lost %d of %d", lost,
                   answers);
  if (lost > kMaxLostPart * answers) {
    Finish(setting, node_list, kExitNotRun);
  }
  SleepMs(kCalmMs);
  store.Put("servers/" + machines[2].server_id,
            machines[2].ServerRecord("draining", 2));
  drain_acknowledged = Seconds();
  TheRecord().Line("the store has acknowledged that %s drains",
                   machines[2].server_id.c_str());
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
