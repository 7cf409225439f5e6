// What a launched fleet consists of.

#ifndef TESTS_SUPPORT_FLEET_FLEET_OPTIONS_H_
#define TESTS_SUPPORT_FLEET_FLEET_OPTIONS_H_

#include <map>
#include <string>
#include <string_view>
#include <vector>

#include "absl/status/statusor.h"

namespace wasabi::support {

// A deployment with the names that its intent file uses.
struct DeploymentProfile {
  std::string name;
  // Intent file, relative to the root of the sources.
  std::string intent_file;
  std::string model;
  std::string model_pool;
  std::string service_pool;
  // An organisation and a service that probes may use.
  std::string organisation;
  std::string service;
};

// The deployment `name`: "salazar" or "mwangaza".
absl::StatusOr<DeploymentProfile> FindDeployment(std::string_view name);

// Values for the INI files of daemons: section, then key.
using IniOverrides = std::map<std::string, std::map<std::string, std::string>>;

struct FleetOptions {
  // Folder of the binaries, and of the sources.
  std::string binary_folder = "build/bin";
  std::string source_folder = ".";
  // Folder for settings, logs and execution files; made when empty, and
  // removed after a run without failures.
  std::string work_folder;
  DeploymentProfile deployment;
  // The text of an intent to apply in place of the deployment's file.
  std::string intent_text;
  int entries = 3;
  int engines = 9;
  int services = 3;
  // Whether fault proxies stand before the endpoints and the platform.
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
