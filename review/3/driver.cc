// A server answers a few of its requests with bytes that are no answer and come
// without end. Clients send lookups on kept connections to two machines.
#include "../support/harness.h"

#include <random>

using namespace review;

namespace {

// Of two servers one is faulty (a share of 0.5), and spoils this part of its
// answers: the defaults of `garble` in `fleetbench kinds`.
constexpr double kSpoiledPart = 0.02;
// A tenth of the link of a machine.
constexpr double kBytesPerSecond = 12.5e6;
constexpr std::size_t kChunkBytes = 65536;
constexpr int kWorkMs = 220;
constexpr int kPauseMs = 250;
constexpr int kClientsPerMachine = 30;
constexpr int kRunSeconds = 60;
constexpr int kDeadlineMs = 5000;
// Connections closed without an answer that the rule allows.
constexpr int kAllowedLosses = 3;

std::string Configuration() {
  return "{\"Version\":\"00000007\",\"Routes\":{\"lookup\":{"
         "\"Host\":\"hulo84.example\",\"Prefix\":\"/lookup/\","
         "\"Kind\":\"safe\",\"Timeout\":\"5000ms\","
         "\"TargetLatency\":\"1500ms\",\"Priority\":2,"
         "\"Service\":\"mapa-puntos\",\"MaxAttempts\":2,\"Public\":false}},"
         "\"Services\":{\"mapa-puntos\":{\"HealthPath\":\"/health\","
         "\"MaxConnections\":748,\"Protocol\":\"h1\",\"Tls\":false,"
         "\"ColdStart\":\"3s\",\"ColdPerS\":16.0}},"
         "\"Limits\":{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":67108864,"
         "\"HeaderTimeout\":\"3000ms\",\"IdleTimeout\":\"15000ms\"}}";
}

// Writes a body without end until the caller closes the connection.
void WriteWithoutEnd(int handle, const Message& request) {
  WriteAll(handle, "HTTP/1.1 200 OK\r\nX-Daisywinch-Attempt-Id: " +
                       request.Header("x-daisywinch-attempt-id") +
                       "\r\nTransfer-Encoding: chunked\r\n\r\n");
  const std::string chunk =
      "10000\r\n" + std::string(kChunkBytes, '#') + "\r\n";
  const Clock::time_point started = Clock::now();
  double written = 0;
  while (WriteAll(handle, chunk)) {
    written += kChunkBytes;
    std::this_thread::sleep_until(
        started +
        std::chrono::duration_cast<Clock::duration>(
            std::chrono::duration<double>(written / kBytesPerSecond)));
  }
  TheRecord().Line("%s: the caller closed after %.0f MB",
                   request.Header("x-daisywinch-attempt-id").c_str(),
                   written / 1e6);
}

}  // namespace

int main(int argc, char** argv) {
  Setting setting(argc > 1 ? argv[1] : "review/3");
  const Endpoint store_address = {setting.Ip(250), 8545};
  Store store;
  if (!store.Start(store_address)) {
    return kExitNotRun;
  }
  store.Put("op/config", Configuration());

  std::mutex mutex;
  // Server that began to work on a request, by its id.
  std::map<std::string, std::string> started;
  std::mt19937 random(1);
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
    const bool is_faulty = number == 1 && setting.has_trouble;
    const bool is_listening = server.Start(
        machine.App(), machine.server_id,
        [&, is_faulty](const Message& request, int handle) {
          bool spoils = false;
          {
            const std::lock_guard<std::mutex> lock(mutex);
            started[request.Header("x-daisywinch-attempt-id")] = server.id;
            spoils =
                is_faulty && std::bernoulli_distribution(kSpoiledPart)(random);
          }
          SleepMs(kWorkMs);
          if (spoils) {
            TheRecord().Line("%s spoils the answer to %s", server.id.c_str(),
                             request.Header("x-daisywinch-attempt-id").c_str());
            WriteWithoutEnd(handle, request);
            return false;
          }
          return WriteAll(handle, SignedAnswer(request, "found", server.id));
        });
    if (!is_listening) {
      return kExitNotRun;
    }
    store.Put("servers/" + machine.server_id, machine.ServerRecord("ready", 1));
  }
  const std::string sound_server = machines[1].server_id;
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
  SleepMs(1500);
  MemoryGuard guard;
  guard.Watch(node_list);

  std::atomic<int> answered = 0;
  std::atomic<int> lost = 0;
  std::atomic<bool> is_stopped = false;
  std::vector<std::thread> clients;
  for (int number = 0; number < 2 * kClientsPerMachine; ++number) {
    clients.emplace_back([&, number] {
      int sequence = 0;
      SleepMs(number * 15);
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
          attempt.path = "/lookup/" + attempt.id;
          attempt.timeout_ms = kDeadlineMs;
          ReadResult result = ReadResult::kComplete;
          const int status = SendAttempt(handle, reader, attempt, result);
          std::string server;
          {
            const std::lock_guard<std::mutex> lock(mutex);
            server = started[attempt.id];
          }
          TheRecord().Line("%s at %s -> %d %s, last run by %s",
                           attempt.id.c_str(),
                           machines[number % 2].name.c_str(), status,
                           ToText(result), server.c_str());
          if (status != 0) {
            ++answered;
          } else if (result != ReadResult::kTimeout) {
            lost += server == sound_server ? 1 : 0;
          }
          is_open = status != 0;
          SleepMs(kPauseMs);
        }
        ::close(handle);
      }
    });
  }
  SleepMs(kRunSeconds * 1000);
  is_stopped = true;
  for (std::thread& client : clients) {
    client.join();
  }
  guard.Stop();
  for (const Node* node : node_list) {
    TheRecord().Line("%s: ended %d times, peak %.0f MB of %d MB",
                     node->machine.name.c_str(), guard.Ends(*node),
                     guard.Peak(*node), node->machine.memory_mb);
  }
  TheRecord().Line(
      "lookups answered %d; passed on to the sound server and the kept "
      "connection closed without an answer %d (allowed %d)",
      answered.load(), lost.load(), kAllowedLosses);
  Finish(setting, node_list, lost > kAllowedLosses ? kExitBroken : kExitHeld);
}
