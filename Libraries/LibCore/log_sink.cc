#include "LibCore/log_sink.h"

#include <poll.h>
#include <unistd.h>

#include <algorithm>
#include <utility>

namespace wasabi::core {

namespace {

// A pipe that polls as writable accepts this many bytes without blocking.
constexpr size_t kMaxLineBytes = 4096;

bool IsWritable(int descriptor) {
  pollfd request{.fd = descriptor, .events = POLLOUT, .revents = 0};
  return poll(&request, 1, 0) == 1 && (request.revents & POLLOUT) != 0;
}

}  // namespace

void LogSink::consume(const boost::log::record_view& /*record*/,
                      const std::string& line) {
  if (!WriteLine(line)) {
    ++dropped_lines_;
  }
}

bool LogSink::WriteLine(std::string line) {
  if (!IsWritable(descriptor_)) {
    return false;
  }
  line.resize(std::min(line.size(), kMaxLineBytes - 1));
  line.push_back('\n');
  return write(descriptor_, line.data(), line.size()) ==
         static_cast<ssize_t>(line.size());
}

}  // namespace wasabi::core
