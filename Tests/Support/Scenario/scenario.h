// A fleet under load, for the proofs of Tests/Integration: wasabi_load sends
// and checks in the background while a test brings faults about.

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

// The options of a fleet for integration tests: the programs of this build, the
// deployment "salazar", a few engines, services and entries. The routers run
// without the mechanisms that the environment variable
// WASABI_DISABLED_MECHANISMS names, to see a proof fail.
FleetOptions SmallFleet();

// The load of one scenario.
struct ScenarioLoad {
  core::Duration duration = std::chrono::seconds(8);
  double turns_per_second = 30;
  double service_calls_per_second = 10;
  uint64_t seed = 1;
  // A call whose owner died is declared unknown after about 31 s.
  core::Duration service_patience = std::chrono::seconds(40);
  // More lines of the experiment file, see wasabi_load --schema.
  std::string more_settings;
};

class Scenario {
 public:
  // Starts the fleet and waits until it serves.
  static absl::StatusOr<std::unique_ptr<Scenario>> Create(
      const FleetOptions& options);

  Fleet& fleet() { return *fleet_; }

  // Starts wasabi_load in the background.
  absl::Status StartLoad(const ScenarioLoad& load);

  // Waits for wasabi_load and returns its result: the JSON object of its last
  // line. The error holds the end of its output.
  absl::StatusOr<nlohmann::json> FinishLoad(core::Duration timeout);

  // What wasabi_load has printed: its measures and the problems that its
  // checker found.
  std::string LoadOutput() const;

  // Whether wasabi_load still runs.
  bool IsLoadRunning() { return load_ && !load_->Poll(); }

  // The time line of all daemons, for the message of a failed check.
  std::string TimeLine();

 private:
  explicit Scenario(std::unique_ptr<Fleet> fleet) : fleet_(std::move(fleet)) {}

  std::unique_ptr<Fleet> fleet_;
  std::unique_ptr<ChildProcess> load_;
};

}  // namespace wasabi::support

#endif  // TESTS_SUPPORT_SCENARIO_SCENARIO_H_
