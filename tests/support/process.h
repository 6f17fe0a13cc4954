#ifndef DAISYWINCH_TESTS_SUPPORT_PROCESS_H
#define DAISYWINCH_TESTS_SUPPORT_PROCESS_H

#include <sys/types.h>

#include <optional>
#include <string>
#include <vector>

#include "state/clock.h"

namespace daisywinch::test {

/// Installs handlers for SIGINT and SIGTERM that kill every Process and exit.
void KillProcessesOnSignal();

/// A child process, killed when the object is destroyed.
class Process {
 public:
  /// Starts a program whose output is appended to a file. Aborts if the program
  /// can't be started.
  Process(const std::string& program,
          const std::vector<std::string>& arguments,
          const std::string& output_file);
  ~Process();
  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;

  void Signal(int signal) const;
  /// Kills the process with SIGKILL and waits until it has exited.
  void Kill();
  /// Returns the exit status, or the negated signal number, if the process ends
  /// within the timeout.
  std::optional<int> WaitForExit(Duration timeout);
  /// CPU time used so far by all threads; 0 if it can't be read.
  Duration CpuTime() const;
  /// Resident memory without shared pages, in bytes.
  std::size_t PrivateMemoryBytes() const;

 private:
  pid_t pid = 0;
  bool has_exited = false;
};

}  // namespace daisywinch::test

#endif  // DAISYWINCH_TESTS_SUPPORT_PROCESS_H
