// Options that determine the processes and settings of a launched fleet.

#ifndef TESTS_SUPPORT_FLEET_FLEET_OPTIONS_H_
#define TESTS_SUPPORT_FLEET_FLEET_OPTIONS_H_

#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "absl/status/statusor.h"

namespace wasabi::support {

// A deployment and the names that its intent file defines.
struct DeploymentProfile {
  std::string name;
  // Path of the intent file, relative to the root of the sources.
  std::string intent_file;
  std::string model;
  std::string model_pool;
  std::string service_pool;
  // An organisation and a service for test requests.
  std::string organisation;
  std::string service;
};

// Returns the deployment `name`, which is "salazar" or "mwangaza". Returns
// kUsage for any other name.
absl::StatusOr<DeploymentProfile> FindDeployment(std::string_view name);

// Values for the INI files of daemons, by section and key.
using IniOverrides = std::map<std::string, std::map<std::string, std::string>>;

// The size of a fleet, its files and the settings of its processes.
struct FleetOptions {
  // Folder of the binaries and root folder of the sources.
  std::string binary_folder = "build/bin";
  std::string source_folder = ".";
  // Folder for settings, logs and execution files. If empty, a temporary folder
  // is created, and removed after a run without failures.
  std::string work_folder;
  DeploymentProfile deployment;
  // Intent text that is applied in place of the deployment's file, if not
  // empty.
  std::string intent_text;
  int entries = 3;
  int engines = 9;
  int services = 3;
  // True to put fault proxies in front of the endpoints, the platform and the
  // routers.
  bool has_proxies = false;
  uint64_t seed = 1;
  IniOverrides router_settings;
  IniOverrides control_settings;
  std::vector<std::string> platform_flags;
  std::vector<std::string> engine_flags;
  std::vector<std::string> service_flags;
};

}  // namespace wasabi::support

#endif  // TESTS_SUPPORT_FLEET_FLEET_OPTIONS_H_
