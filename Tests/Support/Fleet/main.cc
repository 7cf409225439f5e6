// wasabi_fleet starts a complete fleet on this machine, runs an experiment
// against it or waits for a signal, and then stops all processes that it
// started.

#include <gflags/gflags.h>

#include <chrono>
#include <csignal>
#include <fstream>
#include <iostream>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "LibCore/event_loop.h"
#include "LibCore/result_code.h"
#include "LibCore/text.h"
#include "LibCore/try.h"
#include "Tests/Support/Fleet/fleet.h"

DEFINE_string(binaries, "build/bin", "folder of the binaries");
DEFINE_string(sources, ".", "root folder of the sources");
DEFINE_string(work_folder,
              "",
              "folder for settings and logs; temporary if empty");
DEFINE_string(deployment, "salazar", "salazar or mwangaza");
DEFINE_int32(entries, 3, "entry hosts");
DEFINE_int32(engines, 9, "engines");
DEFINE_int32(services, 3, "plain services");
DEFINE_bool(proxies,
            false,
            "put fault proxies in front of endpoints, platform and routers");
DEFINE_string(engine_flags, "", "flags for each engine, separated by commas");
DEFINE_string(router_settings,
              "",
              "settings of the routers, as SECTION.KEY=VALUE,…");
DEFINE_string(strategy,
              "",
              "placement strategy that replaces the intent's: owners, random, "
              "least_reported, plain_hash or bounded_hash");
DEFINE_string(load_bound, "", "load bound that replaces the intent's");
DEFINE_string(experiment,
              "",
              "experiment to run; if empty, the fleet runs until SIGINT");
DEFINE_string(load_flags, "", "flags for wasabi_load, separated by commas");
DEFINE_int32(timeout_s, 900, "timeout of an experiment, seconds");

namespace wasabi::support {
namespace {

absl::StatusOr<IniOverrides> ParseOverrides(const std::string& text) {
  IniOverrides overrides;
  for (const std::string& it : core::SplitList(text)) {
    const size_t dot = it.find('.');
    const size_t equals = it.find('=');
    if (dot == std::string::npos || equals == std::string::npos ||
        equals < dot) {
      return core::MakeStatus(core::ResultCode::kUsage,
                              it + " does not have the form SECTION.KEY=VALUE");
    }
    overrides[it.substr(0, dot)][it.substr(dot + 1, equals - dot - 1)] =
        it.substr(equals + 1);
  }
  return overrides;
}

// Returns the text of the intent file at `path`, with the values of the flags
// --strategy and --load_bound where they are set.
std::string MakeIntent(const std::string& path) {
  const std::map<std::string, std::string> overrides = {
      {"strategy", FLAGS_strategy}, {"load_bound", FLAGS_load_bound}};
  std::ifstream file(path);
  std::string text;
  std::string line;
  while (std::getline(file, line)) {
    for (const auto& [key, value] : overrides) {
      if (!value.empty() && line.starts_with(key + " =")) {
        line = fmt::format("{} = {}", key, value);
      }
    }
    text += line + "\n";
  }
  return text;
}

absl::StatusOr<FleetOptions> OptionsFromFlags() {
  FleetOptions options;
  options.binary_folder = FLAGS_binaries;
  options.source_folder = FLAGS_sources;
  options.work_folder = FLAGS_work_folder;
  TRY_ASSIGN(options.deployment, FindDeployment(FLAGS_deployment));
  if (!FLAGS_strategy.empty() || !FLAGS_load_bound.empty()) {
    options.intent_text =
        MakeIntent(FLAGS_sources + "/" + options.deployment.intent_file);
  }
  options.entries = FLAGS_entries;
  options.engines = FLAGS_engines;
  options.services = FLAGS_services;
  options.has_proxies = FLAGS_proxies;
  options.engine_flags = core::SplitList(FLAGS_engine_flags);
  TRY_ASSIGN(options.router_settings, ParseOverrides(FLAGS_router_settings));
  return options;
}

// Runs wasabi_load against `fleet` and returns its exit code.
absl::StatusOr<int> RunExperiment(const Fleet& fleet) {
  std::vector<std::string> arguments = {
      FLAGS_binaries + "/wasabi_load",
      "--experiment=" + FLAGS_experiment,
      "--entries=" + JoinAddresses(fleet.routers()),
      "--routers=" + JoinAddresses(fleet.routers()),
      "--engines=" + JoinAddresses(fleet.engines()),
      "--services=" + JoinAddresses(fleet.services()),
      fmt::format("--execution_files={}",
                  fmt::join(fleet.ExecutionFiles(), ","))};
  for (const std::string& it : core::SplitList(FLAGS_load_flags)) {
    arguments.push_back(it);
  }
  TRY_ASSIGN(const std::unique_ptr<ChildProcess> load,
             ChildProcess::Start(arguments, ""));
  const auto exit = load->Wait(core::seconds(FLAGS_timeout_s));
  if (!exit) {
    return core::MakeStatus(core::ResultCode::kDeadlineExceeded,
                            "wasabi_load did not finish within --timeout_s");
  }
  return exit->signal != 0 ? 1 : exit->code;
}

// Prints the addresses of the fleet and blocks until SIGINT or SIGTERM.
void Hold(const Fleet& fleet) {
  std::cout << "entries: " << JoinAddresses(fleet.routers())
            << "\ncontrols: " << JoinAddresses(fleet.controls())
            << "\nengines: " << JoinAddresses(fleet.engines())
            << "\nservices: " << JoinAddresses(fleet.services())
            << "\nplatform: " << fleet.AddressOf("platform").ToString()
            << "\nwork folder: " << fleet.work_folder() << std::endl;
  core::EventLoop loop;
  loop.OnSignal(SIGTERM, [&loop] { loop.Stop(); });
  loop.OnSignal(SIGINT, [&loop] { loop.Stop(); });
  // Signal handlers alone do not keep the loop running.
  const auto timer = loop.NewTimer([] {});
  timer->StartRepeating(std::chrono::hours(1));
  loop.Run();
}

absl::StatusOr<int> Run() {
  TRY_ASSIGN(const FleetOptions options, OptionsFromFlags());
  TRY_ASSIGN(const std::unique_ptr<Fleet> fleet, Fleet::Create(options));
  int code = 0;
  if (FLAGS_experiment.empty()) {
    Hold(*fleet);
  } else {
    TRY_ASSIGN(code, RunExperiment(*fleet));
  }
  if (code != 0) {
    fleet->KeepWorkFolder();
    std::cerr << "time line: " << fleet->CollectTimeLine() << "\n";
  }
  const absl::Status stopped = fleet->Stop();
  if (!stopped.ok()) {
    fleet->KeepWorkFolder();
    return stopped;
  }
  return code;
}

}  // namespace
}  // namespace wasabi::support

int main(int argc, char** argv) {
  gflags::SetUsageMessage(
      "starts a fleet on loopback addresses: the platform, engines, services "
      "and entry hosts.\n"
      "With --experiment it runs wasabi_load, stops everything and exits with "
      "its code. Otherwise it runs the fleet until SIGINT or SIGTERM.");
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  const absl::StatusOr<int> code = wasabi::support::Run();
  if (!code.ok()) {
    std::cerr << wasabi::core::MessageOf(code.status()) << "\n";
    return 1;
  }
  return *code;
}
