// What a soak run consists of.

#ifndef TESTS_SOAK_SOAK_OPTIONS_H_
#define TESTS_SOAK_SOAK_OPTIONS_H_

#include <cstddef>
#include <cstdint>
#include <string>

#include "LibCore/time.h"

namespace wasabi::soak {

// The promises that the hosts are configured with and held to.
struct Bounds {
  core::Duration leaving = core::seconds(2);
  core::Duration configuration = core::seconds(2);
  core::Duration shutdown_grace = core::seconds(6);
  // Bounds on time hold for a host that was undisturbed for this long.
  core::Duration stable = core::seconds(3);
  // After trouble, requests are served again after this time.
  core::Duration recovery = core::seconds(6);
  core::Duration retry_window = core::seconds(10);
  double retry_ratio = 0.2;
  double retry_slack = 56;
};

struct SoakOptions {
  uint64_t seed = 1;
  size_t hosts = 4;
  size_t model_endpoints = 4;
  size_t plain_endpoints = 3;
  double requests_per_second = 60;
  // Faults begin after the first and end before the second.
  core::Duration warm_up = core::seconds(4);
  core::Duration faults_end = core::seconds(14);
  // Long enough after the faults for recovery, and for requests after it.
  core::Duration length = core::seconds(28);
  // The program under test.
  std::string router_binary;
  // Settings and logs of the hosts.
  std::string work_folder;
  Bounds bounds;
};

}  // namespace wasabi::soak

#endif  // TESTS_SOAK_SOAK_OPTIONS_H_
