// The items that make up the configuration. Each item has a revision of its
// own, so that operators conflict only where they touch the same item.

#ifndef LIBINTENT_CONFIGURATION_ITEM_H_
#define LIBINTENT_CONFIGURATION_ITEM_H_

#include <compare>
#include <cstdint>
#include <string>
#include <string_view>
#include <variant>

#include "LibCore/identifier.h"
#include "LibIntent/configuration.h"
#include "absl/status/statusor.h"

namespace wasabi::intent {

enum class ItemKind : uint8_t {
  kDeployment,
  kModel,
  kService,
  kOrganisation,
  kDrain,
  kWantedState,
};

// The name of one item, written "kind/name". Models and services are named
// "DEPLOYMENT/NAME"; organisations have one name space over all deployments.
struct ItemKey {
  ItemKind kind = ItemKind::kDeployment;
  std::string name;

  auto operator<=>(const ItemKey&) const = default;

  static ItemKey ForDeployment(const core::DeploymentId& deployment);
  static ItemKey ForModel(const core::DeploymentId& deployment,
                          std::string_view model);
  static ItemKey ForService(const core::DeploymentId& deployment,
                            std::string_view service);
  static ItemKey ForOrganisation(const core::OrganisationId& organisation);
  static ItemKey ForDrain(std::string_view endpoint);
  static ItemKey ForWantedState(std::string_view endpoint);

  // Parses the text form; ResultCode::kMalformedRecord otherwise.
  static absl::StatusOr<ItemKey> Parse(std::string_view text);
  std::string ToString() const;

  // For models and services: the two parts of the name.
  core::DeploymentId Deployment() const;
  std::string NameWithinDeployment() const;
};

// The value of a deployment item: its presence alone. Every change of a whole
// deployment sets it, so that two such changes conflict.
struct DeploymentEntry {
  auto operator<=>(const DeploymentEntry&) const = default;
};

// The value of an organisation item.
struct OrganisationEntry {
  core::DeploymentId deployment;
  Organisation organisation;

  auto operator<=>(const OrganisationEntry&) const = default;
};

// The value of a drain item: the endpoint gets no new work.
struct DrainEntry {
  auto operator<=>(const DrainEntry&) const = default;
};

// The value of an item; std::monostate stands for an absent item.
using ItemValue = std::variant<std::monostate,
                               DeploymentEntry,
                               ModelPool,
                               PlainService,
                               OrganisationEntry,
                               DrainEntry,
                               WantedState>;

// Sets one item to a value, or removes it.
struct Change {
  ItemKey item;
  ItemValue value;

  auto operator<=>(const Change&) const = default;
};

// The value of `item` in `configuration`.
ItemValue ValueOf(const Configuration& configuration, const ItemKey& item);

// Carries out `change` on `configuration`.
void ApplyChange(const Change& change, Configuration* configuration);

}  // namespace wasabi::intent

#endif  // LIBINTENT_CONFIGURATION_ITEM_H_
