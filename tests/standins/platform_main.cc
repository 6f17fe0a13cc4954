#include <cstdlib>
#include <iostream>

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>

#include "standins/platform.h"

ABSL_FLAG(std::vector<std::string>,
          addresses,
          {},
          "addresses to listen on, IP:PORT,IP:PORT");

int main(int argc, char** argv) {
  absl::ParseCommandLine(argc, argv);
  std::vector<daisywinch::Address> addresses;
  for (const std::string& text : absl::GetFlag(FLAGS_addresses)) {
    addresses.push_back(daisywinch::ParseAddress(text).value());
  }
  daisywinch::asio::io_context context(1);
  daisywinch::test::Platform platform(context, addresses);
  if (!platform.Listen()) {
    std::cerr << "cannot listen on an address given by --addresses\n";
    return EXIT_FAILURE;
  }
  context.run();
  return EXIT_SUCCESS;
}
