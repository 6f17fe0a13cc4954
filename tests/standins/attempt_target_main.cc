#include <cstdlib>
#include <iostream>

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>

#include "standins/attempt_target.h"

ABSL_FLAG(std::string, address, "", "address to listen on, IP:PORT");
ABSL_FLAG(std::string, node, "", "caller address of the local node, IP:PORT");
ABSL_FLAG(std::string, id, "", "id of this process of the target");

int main(int argc, char** argv) {
  absl::ParseCommandLine(argc, argv);
  daisywinch::asio::io_context context(1);
  daisywinch::test::AttemptTarget target(
      context, daisywinch::ParseAddress(absl::GetFlag(FLAGS_address)).value(),
      daisywinch::ParseAddress(absl::GetFlag(FLAGS_node)).value(),
      absl::GetFlag(FLAGS_id));
  if (!target.Listen()) {
    std::cerr << "cannot listen on the address given by --address\n";
    return EXIT_FAILURE;
  }
  context.run();
  return EXIT_SUCCESS;
}
