// Holds a soak's history against what the fleet promises. Pure.

#ifndef TESTS_SOAK_CHECKER_H_
#define TESTS_SOAK_CHECKER_H_

#include <compare>
#include <string>
#include <vector>

#include "Tests/Soak/history.h"
#include "Tests/Soak/soak_options.h"

namespace wasabi::soak {

struct Violation {
  // Name of the promise.
  std::string promise;
  std::string detail;

  auto operator<=>(const Violation&) const = default;
};

// All violations up to `now`; calls that still run are taken as they stand.
std::vector<Violation> CheckHistory(const History& history,
                                    const Bounds& bounds,
                                    core::TimePoint now);

// Whether a call got a whole answer of success.
bool IsServed(const Call& call);

}  // namespace wasabi::soak

#endif  // TESTS_SOAK_CHECKER_H_
