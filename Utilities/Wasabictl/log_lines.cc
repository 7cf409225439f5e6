#include "Utilities/Wasabictl/log_lines.h"

#include <algorithm>
#include <cstdint>
#include <fstream>
#include <string_view>

#include "LibCore/result_code.h"
#include "LibCore/text.h"

namespace wasabi::wasabictl {

namespace {

// Returns the value of the first "key=value" field of a line, up to the next
// space, or an empty string if the line has no such field.
std::string_view FindField(std::string_view line, std::string_view key) {
  const std::string word = std::string(key) + "=";
  const size_t position = line.find(word);
  if (position == std::string_view::npos) {
    return {};
  }
  const std::string_view rest = line.substr(position + word.size());
  return rest.substr(0, rest.find(' '));
}

int64_t ParseTime(const std::string& line) {
  return core::ParseNumber<int64_t>(FindField(line, "time_ns")).value_or(0);
}

}  // namespace

absl::Status AppendRequestLines(const std::string& path,
                                const std::string& id,
                                std::vector<std::string>* lines) {
  std::ifstream file(path);
  if (!file) {
    return core::MakeStatus(core::ResultCode::kSettingsUnreadable,
                            path + ": can't be opened");
  }
  std::string line;
  while (std::getline(file, line)) {
    if (FindField(line, "request") == id) {
      lines->push_back(line);
    }
  }
  return absl::OkStatus();
}

std::vector<std::string> SortByTime(std::vector<std::string> lines) {
  std::stable_sort(lines.begin(), lines.end(),
                   [](const std::string& a, const std::string& b) {
                     return ParseTime(a) < ParseTime(b);
                   });
  return lines;
}

}  // namespace wasabi::wasabictl
