#include "Tests/Support/execution_log.h"

#include <ctime>
#include <map>
#include <tuple>
#include <utility>

#include "LibCore/result_code.h"

namespace wasabi::support {

int64_t MonotonicNanoseconds() {
  constexpr int64_t kNanosecondsPerSecond = 1'000'000'000;
  timespec now{};
  clock_gettime(CLOCK_MONOTONIC, &now);
  return now.tv_sec * kNanosecondsPerSecond + now.tv_nsec;
}

nlohmann::json ToJson(const Execution& execution) {
  return {{"request_id", execution.request_id},
          {"attempt", execution.attempt},
          {"idempotency_key", execution.idempotency_key},
          {"digest", execution.digest},
          {"start_ns", execution.start_ns},
          {"end_ns", execution.end_ns},
          {"completed", execution.completed},
          {"cached_tokens", execution.cached_tokens},
          {"prompt_tokens", execution.prompt_tokens}};
}

Execution ExecutionFromJson(const nlohmann::json& json) {
  Execution it;
  it.request_id = json.value("request_id", "");
  it.attempt = json.value("attempt", "");
  it.idempotency_key = json.value("idempotency_key", "");
  it.digest = json.value("digest", "");
  it.start_ns = json.value("start_ns", int64_t{0});
  it.end_ns = json.value("end_ns", int64_t{0});
  it.completed = json.value("completed", false);
  it.cached_tokens = json.value("cached_tokens", 0U);
  it.prompt_tokens = json.value("prompt_tokens", 0U);
  return it;
}

absl::StatusOr<std::vector<Execution>> ReadExecutionFile(
    const std::string& path) {
  std::ifstream file(path);
  if (!file) {
    return core::MakeStatus(core::ResultCode::kSettingsUnreadable,
                            path + ": can't be opened");
  }
  using Identity = std::tuple<std::string, std::string, int64_t>;
  std::map<Identity, Execution> latest;
  std::string line;
  while (std::getline(file, line)) {
    // A crash may have truncated the last line.
    const nlohmann::json json = nlohmann::json::parse(line, nullptr, false);
    if (!json.is_object()) {
      continue;
    }
    Execution it = ExecutionFromJson(json);
    const Identity identity(it.request_id, it.attempt, it.start_ns);
    latest[identity] = std::move(it);
  }
  std::vector<Execution> executions;
  for (auto& [identity, execution] : latest) {
    executions.push_back(std::move(execution));
  }
  return executions;
}

ExecutionLog::ExecutionLog(const std::string& path) {
  if (!path.empty()) {
    file_.open(path, std::ios::app);
  }
}

size_t ExecutionLog::Start(Execution execution) {
  execution.start_ns = MonotonicNanoseconds();
  WriteLine(execution);
  executions_.push_back(std::move(execution));
  return executions_.size() - 1;
}

void ExecutionLog::End(size_t position, bool completed) {
  Execution& it = executions_[position];
  it.end_ns = MonotonicNanoseconds();
  it.completed = completed;
  WriteLine(it);
}

void ExecutionLog::WriteLine(const Execution& execution) {
  if (file_.is_open()) {
    file_ << ToJson(execution).dump() << std::endl;
  }
}

}  // namespace wasabi::support
