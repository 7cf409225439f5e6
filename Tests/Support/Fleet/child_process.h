// A process that a test starts and ends by its id.

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

// How a process ended.
struct ProcessExit {
  // The exit code; -1 where a signal ended the process.
  int code = -1;
  // The signal that ended the process; 0 for none.
  int signal = 0;

  auto operator<=>(const ProcessExit&) const = default;
  std::string ToString() const;
};

class ChildProcess {
 public:
  // Starts `arguments[0]` with its output appended to `log_path`, or on the
  // caller's own output where that is empty. The child is killed when its
  // parent dies.
  static absl::StatusOr<std::unique_ptr<ChildProcess>> Start(
      const std::vector<std::string>& arguments,
      const std::string& log_path);
  // Kills and reaps a process that still runs.
  ~ChildProcess();
  ChildProcess(const ChildProcess&) = delete;
  ChildProcess& operator=(const ChildProcess&) = delete;

  void Signal(int number) const;

  // The end of the process, where it has ended.
  std::optional<ProcessExit> Poll();

  // Waits for the end for at most `timeout`.
  std::optional<ProcessExit> Wait(core::Duration timeout);

  pid_t pid() const { return pid_; }

 private:
  explicit ChildProcess(pid_t pid) : pid_(pid) {}

  pid_t pid_;
  std::optional<ProcessExit> exit_;
};

}  // namespace wasabi::support

#endif  // TESTS_SUPPORT_FLEET_CHILD_PROCESS_H_
