#include "Tests/Support/Measure/load_command.h"

#include <fstream>
#include <sstream>
#include <utility>

#include "LibCore/result_code.h"
#include "LibCore/text.h"
#include "LibCore/try.h"
#include "Tests/Support/http_replies.h"

namespace wasabi::support {

absl::StatusOr<std::unique_ptr<LoadCommand>> LoadCommand::Start(
    const Fleet& fleet,
    const std::string& name,
    const std::string& experiment,
    bool is_direct) {
  const std::string base = fleet.work_folder() + "/" + name;
  std::ofstream(base + ".ini") << experiment;
  const std::vector<std::string> arguments = {
      fleet.options().binary_folder + "/wasabi_load",
      "--experiment=" + base + ".ini",
      "--result=" + base + ".json",
      "--entries=" + JoinAddresses(fleet.routers()),
      "--routers=" + JoinAddresses(fleet.routers()),
      "--engines=" + JoinAddresses(fleet.engines()),
      "--services=" + JoinAddresses(fleet.services()),
      fmt::format("--direct={}", is_direct)};
  TRY_ASSIGN(std::unique_ptr<ChildProcess> process,
             ChildProcess::Start(arguments, base + ".log"));
  return std::unique_ptr<LoadCommand>(
      new LoadCommand(std::move(process), base + ".json"));
}

LoadCommand::LoadCommand(std::unique_ptr<ChildProcess> process,
                         std::string result_path)
    : process_(std::move(process)), result_path_(std::move(result_path)) {}

absl::StatusOr<nlohmann::json> LoadCommand::Finish(core::Duration timeout) {
  const std::optional<ProcessExit> exit = process_->Wait(timeout);
  if (!exit || *exit != ProcessExit{0, 0}) {
    return core::MakeStatus(core::ResultCode::kEndpointFailed,
                            fmt::format("wasabi_load for {}: {}", result_path_,
                                        exit ? exit->ToString() : "timeout"));
  }
  std::ifstream file(result_path_);
  std::stringstream text;
  text << file.rdbuf();
  return ParseObject(text.str());
}

}  // namespace wasabi::support
