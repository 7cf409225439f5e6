// Runs a fleet under load for the tests in Tests/Integration. wasabi_load sends
// requests and checks the answers in the background while a test injects
// faults.

#ifndef TESTS_SUPPORT_SCENARIO_SCENARIO_H_
#define TESTS_SUPPORT_SCENARIO_SCENARIO_H_

#include <memory>
#include <nlohmann/json.hpp>
#include <string>

#include "LibCore/time.h"
#include "Tests/Support/Fleet/child_process.h"
#include "Tests/Support/Fleet/fleet.h"
#include "Tests/Support/Fleet/fleet_options.h"
#include "absl/status/statusor.h"

namespace wasabi::support {

// Returns the options of a fleet for integration tests: the programs of this
// build, the deployment "salazar" and a few engines, services and entry hosts.
// The environment variable WASABI_DISABLED_MECHANISMS names mechanisms that the
// routers disable, which shows that a test fails without them.
FleetOptions SmallFleetOptions();

// Settings of the load in one scenario.
struct ScenarioLoad {
  core::Duration duration = std::chrono::seconds(8);
  double turns_per_second = 30;
  double service_calls_per_second = 10;
  uint64_t seed = 1;
  // Exceeds the time of about 31 s after which the outcome of a call whose
  // owner crashed becomes unknown.
  core::Duration service_patience = std::chrono::seconds(40);
  // Additional lines for the experiment file, see wasabi_load --schema.
  std::string more_settings;
};

// A fleet and the wasabi_load process that runs against it.
class Scenario {
 public:
  // Starts the fleet and waits until every router serves requests.
  static absl::StatusOr<std::unique_ptr<Scenario>> Create(
      const FleetOptions& options);

  Fleet& fleet() { return *fleet_; }

  // Starts wasabi_load in the background.
  absl::Status StartLoad(const ScenarioLoad& load);

  // Waits for wasabi_load to exit and returns the JSON object in the last line
  // of its output. If there is none, the error message contains the output.
  absl::StatusOr<nlohmann::json> FinishLoad(core::Duration timeout);

  // Returns the output of wasabi_load: its measurements and the problems that
  // its checker found.
  std::string LoadOutput() const;

  // Returns whether wasabi_load is still running.
  bool IsLoadRunning() { return load_ && !load_->Poll(); }

  // Returns the merged events of all daemons, for the message of a failed
  // check.
  std::string TimeLine();

 private:
  explicit Scenario(std::unique_ptr<Fleet> fleet) : fleet_(std::move(fleet)) {}

  std::unique_ptr<Fleet> fleet_;
  std::unique_ptr<ChildProcess> load_;
};

}  // namespace wasabi::support

#endif  // TESTS_SUPPORT_SCENARIO_SCENARIO_H_
