// What a stand-in did: one record for each execution, for the checker. The
// records can also go to a file as they change, so that they outlive a crash.

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

// CLOCK_MONOTONIC in nanoseconds, which all processes of a machine share.
int64_t MonotonicNanoseconds();

// One execution of a request by a stand-in.
struct Execution {
  std::string request_id;
  std::string attempt;
  std::string idempotency_key;
  // Digest of the request's content.
  std::string digest;
  int64_t start_ns = 0;
  // 0 while the execution runs, or where it never ended.
  int64_t end_ns = 0;
  bool completed = false;
  uint32_t cached_tokens = 0;
  uint32_t prompt_tokens = 0;

  auto operator<=>(const Execution&) const = default;
};

nlohmann::json ToJson(const Execution& execution);
Execution ExecutionFromJson(const nlohmann::json& json);

// The executions in the file that an ExecutionLog wrote; of several records of
// one execution the last one counts.
absl::StatusOr<std::vector<Execution>> ReadExecutionFile(
    const std::string& path);

class ExecutionLog {
 public:
  // Writes each change to `path` as a line of JSON; no file where it is empty.
  explicit ExecutionLog(const std::string& path);

  // Adds an execution and returns its position.
  size_t Start(Execution execution);
  // Notes the end of the execution at `position`.
  void End(size_t position, bool completed);
  // The execution at `position`, which may be changed until it ends.
  Execution& at(size_t position) { return executions_[position]; }
  const std::vector<Execution>& executions() const { return executions_; }

 private:
  void WriteLine(const Execution& execution);

  std::vector<Execution> executions_;
  std::ofstream file_;
};

}  // namespace wasabi::support

#endif  // TESTS_SUPPORT_EXECUTION_LOG_H_
