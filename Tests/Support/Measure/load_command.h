// Runs wasabi_load against a launched fleet.

#ifndef TESTS_SUPPORT_MEASURE_LOAD_COMMAND_H_
#define TESTS_SUPPORT_MEASURE_LOAD_COMMAND_H_

#include <memory>
#include <nlohmann/json.hpp>
#include <string>

#include "Tests/Support/Fleet/fleet.h"

namespace wasabi::support {

// A wasabi_load that runs.
class LoadCommand {
 public:
  // Starts the experiment whose INI text is `experiment`; `name` names its
  // files in the fleet's work folder. With `is_direct` the requests go to the
  // engines, past the fleet.
  static absl::StatusOr<std::unique_ptr<LoadCommand>> Start(
      const Fleet& fleet,
      const std::string& name,
      const std::string& experiment,
      bool is_direct);

  // Waits for the end and returns the result; an error where the run found
  // lost, wrong or doubled requests.
  absl::StatusOr<nlohmann::json> Finish(core::Duration timeout);

 private:
  LoadCommand(std::unique_ptr<ChildProcess> process, std::string result_path);

  std::unique_ptr<ChildProcess> process_;
  std::string result_path_;
};

}  // namespace wasabi::support

#endif  // TESTS_SUPPORT_MEASURE_LOAD_COMMAND_H_
