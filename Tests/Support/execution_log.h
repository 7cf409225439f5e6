// Records the executions of a stand-in for the checker. Each change can also be
// appended to a file, so that the records survive a crash.

#ifndef TESTS_SUPPORT_EXECUTION_LOG_H_
#define TESTS_SUPPORT_EXECUTION_LOG_H_

#include <compare>
#include <cstdint>
#include <fstream>
#include <nlohmann/json.hpp>
#include <string>
#include <vector>

#include "absl/status/statusor.h"

namespace wasabi::support {

// Returns CLOCK_MONOTONIC in nanoseconds, which is comparable between processes
// of one machine.
int64_t MonotonicNanoseconds();

// One execution of a request by a stand-in.
struct Execution {
  std::string request_id;
  std::string attempt;
  std::string idempotency_key;
  // Digest of the request's content.
  std::string digest;
  int64_t start_ns = 0;
  // 0 if the execution has not ended.
  int64_t end_ns = 0;
  bool completed = false;
  uint32_t cached_tokens = 0;
  uint32_t prompt_tokens = 0;

  auto operator<=>(const Execution&) const = default;
};

nlohmann::json ToJson(const Execution& execution);
Execution ExecutionFromJson(const nlohmann::json& json);

// Reads the executions from a file that an ExecutionLog wrote, with the last
// record of each execution. Returns ResultCode::kSettingsUnreadable if the file
// can't be opened.
absl::StatusOr<std::vector<Execution>> ReadExecutionFile(
    const std::string& path);

class ExecutionLog {
 public:
  // Appends each change to the file `path` as a line of JSON. An empty `path`
  // writes no file.
  explicit ExecutionLog(const std::string& path);

  // Records the start of an execution and returns its position.
  size_t Start(Execution execution);
  // Records the end of the execution at `position`.
  void End(size_t position, bool completed);
  // Returns the execution at `position`, which may be changed until End().
  Execution& at(size_t position) { return executions_[position]; }
  const std::vector<Execution>& executions() const { return executions_; }

 private:
  void WriteLine(const Execution& execution);

  std::vector<Execution> executions_;
  std::ofstream file_;
};

}  // namespace wasabi::support

#endif  // TESTS_SUPPORT_EXECUTION_LOG_H_
