#include "Tests/Control/child_process.h"

#include <fcntl.h>
#include <poll.h>
#include <signal.h>
#include <sys/wait.h>
#include <unistd.h>

#include <array>
#include <chrono>

namespace wasabi::control {

namespace {

using Clock = std::chrono::steady_clock;

constexpr int kPollMs = 100;
constexpr auto kOutputTimeout = std::chrono::seconds(10);
constexpr auto kExitTimeout = std::chrono::seconds(30);
constexpr int kExecFailed = 127;

}  // namespace

ChildProcess::ChildProcess(const std::string& name,
                           const std::vector<std::string>& arguments) {
  const std::string path = std::string(WASABI_BIN_DIR) + "/" + name;
  std::vector<char*> argv = {const_cast<char*>(path.c_str())};
  for (const std::string& argument : arguments) {
    argv.push_back(const_cast<char*>(argument.c_str()));
  }
  argv.push_back(nullptr);
  std::array<int, 2> ends{};
  if (pipe2(ends.data(), O_CLOEXEC) != 0) {
    return;
  }
  pid_ = fork();
  if (pid_ == 0) {
    dup2(ends[1], STDOUT_FILENO);
    dup2(ends[1], STDERR_FILENO);
    execv(path.c_str(), argv.data());
    _exit(kExecFailed);
  }
  close(ends[1]);
  descriptor_ = ends[0];
}

ChildProcess::~ChildProcess() {
  if (!has_ended_ && pid_ > 0) {
    kill(pid_, SIGKILL);
    waitpid(pid_, nullptr, 0);
  }
  close(descriptor_);
}

bool ChildProcess::ReadMore(int timeout_ms) {
  pollfd entry{descriptor_, POLLIN, 0};
  if (poll(&entry, 1, timeout_ms) <= 0) {
    return true;
  }
  std::array<char, 4096> buf{};
  const ssize_t n = read(descriptor_, buf.data(), buf.size());
  if (n <= 0) {
    return false;
  }
  output_.append(buf.data(), static_cast<size_t>(n));
  return true;
}

bool ChildProcess::WaitForOutput(const std::string& text) {
  const Clock::time_point deadline = Clock::now() + kOutputTimeout;
  while (output_.find(text) == std::string::npos) {
    if (Clock::now() > deadline || !ReadMore(kPollMs)) {
      return false;
    }
  }
  return true;
}

int ChildProcess::WaitForExit() {
  const Clock::time_point deadline = Clock::now() + kExitTimeout;
  while (Clock::now() < deadline && ReadMore(kPollMs)) {
  }
  int status = 0;
  if (Clock::now() >= deadline || waitpid(pid_, &status, 0) != pid_) {
    return -1;
  }
  has_ended_ = true;
  return WIFEXITED(status) ? WEXITSTATUS(status) : -1;
}

void ChildProcess::Signal(int signal_number) const {
  kill(pid_, signal_number);
}

}  // namespace wasabi::control
