#include "LibCore/log.h"

#include <boost/log/core.hpp>
#include <boost/log/keywords/auto_flush.hpp>
#include <boost/log/keywords/format.hpp>
#include <boost/log/sources/record_ostream.hpp>
#include <boost/log/sources/severity_logger.hpp>
#include <boost/log/utility/setup/console.hpp>
#include <iostream>

namespace wasabi::core {

namespace {

LogLevel g_log_level = LogLevel::kOff;

bool IsRequestEvent(EventCode code) {
  constexpr int kFirstRequestEvent = 200;
  constexpr int kLastRequestEvent = 306;
  const int number = static_cast<int>(code);
  return number >= kFirstRequestEvent && number <= kLastRequestEvent;
}

}  // namespace

void SetLogLevel(LogLevel level) {
  const bool is_first = g_log_level == LogLevel::kOff;
  g_log_level = level;
  if (is_first && level != LogLevel::kOff) {
    boost::log::add_console_log(std::clog,
                                boost::log::keywords::format = "%Message%",
                                boost::log::keywords::auto_flush = true);
  }
}

void WriteLog(std::string_view process_name, const Event& event) {
  if (g_log_level == LogLevel::kOff ||
      (IsRequestEvent(event.code) && g_log_level != LogLevel::kRequest)) {
    return;
  }
  static boost::log::sources::severity_logger<int> logger;
  BOOST_LOG_SEV(logger, 0) << "time_ns=" << event.wall_nanoseconds
                           << " process=" << process_name
                           << " event=" << static_cast<int>(event.code)
                           << " name=" << Describe(event.code).name
                           << " request=" << event.request_id << " "
                           << event.detail;
}

}  // namespace wasabi::core
