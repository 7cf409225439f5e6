// Helpers that start a small fleet for an integration test and collect its logs
// when the test fails.

#ifndef TESTS_INTEGRATION_TEST_FLEET_H_
#define TESTS_INTEGRATION_TEST_FLEET_H_

#include <memory>
#include <string>

#include "Tests/Support/Fleet/fleet.h"

namespace wasabi::support {

// Returns the options of a small fleet for the deployment "salazar": three
// entry hosts, three engines and one service. The binaries come from the folder
// in the environment variable WASABI_BINARIES, or from build/bin if it is not
// set.
FleetOptions ThinFleetOptions();

// Starts a fleet. Fails the current test if the fleet does not start.
std::unique_ptr<Fleet> StartFleet(const FleetOptions& options);

// Prints the time line of `fleet` and keeps its work folder with the logs when
// it is destroyed without a call of Dismiss(). `fleet` must outlive it.
class TimeLineOnFailure {
 public:
  explicit TimeLineOnFailure(Fleet* fleet) : fleet_(fleet) {}
  ~TimeLineOnFailure();
  TimeLineOnFailure(const TimeLineOnFailure&) = delete;
  TimeLineOnFailure& operator=(const TimeLineOnFailure&) = delete;

  // Disables the output. Called when the test has passed.
  void Dismiss() { fleet_ = nullptr; }

 private:
  Fleet* fleet_;
};

}  // namespace wasabi::support

#endif  // TESTS_INTEGRATION_TEST_FLEET_H_
