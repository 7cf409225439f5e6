// What an operator wants, as typed values read from an INI file:
//
//   [intent]
//   kind = load_bound
//   deployment = salazar
//   model = luthier
//   load_bound = 1.5
//
// The kinds are deployment, load_bound, organisation, drain, undrain,
// wanted_state and forget_wanted_state. A file of the kind deployment states
// the whole deployment in sections [model NAME], [service NAME] and
// [organisation NAME].

#ifndef LIBINTENT_INTENT_H_
#define LIBINTENT_INTENT_H_

#include <compare>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

#include "LibCore/identifier.h"
#include "LibCore/settings.h"
#include "LibIntent/configuration.h"
#include "absl/status/statusor.h"

namespace wasabi::intent {

// The deployment is to be exactly as stated; what is not stated goes.
struct ApplyDeployment {
  core::DeploymentId id;
  Deployment deployment;

  auto operator<=>(const ApplyDeployment&) const = default;
};

struct SetLoadBound {
  core::DeploymentId deployment;
  std::string model;
  double load_bound = 1;

  auto operator<=>(const SetLoadBound&) const = default;
};

// Sets what is given of an organisation that exists.
struct SetOrganisation {
  core::OrganisationId organisation;
  std::optional<double> weight;
  std::optional<double> requests_per_second;

  auto operator<=>(const SetOrganisation&) const = default;
};

struct SetDrain {
  std::string endpoint;
  bool is_drained = true;

  auto operator<=>(const SetDrain&) const = default;
};

// Without a state, the endpoint gets no more orders.
struct SetWantedState {
  std::string endpoint;
  std::optional<WantedState> state;

  auto operator<=>(const SetWantedState&) const = default;
};

using Intent = std::variant<ApplyDeployment,
                            SetLoadBound,
                            SetOrganisation,
                            SetDrain,
                            SetWantedState>;

// Reads an intent from INI; `name` stands for the file in errors. Errors are
// ResultCode::kInvalidIntent and name the section, the key and the range.
absl::StatusOr<Intent> ParseIntent(std::string_view text,
                                   const std::string& name);

// The text of an intent file that drains an endpoint or ends its drain.
std::string DrainIntentText(std::string_view endpoint, bool is_drained);

// The sections and keys of intent files, for the documentation.
std::vector<core::SettingSpec> IntentSchema();

}  // namespace wasabi::intent

#endif  // LIBINTENT_INTENT_H_
