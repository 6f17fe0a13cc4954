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
constexpr mode_t kFileMode = 0644;
constexpr std::size_t kMostProcesses = 1024;
constexpr int kSignalExitStatus = 130;

/// Running processes, for the signal handler; 0 marks a free place.
std::array<std::atomic<pid_t>, kMostProcesses> running_processes = {};

void ReplaceProcess(pid_t from, pid_t to) {
  for (std::atomic<pid_t>& place : running_processes) {
    pid_t expected = from;
    if (place.compare_exchange_strong(expected, to)) {
      return;
    }
  }
}

void KillAndExit(int /*signal*/) {
  for (const std::atomic<pid_t>& place : running_processes) {
    if (place != 0) {
      ::kill(place, SIGKILL);
    }
  }
  ::_exit(kSignalExitStatus);
}

}  // namespace

void KillProcessesOnSignal() {
  ::signal(SIGINT, KillAndExit);
  ::signal(SIGTERM, KillAndExit);
}

Process::Process(const std::string& program,
                 const std::vector<std::string>& arguments,
                 const std::string& output_file) {
  std::vector<char*> words = {const_cast<char*>(program.c_str())};
  for (const std::string& argument : arguments) {
    words.push_back(const_cast<char*>(argument.c_str()));
  }
  words.push_back(nullptr);
  posix_spawn_file_actions_t actions;
  posix_spawn_file_actions_init(&actions);
  posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, output_file.c_str(),
                                   O_WRONLY | O_CREAT | O_APPEND, kFileMode);
  posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
  const int error = posix_spawn(&this->pid, program.c_str(), &actions, nullptr,
                                words.data(), environ);
  posix_spawn_file_actions_destroy(&actions);
  if (error != 0) {
    std::abort();
  }
  ReplaceProcess(0, this->pid);
}

Process::~Process() {
  this->Kill();
}

void Process::Signal(int signal) const {
  if (!this->ended) {
    ::kill(this->pid, signal);
  }
}

void Process::Kill() {
  if (this->ended) {
    return;
  }
  this->Signal(SIGKILL);
  ::waitpid(this->pid, nullptr, 0);
  this->ended = true;
  ReplaceProcess(this->pid, 0);
}

std::optional<int> Process::WaitForExit(Duration timeout) {
  const TimePoint latest = BootTime::now() + timeout;
  while (BootTime::now() < latest) {
    int status = 0;
    if (::waitpid(this->pid, &status, WNOHANG) == this->pid) {
      this->ended = true;
      ReplaceProcess(this->pid, 0);
      return WIFEXITED(status) ? WEXITSTATUS(status) : -WTERMSIG(status);
    }
    std::this_thread::sleep_for(kPollInterval);
  }
  return std::nullopt;
}

Duration Process::ProcessorTime() const {
  clockid_t clock = 0;
  timespec time = {};
  if (clock_getcpuclockid(this->pid, &clock) != 0 ||
      clock_gettime(clock, &time) != 0) {
    return Duration::zero();
  }
  return std::chrono::seconds(time.tv_sec) +
         std::chrono::nanoseconds(time.tv_nsec);
}

std::size_t Process::MemoryBytes() const {
  std::ifstream file("/proc/" + std::to_string(this->pid) + "/statm");
  std::size_t total = 0;
  std::size_t resident = 0;
  std::size_t shared = 0;
  file >> total >> resident >> shared;
  return (resident - shared) * static_cast<std::size_t>(::getpagesize());
}

}  // namespace daisywinch::test
