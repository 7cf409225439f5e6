// The items that make up the configuration. Each item has a separate revision,
// so that two plans conflict only if they involve the same item.

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

// Identifies one item; the text form is "kind/name". Models and services are
// named "DEPLOYMENT/NAME". Organisations share one namespace over all
// deployments.
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

  // Parses the text form. Error: ResultCode::kMalformedRecord.
  static absl::StatusOr<ItemKey> Parse(std::string_view text);
  std::string ToString() const;

  // The two parts of the name of a model or service.
  core::DeploymentId Deployment() const;
  std::string NameWithinDeployment() const;
};

// The value of a deployment item. It carries no data: every plan that changes a
// whole deployment sets the item, so that two such plans conflict.
struct DeploymentEntry {
  auto operator<=>(const DeploymentEntry&) const = default;
};

// The value of an organisation item: the deployment that it belongs to and its
// settings.
struct OrganisationEntry {
  core::DeploymentId deployment;
  Organisation organisation;

  auto operator<=>(const OrganisationEntry&) const = default;
};

// The value of a drain item. While the item is present, the endpoint receives
// no new requests.
struct DrainEntry {
  auto operator<=>(const DrainEntry&) const = default;
};

// The value of an item; std::monostate represents an absent item.
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

// Returns the value of `item` in `configuration`.
ItemValue ValueOf(const Configuration& configuration, const ItemKey& item);

// Applies `change` to `configuration`.
void ApplyChange(const Change& change, Configuration* configuration);

}  // namespace wasabi::intent

#endif  // LIBINTENT_CONFIGURATION_ITEM_H_
