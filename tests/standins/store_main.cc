#include <cstdlib>
#include <iostream>

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>

#include "standins/store.h"

ABSL_FLAG(std::string, address, "", "address to listen on, IP:PORT");

int main(int argc, char** argv) {
  absl::ParseCommandLine(argc, argv);
  daisywinch::asio::io_context context(1);
  daisywinch::test::Store store(
      context, daisywinch::ParseAddress(absl::GetFlag(FLAGS_address)).value());
  if (!store.Listen()) {
    std::cerr << "cannot listen on the address given by --address\n";
    return EXIT_FAILURE;
  }
  context.run();
  return EXIT_SUCCESS;
}
