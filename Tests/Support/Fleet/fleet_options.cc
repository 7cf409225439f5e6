#include "Tests/Support/Fleet/fleet_options.h"

#include "LibCore/result_code.h"
#include "LibCore/text.h"

namespace wasabi::support {

absl::StatusOr<DeploymentProfile> FindDeployment(std::string_view name) {
  static const std::vector<DeploymentProfile> kDeployments = {
      {"salazar", "examples/salazar.ini", "luthier", "salazar-models",
       "salazar-counter", "quito-schools", "holds"},
      {"mwangaza", "examples/mwangaza.ini", "catalogue", "mwangaza-models",
       "mwangaza-catalogue", "university-of-nairobi", "transfer-credit"},
  };
  for (const DeploymentProfile& it : kDeployments) {
    if (it.name == name) {
      return it;
    }
  }
  return core::MakeStatus(
      core::ResultCode::kUsage,
      fmt::format("unknown deployment {}: must be salazar or mwangaza", name));
}

}  // namespace wasabi::support
