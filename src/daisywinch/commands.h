#ifndef DAISYWINCH_DAISYWINCH_COMMANDS_H
#define DAISYWINCH_DAISYWINCH_COMMANDS_H

#include <span>
#include <string_view>

namespace daisywinch {

/// One subcommand of the program.
struct Command {
  std::string_view name;
  std::string_view summary;
  std::string_view usage;
  /// Returns the exit status of the process.
  int (*run)() = nullptr;
};

std::span<const Command> AllCommands();
const Command* FindCommand(std::string_view name);

}  // namespace daisywinch

#endif  // DAISYWINCH_DAISYWINCH_COMMANDS_H
