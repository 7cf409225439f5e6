// Time types shared by all libraries. Decision code takes a TimePoint instead
// of reading a clock, so that tests can run it in virtual time.

#ifndef LIBCORE_TIME_H_
#define LIBCORE_TIME_H_

#include <chrono>
#include <cstdint>

namespace wasabi::core {

using Clock = std::chrono::steady_clock;
using TimePoint = Clock::time_point;
using Duration = Clock::duration;

using std::chrono::duration_cast;
using std::chrono::microseconds;
using std::chrono::milliseconds;
using std::chrono::seconds;

// Returns `duration` in whole milliseconds, rounded towards zero.
constexpr int64_t ToMilliseconds(Duration duration) {
  return duration_cast<milliseconds>(duration).count();
}

// Returns `duration` in seconds, including the fraction.
constexpr double ToSeconds(Duration duration) {
  return std::chrono::duration<double>(duration).count();
}

// Returns a duration of `value` seconds, which may be fractional.
constexpr Duration FromSeconds(double value) {
  return duration_cast<Duration>(std::chrono::duration<double>(value));
}

}  // namespace wasabi::core

#endif  // LIBCORE_TIME_H_
