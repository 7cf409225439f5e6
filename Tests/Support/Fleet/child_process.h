// Starts a child process and signals, waits for and reaps it by its process id.

#ifndef TESTS_SUPPORT_FLEET_CHILD_PROCESS_H_
#define TESTS_SUPPORT_FLEET_CHILD_PROCESS_H_

#include <sys/types.h>

#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "LibCore/time.h"
#include "absl/status/statusor.h"

namespace wasabi::support {

// The exit status of a process.
struct ProcessExit {
  // The exit code, or -1 if a signal terminated the process.
  int code = -1;
  // The signal that terminated the process, or 0.
  int signal = 0;

  auto operator<=>(const ProcessExit&) const = default;
  std::string ToString() const;
};

// A child process that is killed and reaped on destruction.
class ChildProcess {
 public:
  // Starts the program at the path `arguments[0]`, without a search in PATH,
  // and appends its output to `log_path`. If `log_path` is empty, the child
  // uses the output of the caller. The kernel kills the child when its parent
  // dies.
  static absl::StatusOr<std::unique_ptr<ChildProcess>> Start(
      const std::vector<std::string>& arguments,
      const std::string& log_path);
  // Kills and reaps the process if it is still running.
  ~ChildProcess();
  ChildProcess(const ChildProcess&) = delete;
  ChildProcess& operator=(const ChildProcess&) = delete;

  void Signal(int number) const;

  // Returns the exit status, or nullopt while the process is running.
  std::optional<ProcessExit> Poll();

  // Blocks until the process exits. Returns nullopt after `timeout`.
  std::optional<ProcessExit> Wait(core::Duration timeout);

  pid_t pid() const { return pid_; }

 private:
  explicit ChildProcess(pid_t pid) : pid_(pid) {}

  pid_t pid_;
  std::optional<ProcessExit> exit_;
};

}  // namespace wasabi::support

#endif  // TESTS_SUPPORT_FLEET_CHILD_PROCESS_H_
