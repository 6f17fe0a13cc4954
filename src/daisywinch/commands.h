#ifndef DAISYWINCH_DAISYWINCH_COMMANDS_H
#define DAISYWINCH_DAISYWINCH_COMMANDS_H

#include <span>
#include <string_view>

namespace daisywinch {

/// A subcommand of the program.
struct Command {
  std::string_view name;
  std::string_view summary;
  std::string_view usage;
  /// Runs the command with the parsed flags. Returns the exit status of the
  /// process.
  int (*run)() = nullptr;
};

std::span<const Command> AllCommands();
/// Returns null if there is no command of this name.
const Command* FindCommand(std::string_view name);

}  // namespace daisywinch

#endif  // DAISYWINCH_DAISYWINCH_COMMANDS_H
