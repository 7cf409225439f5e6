// The output of the log: writes each line to a descriptor, and drops a line
// that the descriptor does not accept whole and at once.

#ifndef LIBCORE_LOG_SINK_H_
#define LIBCORE_LOG_SINK_H_

#include <boost/log/sinks/basic_sink_backend.hpp>
#include <cstdint>
#include <string>

namespace wasabi::core {

class LogSink : public boost::log::sinks::basic_formatted_sink_backend<char> {
 public:
  explicit LogSink(int descriptor) : descriptor_(descriptor) {}

  // Called by Boost.Log with each formatted line.
  void consume(const boost::log::record_view& record, const std::string& line);

  uint64_t dropped_lines() const { return dropped_lines_; }

 private:
  bool WriteLine(std::string line);

  const int descriptor_;
  uint64_t dropped_lines_ = 0;
};

}  // namespace wasabi::core

#endif  // LIBCORE_LOG_SINK_H_
