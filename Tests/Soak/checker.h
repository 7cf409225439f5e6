// Checks the history of a soak run against the guarantees of the fleet. Does no
// I/O and reads no clock.

#ifndef TESTS_SOAK_CHECKER_H_
#define TESTS_SOAK_CHECKER_H_

#include <compare>
#include <string>
#include <vector>

#include "Tests/Soak/history.h"
#include "Tests/Soak/soak_options.h"

namespace wasabi::soak {

struct Violation {
  // The name of the violated guarantee.
  std::string guarantee;
  std::string detail;

  auto operator<=>(const Violation&) const = default;
};

// Returns all violations up to `now`. Calls that are still in progress are
// checked by their current state.
std::vector<Violation> CheckHistory(const History& history,
                                    const Bounds& bounds,
                                    core::TimePoint now);

// Returns true if the call received a complete answer with a 2xx status.
bool IsServed(const Call& call);

}  // namespace wasabi::soak

#endif  // TESTS_SOAK_CHECKER_H_
