#include "Tests/Support/Scenario/scenario.h"

#include <unistd.h>

#include <array>
#include <cstdlib>
#include <fstream>
#include <sstream>

#include "LibCore/result_code.h"
#include "LibCore/text.h"
#include "LibCore/try.h"

namespace wasabi::support {

namespace {

constexpr int kSmallEngines = 5;

// Returns the folder of the running program, which contains all programs of the
// build.
std::string ProgramFolder() {
  std::array<char, 4096> buf{};
  const ssize_t n = readlink("/proc/self/exe", buf.data(), buf.size() - 1);
  const std::string path(buf.data(), n > 0 ? static_cast<size_t>(n) : 0);
  return path.substr(0, path.rfind('/'));
}

std::string ReadFile(const std::string& path) {
  std::ifstream file(path);
  std::stringstream text;
  text << file.rdbuf();
  return text.str();
}

std::string LastLine(const std::string& text) {
  std::string last;
  std::istringstream lines(text);
  for (std::string line; std::getline(lines, line);) {
    if (!line.empty()) {
      last = line;
    }
  }
  return last;
}

std::string ExperimentText(const ScenarioLoad& load,
                           const DeploymentProfile& deployment) {
  constexpr core::Duration kWarmUp = std::chrono::seconds(1);
  return fmt::format(
      "[experiment]\nname = scenario\nseed = {}\nduration_ms = {}\n"
      "warm_up_ms = {}\n"
      "[chats]\nmodel = {}\nturns_per_second = {}\npause_ms_min = 200\n"
      "pause_ms_max = 1500\n"
      "[organisations]\nnames = {}\n"
      "[service]\nname = {}\npath = place\ncalls_per_second = {}\n"
      "resend_share = 0.3\npatience_ms = {}\n{}\n",
      load.seed, core::ToMilliseconds(load.duration),
      core::ToMilliseconds(kWarmUp), deployment.model, load.turns_per_second,
      deployment.organisation, deployment.service,
      load.service_calls_per_second,
      core::ToMilliseconds(load.service_patience), load.more_settings);
}

}  // namespace

FleetOptions SmallFleetOptions() {
  FleetOptions options;
  options.binary_folder = ProgramFolder();
  options.source_folder = WASABI_SOURCE_DIR;
  const auto deployment = FindDeployment("salazar");
  if (deployment.ok()) {
    options.deployment = *deployment;
  }
  options.engines = kSmallEngines;
  if (const char* disabled = std::getenv("WASABI_DISABLED_MECHANISMS")) {
    options.router_settings["testing"]["disabled_mechanisms"] = disabled;
  }
  return options;
}

absl::StatusOr<std::unique_ptr<Scenario>> Scenario::Create(
    const FleetOptions& options) {
  TRY_ASSIGN(std::unique_ptr<Fleet> fleet, Fleet::Create(options));
  return std::unique_ptr<Scenario>(new Scenario(std::move(fleet)));
}

absl::Status Scenario::StartLoad(const ScenarioLoad& load) {
  const std::string folder = fleet_->work_folder();
  std::ofstream(folder + "/experiment.ini")
      << ExperimentText(load, fleet_->options().deployment);
  TRY_ASSIGN(load_, ChildProcess::Start(
                        {fleet_->options().binary_folder + "/wasabi_load",
                         "--experiment=" + folder + "/experiment.ini",
                         "--entries=" + JoinAddresses(fleet_->routers()),
                         "--routers=" + JoinAddresses(fleet_->routers()),
                         "--engines=" + JoinAddresses(fleet_->engines()),
                         "--services=" + JoinAddresses(fleet_->services()),
                         fmt::format("--execution_files={}",
                                     fmt::join(fleet_->ExecutionFiles(), ","))},
                        folder + "/load.log"));
  return absl::OkStatus();
}

absl::StatusOr<nlohmann::json> Scenario::FinishLoad(core::Duration timeout) {
  const auto exit = load_->Wait(timeout);
  const std::string output = LoadOutput();
  nlohmann::json result =
      nlohmann::json::parse(LastLine(output), nullptr, false);
  if (!exit || !result.is_object()) {
    return core::MakeStatus(core::ResultCode::kDeadlineExceeded,
                            "wasabi_load returned no result: " + output);
  }
  return result;
}

std::string Scenario::LoadOutput() const {
  return ReadFile(fleet_->work_folder() + "/load.log");
}

std::string Scenario::TimeLine() {
  return ReadFile(fleet_->CollectTimeLine());
}

}  // namespace wasabi::support
