#include "LibCore/log.h"

#include <unistd.h>

#include <algorithm>
#include <boost/log/core.hpp>
#include <boost/log/expressions.hpp>
#include <boost/log/sinks/sync_frontend.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/log/sources/severity_logger.hpp>
#include <boost/make_shared.hpp>
#include <boost/smart_ptr/shared_ptr.hpp>

#include "LibCore/log_sink.h"
#include "LibCore/result_code.h"
#include "LibCore/text.h"
#include "LibCore/time.h"

namespace wasabi::core {

namespace {

using Frontend = boost::log::sinks::synchronous_sink<LogSink>;

// Token bucket for the lines of single requests: lines per second on average,
// and lines in one burst.
constexpr double kRequestLinesPerSecond = 200;
constexpr double kRequestLineBurst = 400;

// All logging happens on the process's only thread, so the state needs no lock.
struct LogState {
  LogLevel level = LogLevel::kOff;
  boost::shared_ptr<LogSink> sink;
  double line_tokens = kRequestLineBurst;
  TimePoint refilled_at{};
  uint64_t lines_over_rate = 0;
  uint64_t reported_dropped = 0;
};

LogState& State() {
  static LogState state;
  return state;
}

bool IsRequestEvent(EventCode code) {
  constexpr int kFirstRequestEvent = 200;
  constexpr int kLastRequestEvent = 306;
  const int number = static_cast<int>(code);
  return number >= kFirstRequestEvent && number <= kLastRequestEvent;
}

bool TakeLineToken(LogState& state) {
  const TimePoint now = Clock::now();
  if (state.refilled_at != TimePoint()) {
    state.line_tokens =
        std::min(kRequestLineBurst,
                 state.line_tokens + ToSeconds(now - state.refilled_at) *
                                         kRequestLinesPerSecond);
  }
  state.refilled_at = now;
  if (state.line_tokens < 1) {
    ++state.lines_over_rate;
    return false;
  }
  state.line_tokens -= 1;
  return true;
}

void AddSink(LogState& state) {
  state.sink = boost::make_shared<LogSink>(STDOUT_FILENO);
  const auto frontend = boost::make_shared<Frontend>(state.sink);
  frontend->set_formatter(boost::log::expressions::stream
                          << boost::log::expressions::smessage);
  boost::log::core::get()->add_sink(frontend);
}

boost::log::sources::severity_logger<int>& Logger() {
  static boost::log::sources::severity_logger<int> logger;
  return logger;
}

void ReportDroppedLines(std::string_view process_name, LogState& state) {
  const uint64_t dropped_lines = DroppedLogLines();
  if (dropped_lines == state.reported_dropped) {
    return;
  }
  BOOST_LOG_SEV(Logger(), 0)
      << "process=" << process_name
      << " lines_left_out=" << dropped_lines - state.reported_dropped;
  // If this report is dropped itself, it counts towards the next one.
  state.reported_dropped = dropped_lines;
}

}  // namespace

absl::StatusOr<LogLevel> ParseLogLevel(const std::string& path,
                                       const std::string& text) {
  if (text == "off") {
    return LogLevel::kOff;
  }
  if (text == "notice") {
    return LogLevel::kNotice;
  }
  if (text == "request") {
    return LogLevel::kRequest;
  }
  return MakeStatus(
      ResultCode::kSettingsOutOfRange,
      fmt::format("{}: [log] level = {} is out of range; allowed: off, notice "
                  "or request",
                  path, text));
}

void SetLogLevel(LogLevel level) {
  LogState& state = State();
  state.level = level;
  if (state.sink == nullptr && level != LogLevel::kOff) {
    AddSink(state);
  }
}

void WriteLog(std::string_view process_name, const Event& event) {
  LogState& state = State();
  if (state.level == LogLevel::kOff) {
    return;
  }
  if (IsRequestEvent(event.code) &&
      (state.level != LogLevel::kRequest || !TakeLineToken(state))) {
    return;
  }
  ReportDroppedLines(process_name, state);
  BOOST_LOG_SEV(Logger(), 0)
      << "time_ns=" << event.wall_nanoseconds << " process=" << process_name
      << " event=" << static_cast<int>(event.code)
      << " name=" << Describe(event.code).name
      << " request=" << event.request_id << " " << event.detail;
}

uint64_t DroppedLogLines() {
  const LogState& state = State();
  return state.lines_over_rate +
         (state.sink == nullptr ? 0 : state.sink->dropped_lines());
}

}  // namespace wasabi::core
