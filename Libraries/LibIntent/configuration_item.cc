#include "LibIntent/configuration_item.h"

#include <algorithm>
#include <array>
#include <utility>

#include "LibCore/result_code.h"
#include "LibCore/text.h"

namespace wasabi::intent {

namespace {

struct KindName {
  ItemKind kind;
  std::string_view name;
  bool is_within_deployment;
};

constexpr auto kKindNames = std::to_array<KindName>({
    {ItemKind::kDeployment, "deployment", false},
    {ItemKind::kModel, "model", true},
    {ItemKind::kService, "service", true},
    {ItemKind::kOrganisation, "organisation", false},
    {ItemKind::kDrain, "drain", false},
    {ItemKind::kWantedState, "wanted", false},
});

const KindName& DescribeKind(ItemKind kind) {
  return *std::find_if(kKindNames.begin(), kKindNames.end(),
                       [kind](const KindName& it) { return it.kind == kind; });
}

ItemKey WithinDeployment(ItemKind kind,
                         const core::DeploymentId& deployment,
                         std::string_view name) {
  return {kind, fmt::format("{}/{}", deployment.value(), name)};
}

absl::Status MakeKeyError(std::string_view text) {
  return core::MakeStatus(core::ResultCode::kMalformedRecord,
                          fmt::format("\"{}\" is not a valid item name", text));
}

const Deployment* FindDeployment(const Configuration& configuration,
                                 const core::DeploymentId& id) {
  const auto it = configuration.deployments.find(id);
  return it == configuration.deployments.end() ? nullptr : &it->second;
}

// Returns the value at `key`, or std::monostate if there is none.
template <typename Map, typename Key>
ItemValue Lookup(const Map& map, const Key& key) {
  const auto it = map.find(key);
  return it == map.end() ? ItemValue() : ItemValue(it->second);
}

ItemValue OrganisationValue(const Configuration& configuration,
                            const core::OrganisationId& organisation) {
  for (const auto& [id, deployment] : configuration.deployments) {
    const auto it = deployment.organisations.find(organisation);
    if (it != deployment.organisations.end()) {
      return OrganisationEntry{id, it->second};
    }
  }
  return {};
}

// Sets `map[key]` to the T in `value`, or erases the key if `value` holds no T.
template <typename T, typename Map, typename Key>
void SetOrErase(const ItemValue& value, const Key& key, Map* map) {
  if (const T* it = std::get_if<T>(&value)) {
    (*map)[key] = *it;
  } else {
    map->erase(key);
  }
}

void SetOrganisation(const Change& change, Configuration* configuration) {
  const core::OrganisationId id(change.item.name);
  for (auto& [deployment_id, deployment] : configuration->deployments) {
    deployment.organisations.erase(id);
  }
  if (const auto* entry = std::get_if<OrganisationEntry>(&change.value)) {
    configuration->deployments[entry->deployment].organisations[id] =
        entry->organisation;
  }
}

}  // namespace

ItemKey ItemKey::ForDeployment(const core::DeploymentId& deployment) {
  return {ItemKind::kDeployment, deployment.value()};
}

ItemKey ItemKey::ForModel(const core::DeploymentId& deployment,
                          std::string_view model) {
  return WithinDeployment(ItemKind::kModel, deployment, model);
}

ItemKey ItemKey::ForService(const core::DeploymentId& deployment,
                            std::string_view service) {
  return WithinDeployment(ItemKind::kService, deployment, service);
}

ItemKey ItemKey::ForOrganisation(const core::OrganisationId& organisation) {
  return {ItemKind::kOrganisation, organisation.value()};
}

ItemKey ItemKey::ForDrain(std::string_view endpoint) {
  return {ItemKind::kDrain, std::string(endpoint)};
}

ItemKey ItemKey::ForWantedState(std::string_view endpoint) {
  return {ItemKind::kWantedState, std::string(endpoint)};
}

absl::StatusOr<ItemKey> ItemKey::Parse(std::string_view text) {
  const size_t slash = text.find('/');
  if (slash == std::string_view::npos || slash + 1 == text.size()) {
    return MakeKeyError(text);
  }
  const std::string_view kind = text.substr(0, slash);
  const std::string name(text.substr(slash + 1));
  const auto* const it =
      std::find_if(kKindNames.begin(), kKindNames.end(),
                   [kind](const KindName& row) { return row.name == kind; });
  if (it == kKindNames.end()) {
    return MakeKeyError(text);
  }
  const size_t inner = name.find('/');
  const bool has_two_parts =
      inner != std::string::npos && inner > 0 && inner + 1 < name.size();
  if (it->is_within_deployment && !has_two_parts) {
    return MakeKeyError(text);
  }
  return ItemKey{it->kind, name};
}

std::string ItemKey::ToString() const {
  return fmt::format("{}/{}", DescribeKind(kind).name, name);
}

core::DeploymentId ItemKey::Deployment() const {
  return core::DeploymentId(name.substr(0, name.find('/')));
}

std::string ItemKey::NameWithinDeployment() const {
  const size_t slash = name.find('/');
  return slash == std::string::npos ? name : name.substr(slash + 1);
}

ItemValue ValueOf(const Configuration& configuration, const ItemKey& item) {
  switch (item.kind) {
    case ItemKind::kOrganisation:
      return OrganisationValue(configuration, core::OrganisationId(item.name));
    case ItemKind::kDrain:
      return configuration.drained_endpoints.contains(item.name)
                 ? ItemValue(DrainEntry())
                 : ItemValue();
    case ItemKind::kWantedState:
      return Lookup(configuration.wanted_states, item.name);
    default:
      break;
  }
  const Deployment* deployment =
      FindDeployment(configuration, item.Deployment());
  if (deployment == nullptr) {
    return {};
  }
  switch (item.kind) {
    case ItemKind::kModel:
      return Lookup(deployment->models, item.NameWithinDeployment());
    case ItemKind::kService:
      return Lookup(deployment->services, item.NameWithinDeployment());
    default:
      return DeploymentEntry();
  }
}

void ApplyChange(const Change& change, Configuration* configuration) {
  const ItemKey& item = change.item;
  switch (item.kind) {
    case ItemKind::kDeployment:
      configuration->deployments.try_emplace(core::DeploymentId(item.name));
      break;
    case ItemKind::kModel:
      SetOrErase<ModelPool>(
          change.value, item.NameWithinDeployment(),
          &configuration->deployments[item.Deployment()].models);
      break;
    case ItemKind::kService:
      SetOrErase<PlainService>(
          change.value, item.NameWithinDeployment(),
          &configuration->deployments[item.Deployment()].services);
      break;
    case ItemKind::kOrganisation:
      SetOrganisation(change, configuration);
      break;
    case ItemKind::kDrain:
      if (std::holds_alternative<DrainEntry>(change.value)) {
        configuration->drained_endpoints.insert(item.name);
      } else {
        configuration->drained_endpoints.erase(item.name);
      }
      break;
    case ItemKind::kWantedState:
      SetOrErase<WantedState>(change.value, item.name,
                              &configuration->wanted_states);
      break;
  }
}

}  // namespace wasabi::intent
