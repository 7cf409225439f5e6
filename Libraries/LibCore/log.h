// The structured log: one line an event, in the form
//   time=… process=… event=309 name=runner_up request=… detail words
// on standard error. Boost.Log writes it.

#ifndef LIBCORE_LOG_H_
#define LIBCORE_LOG_H_

#include <string_view>

#include "LibCore/event.h"

namespace wasabi::core {

enum class LogLevel { kOff, kNotice, kRequest };

// Which events are written: none, those of the process and the fleet
// (kNotice), or those of single requests too (kRequest).
void SetLogLevel(LogLevel level);

// Writes one event where the level admits it.
void WriteLog(std::string_view process_name, const Event& event);

}  // namespace wasabi::core

#endif  // LIBCORE_LOG_H_
