// The fleet of an integration test.

#ifndef TESTS_INTEGRATION_TEST_FLEET_H_
#define TESTS_INTEGRATION_TEST_FLEET_H_

#include <memory>
#include <string>

#include "Tests/Support/Fleet/fleet.h"

namespace wasabi::support {

// Options of a small fleet of Salazar's deployment: three entry hosts, three
// engines, one service. The binaries are those of the folder that the
// environment variable WASABI_BINARIES names.
FleetOptions ThinFleet();

// Starts a fleet; fails the test where that fails.
std::unique_ptr<Fleet> StartFleet(const FleetOptions& options);

// Shows the time line of `fleet` and keeps its logs when the test fails before
// the end of its scope.
class TimeLineOnFailure {
 public:
  explicit TimeLineOnFailure(Fleet* fleet) : fleet_(fleet) {}
  ~TimeLineOnFailure();
  TimeLineOnFailure(const TimeLineOnFailure&) = delete;
  TimeLineOnFailure& operator=(const TimeLineOnFailure&) = delete;

  // The test has passed.
  void Dismiss() { fleet_ = nullptr; }

 private:
  Fleet* fleet_;
};

}  // namespace wasabi::support

#endif  // TESTS_INTEGRATION_TEST_FLEET_H_
