#include "support/process.h"

#include <fcntl.h>
#include <signal.h>
#include <spawn.h>
#include <sys/wait.h>
#include <time.h>
#include <unistd.h>

#include <array>
#include <atomic>
#include <cstdlib>
#include <fstream>
#include <thread>

namespace daisywinch::test {

namespace {

constexpr std::chrono::milliseconds kPollInterval{5};
constexpr mode_t kLogFileMode = 0644;
constexpr std::size_t kMaxProcesses = 1024;
constexpr int kSignalExitStatus = 130;

/// Running processes, for the signal handler; 0 marks a free slot.
std::array<std::atomic<pid_t>, kMaxProcesses> running_processes = {};

void ReplaceProcessId(pid_t from, pid_t to) {
  for (std::atomic<pid_t>& slot : running_processes) {
    pid_t expected = from;
    if (slot.compare_exchange_strong(expected, to)) {
      return;
    }
  }
}

void KillProcessesAndExit(int /*signal*/) {
  for (const std::atomic<pid_t>& slot : running_processes) {
    if (slot != 0) {
      ::kill(slot, SIGKILL);
    }
  }
  ::_exit(kSignalExitStatus);
}

}  // namespace

void KillProcessesOnSignal() {
  ::signal(SIGINT, KillProcessesAndExit);
  ::signal(SIGTERM, KillProcessesAndExit);
}

Process::Process(const std::string& program,
                 const std::vector<std::string>& arguments,
                 const std::string& output_file) {
  std::vector<char*> argument_pointers = {const_cast<char*>(program.c_str())};
  for (const std::string& argument : arguments) {
    argument_pointers.push_back(const_cast<char*>(argument.c_str()));
  }
  argument_pointers.push_back(nullptr);
  posix_spawn_file_actions_t file_actions;
  posix_spawn_file_actions_init(&file_actions);
  posix_spawn_file_actions_addopen(&file_actions, STDOUT_FILENO,
                                   output_file.c_str(),
                                   O_WRONLY | O_CREAT | O_APPEND, kLogFileMode);
  posix_spawn_file_actions_adddup2(&file_actions, STDOUT_FILENO, STDERR_FILENO);
  const int error = posix_spawn(&this->pid, program.c_str(), &file_actions,
                                nullptr, argument_pointers.data(), environ);
  posix_spawn_file_actions_destroy(&file_actions);
  if (error != 0) {
    std::abort();
  }
  ReplaceProcessId(0, this->pid);
}

Process::~Process() {
  this->Kill();
}

void Process::Signal(int signal) const {
  if (!this->has_exited) {
    ::kill(this->pid, signal);
  }
}

void Process::Kill() {
  if (this->has_exited) {
    return;
  }
  this->Signal(SIGKILL);
  ::waitpid(this->pid, nullptr, 0);
  this->has_exited = true;
  ReplaceProcessId(this->pid, 0);
}

std::optional<int> Process::WaitForExit(Duration timeout) {
  const TimePoint deadline = BootTime::now() + timeout;
  while (BootTime::now() < deadline) {
    int status = 0;
    if (::waitpid(this->pid, &status, WNOHANG) == this->pid) {
      this->has_exited = true;
      ReplaceProcessId(this->pid, 0);
      return WIFEXITED(status) ? WEXITSTATUS(status) : -WTERMSIG(status);
    }
    std::this_thread::sleep_for(kPollInterval);
  }
  return std::nullopt;
}

Duration Process::CpuTime() const {
  clockid_t clock = 0;
  timespec time = {};
  if (clock_getcpuclockid(this->pid, &clock) != 0 ||
      clock_gettime(clock, &time) != 0) {
    return Duration::zero();
  }
  return std::chrono::seconds(time.tv_sec) +
         std::chrono::nanoseconds(time.tv_nsec);
}

std::size_t Process::PrivateMemoryBytes() const {
  std::ifstream file("/proc/" + std::to_string(this->pid) + "/statm");
  std::size_t total = 0;
  std::size_t resident = 0;
  std::size_t shared = 0;
  file >> total >> resident >> shared;
  return (resident - shared) * static_cast<std::size_t>(::getpagesize());
}

}  // namespace daisywinch::test
