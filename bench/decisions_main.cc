#include <benchmark/benchmark.h>

#include "coordination/token_cache_set.h"
#include "protocol/frame_codec.h"
#include "protocol/message_cipher.h"
#include "state/admission_queue.h"
#include "state/key_digest.h"
#include "state/load_balancer.h"
#include "support/fake_clock.h"
#include "support/test_fleet.h"

namespace daisywinch::bench {

namespace {

using test::FakeClock;

/// Admission queue of a saturated gate, with requests of eight customers. Only
/// one request is taken out for every two that are added, so that the queue is
/// full and sheds the rest.
void QueueAddAndNext(benchmark::State& state) {
  FakeClock clock;
  FairShare shares;
  AdmissionQueue queue(shares);
  queue.SetCapacity(state.range(0));
  std::vector<std::uint64_t> expired;
  std::uint64_t id = 0;
  while (state.KeepRunning()) {
    const TimePoint now = clock.Now();
    queue.Add({++id, RequestClass::kNormal, "c" + std::to_string(id % 8), now,
               now + std::chrono::seconds(1)},
              now);
    if (id % 2 == 0) {
      benchmark::DoNotOptimize(queue.Next(now, expired));
    }
  }
}
BENCHMARK(QueueAddAndNext)->Arg(32)->Arg(256);

void AcquireToken(benchmark::State& state) {
  FakeClock clock;
  TokenCacheSet token_caches("a1", "a", 1);
  while (state.KeepRunning()) {
    token_caches.AddDemand("school", clock.Now());
    benchmark::DoNotOptimize(token_caches.TryAcquire("school", clock.Now()));
  }
}
BENCHMARK(AcquireToken);

/// Chooses among the given number of targets, a fifth of them local.
void ChooseTarget(benchmark::State& state) {
  FakeClock clock;
  VmList list;
  for (int number = 0; number < state.range(0); ++number) {
    Vm vm;
    vm.name = "vm" + std::to_string(number);
    vm.data_centre = number % 5 == 0 ? "east" : "west";
    vm.service = "back";
    list.vms.push_back(vm);
  }
  const Snapshot snapshot(test::MakeConfiguration(test::StandardAnswers(1)),
                          list, {});
  LoadBalancer balancer("east", 1);
  while (state.KeepRunning()) {
    benchmark::DoNotOptimize(balancer.Choose(snapshot, "back", "school",
                                             RequestClass::kNormal, "", {},
                                             clock.Now()));
  }
}
BENCHMARK(ChooseTarget)->Arg(9)->Arg(100);

void FindCustomerByKey(benchmark::State& state) {
  const KeyTable keys(test::MakeConfiguration(test::StandardAnswers(1)));
  const std::string key = test::ApiKeyForCustomer("school");
  while (state.KeepRunning()) {
    benchmark::DoNotOptimize(keys.FindCustomer(key));
  }
}
BENCHMARK(FindCustomerByKey);

void EncodeAndDecodeCall(benchmark::State& state) {
  protocol::CallFrame frame;
  frame.mutable_request()->set_customer("school");
  frame.mutable_request()->set_path("/points/7");
  frame.mutable_request()->set_body(std::string(512, 'x'));
  while (state.KeepRunning()) {
    FrameDecoder decoder(1 << 20);
    decoder.Append(EncodeFrame(frame));
    benchmark::DoNotOptimize(decoder.Next());
  }
}
BENCHMARK(EncodeAndDecodeCall);

void SealAndOpen(benchmark::State& state) {
  const MessageCipher cipher("00112233445566778899aabbccddeeff", 1);
  const std::string message(100, 'x');
  while (state.KeepRunning()) {
    benchmark::DoNotOptimize(cipher.Open(cipher.Seal(message)));
  }
}
BENCHMARK(SealAndOpen);

}  // namespace

}  // namespace daisywinch::bench

BENCHMARK_MAIN();
