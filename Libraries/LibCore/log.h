// The structured log: one line an event on standard output, in the form
//   time_ns=… process=… event=309 name=runner_up request=… key=value …
// Boost.Log writes it. It never blocks: a line that standard output can't take
// at once is left out, and so are lines of single requests beyond a rate. The
// number of lines left out is written as soon as there is room.

#ifndef LIBCORE_LOG_H_
#define LIBCORE_LOG_H_

#include <cstdint>
#include <string>
#include <string_view>

#include "LibCore/event.h"
#include "absl/status/statusor.h"

namespace wasabi::core {

enum class LogLevel { kOff, kNotice, kRequest };

// Which events are written: none, those of the process and the fleet
// (kNotice), or those of single requests too (kRequest).
void SetLogLevel(LogLevel level);

// The level that the setting [log] level = `text` of the file at `path` names.
// Error: kSettingsOutOfRange.
absl::StatusOr<LogLevel> ParseLogLevel(const std::string& path,
                                       const std::string& text);

// Writes one event where the level admits it.
void WriteLog(std::string_view process_name, const Event& event);

// Lines that were left out since the start of the process.
uint64_t LogLinesLeftOut();

}  // namespace wasabi::core

#endif  // LIBCORE_LOG_H_
