#include "Tests/Support/Measure/process_usage.h"

#include <unistd.h>

#include <fstream>
#include <string>

#include "LibCore/text.h"

namespace wasabi::support {

std::optional<core::Duration> CpuTimeOf(pid_t pid) {
  std::ifstream file(fmt::format("/proc/{}/stat", pid));
  std::string line;
  if (!std::getline(file, line)) {
    return std::nullopt;
  }
  // The second field is the command name in parentheses, which may contain
  // spaces. The fields are therefore counted from its closing parenthesis,
  // where the state is the first one.
  constexpr size_t kUserTimeField = 11;
  constexpr size_t kSystemTimeField = 12;
  const std::vector<std::string> fields =
      core::SplitList(std::string_view(line).substr(line.rfind(')') + 1), ' ');
  if (fields.size() <= kSystemTimeField) {
    return std::nullopt;
  }
  const auto user = core::ParseNumber<int64_t>(fields[kUserTimeField]);
  const auto system = core::ParseNumber<int64_t>(fields[kSystemTimeField]);
  const auto ticks = static_cast<double>(user.value_or(0) + system.value_or(0));
  return core::FromSeconds(ticks / static_cast<double>(sysconf(_SC_CLK_TCK)));
}

}  // namespace wasabi::support
