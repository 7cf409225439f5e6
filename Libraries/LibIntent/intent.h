// Operator intents: requested configuration changes, parsed from an INI file
// into typed values. Example:
//
//   [intent]
//   kind = load_bound
//   deployment = salazar
//   model = luthier
//   load_bound = 1.5
//
// The kinds are deployment, load_bound, organisation, drain, undrain,
// wanted_state and forget_wanted_state. A file of the kind deployment describes
// the complete deployment in sections [model NAME], [service NAME] and
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

// Replaces a deployment; items that are not listed are removed.
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

// Updates the given settings of an existing organisation.
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

// Sets or clears the wanted state of an endpoint.
struct SetWantedState {
  std::string endpoint;
  // If nullopt, the endpoint receives no more orders.
  std::optional<WantedState> state;

  auto operator<=>(const SetWantedState&) const = default;
};

using Intent = std::variant<ApplyDeployment,
                            SetLoadBound,
                            SetOrganisation,
                            SetDrain,
                            SetWantedState>;

// Parses an intent from INI `text`; `name` is the file name for error messages.
// Errors are ResultCode::kInvalidIntent and name the section, the key and the
// allowed range.
absl::StatusOr<Intent> ParseIntent(std::string_view text,
                                   const std::string& name);

// Returns the text of an intent file that drains or undrains an endpoint.
std::string DrainIntentText(std::string_view endpoint, bool is_drained);

// Returns the sections and keys of all kinds of intent files, for the
// documentation.
std::vector<core::SettingSpec> IntentSchema();

}  // namespace wasabi::intent

#endif  // LIBINTENT_INTENT_H_
