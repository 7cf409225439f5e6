// Finds the lines of one request in the structured logs of daemons.

#ifndef UTILITIES_WASABICTL_LOG_LINES_H_
#define UTILITIES_WASABICTL_LOG_LINES_H_

#include <string>
#include <vector>

#include "absl/status/status.h"

namespace wasabi::wasabictl {

// Appends to `lines` the lines of the log file at `path` whose "request" field
// is `id`. Error: kSettingsUnreadable if the file can't be opened.
absl::Status AppendRequestLines(const std::string& path,
                                const std::string& id,
                                std::vector<std::string>* lines);

// Returns `lines` sorted by their "time_ns" field. The sort is stable; a line
// without a valid time sorts as time 0.
std::vector<std::string> SortByTime(std::vector<std::string> lines);

}  // namespace wasabi::wasabictl

#endif  // UTILITIES_WASABICTL_LOG_LINES_H_
