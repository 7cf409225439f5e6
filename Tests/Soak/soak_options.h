// Options of a soak run: its size, its schedule, and the bounds that are
// checked.

#ifndef TESTS_SOAK_SOAK_OPTIONS_H_
#define TESTS_SOAK_SOAK_OPTIONS_H_

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>

#include "LibCore/time.h"

namespace wasabi::soak {

// The bounds that hosts are configured with and that the checker verifies.
struct Bounds {
  // Time within which hosts stop sending requests to a leaving endpoint.
  core::Duration leaving = core::seconds(2);
  // Time within which a new configuration takes effect.
  core::Duration configuration = core::seconds(2);
  // Time within which hosts stop sending requests to a data centre that is
  // evacuated.
  core::Duration evacuation = core::seconds(5);
  core::Duration shutdown_grace = core::seconds(8);
  // Time bounds apply to a host only after this long without a disturbance.
  core::Duration stable = core::seconds(3);
  // Time after the last disturbance from which requests must be served again.
  core::Duration recovery = core::seconds(6);
  core::Duration retry_window = core::seconds(10);
  double retry_ratio = 0.2;
  double retry_slack = 56;
};

struct SoakOptions {
  uint64_t seed = 1;
  // Family of the faults; by default the seed selects one.
  std::optional<size_t> family;
  size_t hosts = 4;
  size_t model_endpoints = 4;
  size_t plain_endpoints = 3;
  // Endpoints whose streams last longer than a stopping host has left.
  size_t long_endpoints = 3;
  double requests_per_second = 60;
  // Faults begin between `warm_up` and `faults_end`, as times since the start
  // of the run.
  core::Duration warm_up = core::seconds(4);
  core::Duration faults_end = core::seconds(12);
  // Leaves time after the faults for recovery, and for requests after that.
  core::Duration length = core::seconds(28);
  // Path of the wasabi_router binary under test.
  std::string router_binary;
  // Folder for the settings and logs of the hosts.
  std::string work_folder;
  Bounds bounds;
};

}  // namespace wasabi::soak

#endif  // TESTS_SOAK_SOAK_OPTIONS_H_
