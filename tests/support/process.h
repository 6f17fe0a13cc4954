#ifndef DAISYWINCH_TESTS_SUPPORT_PROCESS_H
#define DAISYWINCH_TESTS_SUPPORT_PROCESS_H

#include <sys/types.h>

#include <optional>
#include <string>
#include <vector>

#include "state/clock.h"

namespace daisywinch::test {

/// Ends every process that was started here when SIGINT or SIGTERM comes.
void KillProcessesOnSignal();

/// A process that a test started; killed when it goes out of scope.
class Process {
 public:
  /// Starts a program with its output appended to a file.
  Process(const std::string& program,
          const std::vector<std::string>& arguments,
          const std::string& output_file);
  ~Process();
  Process(const Process&) = delete;
  Process& operator=(const Process&) = delete;

  void Signal(int signal) const;
  /// Kills at once and waits for the end.
  void Kill();
  /// The exit status, if the process ends within the timeout.
  std::optional<int> WaitForExit(Duration timeout);
  /// Processor time used so far, by all threads.
  Duration CpuTime() const;
  /// Resident memory that is not shared with files.
  std::size_t PrivateMemoryBytes() const;

 private:
  pid_t pid = 0;
  bool has_exited = false;
};

}  // namespace daisywinch::test

#endif  // DAISYWINCH_TESTS_SUPPORT_PROCESS_H
