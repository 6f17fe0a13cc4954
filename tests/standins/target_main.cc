#include <cstdlib>
#include <iostream>

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>

#include "standins/target.h"

ABSL_FLAG(std::string, address, "", "address to listen on, IP:PORT");
ABSL_FLAG(std::string, node, "", "caller address of the local node, IP:PORT");
ABSL_FLAG(int, slots, 100, "concurrent requests that a warm target can serve");
ABSL_FLAG(int,
          cold_slots,
          100,
          "concurrent requests that a cold target can serve");
ABSL_FLAG(int, warm_up_ms, 1, "time from cold to warm in ms");
ABSL_FLAG(int, service_ms, 10, "service time of a request in ms");

int main(int argc, char** argv) {
  absl::ParseCommandLine(argc, argv);
  daisywinch::test::TargetBehaviour behaviour;
  behaviour.slots = absl::GetFlag(FLAGS_slots);
  behaviour.cold_slots = absl::GetFlag(FLAGS_cold_slots);
  behaviour.warm_up =
      std::chrono::milliseconds(absl::GetFlag(FLAGS_warm_up_ms));
  behaviour.service_time =
      std::chrono::milliseconds(absl::GetFlag(FLAGS_service_ms));
  daisywinch::asio::io_context context(1);
  daisywinch::test::Target target(
      context, daisywinch::ParseAddress(absl::GetFlag(FLAGS_address)).value(),
      daisywinch::ParseAddress(absl::GetFlag(FLAGS_node)).value(), behaviour);
  if (!target.Listen()) {
    std::cerr << "cannot listen on the address given by --address\n";
    return EXIT_FAILURE;
  }
  context.run();
  return EXIT_SUCCESS;
}
