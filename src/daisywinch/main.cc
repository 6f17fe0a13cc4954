#include <csignal>
#include <cstdlib>
#include <iostream>
#include <string>
#include <vector>

#include <absl/flags/parse.h>
#include <absl/flags/usage.h>
#include <absl/flags/usage_config.h>

#include "daisywinch/commands.h"

namespace {

/// Ignores the signals that do not ask the process to stop. A running node
/// handles SIGHUP itself; until then its settings are still to be read or
/// compared.
void IgnoreHarmlessSignals() {
  for (const int signal : {SIGHUP, SIGUSR1, SIGUSR2, SIGPIPE}) {
    std::signal(signal, SIG_IGN);
  }
}

std::string Usage() {
  std::string text =
      "daisywinch: overload control for service call graphs\n\n"
      "  daisywinch COMMAND [--FLAG=VALUE ...]\n\n";
  for (const daisywinch::Command& command : daisywinch::AllCommands()) {
    std::string name(command.name);
    name.resize(10, ' ');
    text += "  " + name + std::string(command.summary) + "\n";
  }
  return text + "\n\"daisywinch help COMMAND\" lists the flags of a command.\n";
}

/// Prints the help of one command, or the list of commands.
int PrintHelp(const std::string& name) {
  const daisywinch::Command* command = daisywinch::FindCommand(name);
  if (command == nullptr) {
    std::cout << Usage();
    return name.empty() ? EXIT_SUCCESS : EXIT_FAILURE;
  }
  std::cout << command->name << ": " << command->summary << "\n\n  "
            << command->usage << "\n";
  return EXIT_SUCCESS;
}

}  // namespace

int main(int argc, char** argv) {
  IgnoreHarmlessSignals();
  absl::SetProgramUsageMessage(Usage());
  absl::FlagsUsageConfig usage_config;
  usage_config.version_string = [] {
    return std::string("daisywinch " DAISYWINCH_VERSION "\n");
  };
  absl::SetFlagsUsageConfig(usage_config);
  const std::vector<char*> arguments = absl::ParseCommandLine(argc, argv);
  const std::string name = arguments.size() > 1 ? arguments[1] : "";
  if (name.empty() || name == "help") {
    return PrintHelp(arguments.size() > 2 ? arguments[2] : "");
  }
  const daisywinch::Command* command = daisywinch::FindCommand(name);
  if (command == nullptr || arguments.size() > 2) {
    std::cerr << "\"" << (command == nullptr ? name : arguments[2])
              << "\" is not a known command or argument; \"daisywinch help\" "
                 "lists the "
                 "commands\n";
    return EXIT_FAILURE;
  }
  return command->run();
}
