// Starts wasabi_load against a launched fleet and reads its result.

#ifndef TESTS_SUPPORT_MEASURE_LOAD_COMMAND_H_
#define TESTS_SUPPORT_MEASURE_LOAD_COMMAND_H_

#include <memory>
#include <nlohmann/json.hpp>
#include <string>

#include "Tests/Support/Fleet/fleet.h"

namespace wasabi::support {

// A running wasabi_load process.
class LoadCommand {
 public:
  // Starts the experiment with the INI text `experiment`. `name` is the base
  // name of its files in the fleet's work folder. If `is_direct` is true, the
  // requests bypass the routers and go directly to the engines.
  static absl::StatusOr<std::unique_ptr<LoadCommand>> Start(
      const Fleet& fleet,
      const std::string& name,
      const std::string& experiment,
      bool is_direct);

  // Waits for the process to exit and returns the result. Returns an error
  // after `timeout`, and if the run found lost, wrong or doubled requests.
  absl::StatusOr<nlohmann::json> Finish(core::Duration timeout);

 private:
  LoadCommand(std::unique_ptr<ChildProcess> process, std::string result_path);

  std::unique_ptr<ChildProcess> process_;
  std::string result_path_;
};

}  // namespace wasabi::support

#endif  // TESTS_SUPPORT_MEASURE_LOAD_COMMAND_H_
