#include "Tests/Support/Fleet/child_process.h"

#include <fcntl.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <cerrno>
#include <csignal>
#include <cstring>
#include <thread>

#include "LibCore/result_code.h"
#include "LibCore/text.h"

namespace wasabi::support {

namespace {

// Interval at which Wait() polls the process.
constexpr core::Duration kPollPeriod = std::chrono::milliseconds(5);
constexpr int kExecFailedCode = 127;
constexpr mode_t kLogMode = 0644;

// Runs in the child between fork and exec, so it may make only
// async-signal-safe calls.
[[noreturn]] void RunChild(const std::vector<char*>& arguments, int log) {
  prctl(PR_SET_PDEATHSIG, SIGKILL);
  if (log >= 0) {
    dup2(log, STDOUT_FILENO);
    dup2(log, STDERR_FILENO);
  }
  execv(arguments[0], arguments.data());
  _exit(kExecFailedCode);
}

}  // namespace

std::string ProcessExit::ToString() const {
  return signal != 0 ? fmt::format("signal {}", signal)
                     : fmt::format("exit code {}", code);
}

absl::StatusOr<std::unique_ptr<ChildProcess>> ChildProcess::Start(
    const std::vector<std::string>& arguments,
    const std::string& log_path) {
  std::vector<char*> pointers;
  for (const std::string& it : arguments) {
    pointers.push_back(const_cast<char*>(it.c_str()));
  }
  pointers.push_back(nullptr);
  int log = -1;
  if (!log_path.empty()) {
    log = open(log_path.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC,
               kLogMode);
  }
  const pid_t pid = fork();
  if (pid == 0) {
    RunChild(pointers, log);
  }
  if (log >= 0) {
    close(log);
  }
  if (pid < 0) {
    return core::MakeStatus(
        core::ResultCode::kEndpointFailed,
        fmt::format("cannot start {}: {}", arguments[0], strerror(errno)));
  }
  return std::unique_ptr<ChildProcess>(new ChildProcess(pid));
}

ChildProcess::~ChildProcess() {
  if (!Poll()) {
    kill(pid_, SIGKILL);
    waitpid(pid_, nullptr, 0);
  }
}

void ChildProcess::Signal(int number) const {
  if (!exit_) {
    kill(pid_, number);
  }
}

std::optional<ProcessExit> ChildProcess::Poll() {
  if (exit_) {
    return exit_;
  }
  int status = 0;
  if (waitpid(pid_, &status, WNOHANG) == pid_) {
    exit_ = WIFEXITED(status) ? ProcessExit{WEXITSTATUS(status), 0}
                              : ProcessExit{-1, WTERMSIG(status)};
  }
  return exit_;
}

std::optional<ProcessExit> ChildProcess::Wait(core::Duration timeout) {
  const core::TimePoint end = core::Clock::now() + timeout;
  while (!Poll() && core::Clock::now() < end) {
    std::this_thread::sleep_for(kPollPeriod);
  }
  return exit_;
}

}  // namespace wasabi::support
