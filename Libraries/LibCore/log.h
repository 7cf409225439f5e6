// The structured log: one line per event on standard output, in the form
//   time_ns=… process=… event=309 name=runner_up request=… key=value …
// The lines go through Boost.Log. Logging never blocks: a line that standard
// output can't accept at once is dropped, and so are lines of single requests
// above a rate limit. The number of dropped lines is logged with the next line
// that is written.

#ifndef LIBCORE_LOG_H_
#define LIBCORE_LOG_H_

#include <cstdint>
#include <string>
#include <string_view>

#include "LibCore/event.h"
#include "absl/status/statusor.h"

namespace wasabi::core {

enum class LogLevel { kOff, kNotice, kRequest };

// Selects the events that are written: none (kOff), events of the process and
// the fleet (kNotice), or also events of single requests (kRequest).
void SetLogLevel(LogLevel level);

// Returns the level named by `text`, the value of the setting [log] level in
// the file at `path`. Error: kSettingsOutOfRange.
absl::StatusOr<LogLevel> ParseLogLevel(const std::string& path,
                                       const std::string& text);

// Writes `event` if the log level includes it.
void WriteLog(std::string_view process_name, const Event& event);

// Returns the number of lines dropped since the process started.
uint64_t DroppedLogLines();

}  // namespace wasabi::core

#endif  // LIBCORE_LOG_H_
