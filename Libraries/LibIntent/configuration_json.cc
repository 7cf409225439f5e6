#include "LibIntent/configuration_json.h"

#include <cmath>
#include <set>
#include <utility>

#include "LibCore/result_code.h"
#include "LibCore/text.h"
#include "LibCore/try.h"

namespace wasabi::intent {

namespace {

using nlohmann::json;

absl::Status MakeTypeError(std::string_view key, std::string_view expected) {
  return MakeMalformed(fmt::format("\"{}\" is not {}", key, expected));
}

absl::Status CheckObject(const json& value, std::string_view what) {
  return value.is_object() ? absl::OkStatus()
                           : MakeTypeError(what, "an object");
}

absl::Status CheckPositive(double value, std::string_view key) {
  return std::isfinite(value) && value > 0
             ? absl::OkStatus()
             : MakeTypeError(key, "a positive number");
}

json ToJson(const ModelPool& it) {
  return {{"pool", it.pool.value()},
          {"strategy", it.strategy},
          {"load_bound", it.load_bound},
          {"max_running", it.max_running},
          {"prefill_tokens_per_second", it.prefill_tokens_per_second},
          {"miss_cost_factor", it.miss_cost_factor}};
}

json ToJson(const PlainService& it) {
  return {{"pool", it.pool.value()}, {"is_repeatable", it.is_repeatable}};
}

json ToJson(const Organisation& it) {
  return {{"weight", it.weight},
          {"requests_per_second", it.requests_per_second}};
}

json ToJson(const OrganisationEntry& it) {
  json value = ToJson(it.organisation);
  value["deployment"] = it.deployment.value();
  return value;
}

json ToJson(const WantedState& it) {
  return {{"model", it.model},
          {"adapter", it.adapter},
          {"version", it.version},
          {"role", it.role}};
}

json ToJson(const DeploymentEntry& /*it*/) {
  return json::object();
}

json ToJson(const DrainEntry& /*it*/) {
  return json::object();
}

json ToJson(const std::monostate& /*it*/) {
  return nullptr;
}

absl::Status ReadPool(const json& value, core::PoolId* pool) {
  std::string text;
  TRY(ReadMember(value, "pool", &text));
  if (text.empty()) {
    return MakeMalformed("\"pool\" is missing or empty");
  }
  *pool = core::PoolId(std::move(text));
  return absl::OkStatus();
}

absl::Status Read(const json& value, ModelPool* it) {
  TRY(ReadPool(value, &it->pool));
  TRY(ReadMember(value, "strategy", &it->strategy));
  TRY(ReadMember(value, "load_bound", &it->load_bound));
  TRY(ReadMember(value, "max_running", &it->max_running));
  TRY(ReadMember(value, "prefill_tokens_per_second",
                 &it->prefill_tokens_per_second));
  TRY(ReadMember(value, "miss_cost_factor", &it->miss_cost_factor));
  TRY(CheckPositive(it->miss_cost_factor, "miss_cost_factor"));
  if (!std::isfinite(it->load_bound) || it->load_bound < 1) {
    return MakeTypeError("load_bound", "a number >= 1");
  }
  TRY(CheckPositive(static_cast<double>(it->max_running), "max_running"));
  return CheckPositive(static_cast<double>(it->prefill_tokens_per_second),
                       "prefill_tokens_per_second");
}

absl::Status Read(const json& value, PlainService* it) {
  TRY(ReadPool(value, &it->pool));
  return ReadMember(value, "is_repeatable", &it->is_repeatable);
}

absl::Status Read(const json& value, Organisation* it) {
  TRY(ReadMember(value, "weight", &it->weight));
  TRY(ReadMember(value, "requests_per_second", &it->requests_per_second));
  TRY(CheckPositive(it->weight, "weight"));
  if (!std::isfinite(it->requests_per_second) || it->requests_per_second < 0) {
    return MakeTypeError("requests_per_second", "a number >= 0");
  }
  return absl::OkStatus();
}

absl::Status Read(const json& value, OrganisationEntry* it) {
  std::string deployment;
  TRY(ReadMember(value, "deployment", &deployment));
  if (deployment.empty()) {
    return MakeMalformed("\"deployment\" is missing or empty");
  }
  it->deployment = core::DeploymentId(std::move(deployment));
  return Read(value, &it->organisation);
}

absl::Status Read(const json& value, WantedState* it) {
  TRY(ReadMember(value, "model", &it->model));
  TRY(ReadMember(value, "adapter", &it->adapter));
  TRY(ReadMember(value, "version", &it->version));
  TRY(ReadMember(value, "role", &it->role));
  static const std::set<std::string> kRoles = {"serving", "standby", "prefill"};
  if (!kRoles.contains(it->role)) {
    return MakeTypeError("role", "serving, standby or prefill");
  }
  return absl::OkStatus();
}

absl::Status Read(const json& /*value*/, DeploymentEntry* /*it*/) {
  return absl::OkStatus();
}

absl::Status Read(const json& /*value*/, DrainEntry* /*it*/) {
  return absl::OkStatus();
}

template <typename T>
absl::StatusOr<ItemValue> ReadAs(const json& value) {
  T it;
  TRY(Read(value, &it));
  return ItemValue(std::move(it));
}

json ToJson(const Deployment& it);
absl::Status Read(const json& value, Deployment* it);

// Returns a JSON object with one member for each entry of `map`.
template <typename Map, typename KeyToText>
json MapToJson(const Map& map, KeyToText key_to_text) {
  json object = json::object();
  for (const auto& [key, value] : map) {
    object[key_to_text(key)] = ToJson(value);
  }
  return object;
}

template <typename Key, typename Value>
absl::Status ReadMap(const json& object,
                     std::string_view key,
                     std::map<Key, Value>* target) {
  const json& members = MemberOf(object, key);
  TRY(CheckObject(members, key));
  for (const auto& [name, value] : members.items()) {
    TRY(CheckObject(value, name));
    TRY(Read(value, &(*target)[Key(name)]));
  }
  return absl::OkStatus();
}

json ToJson(const Deployment& it) {
  const auto as_is = [](const std::string& key) { return key; };
  const auto id = [](const core::OrganisationId& key) { return key.value(); };
  return {{"models", MapToJson(it.models, as_is)},
          {"services", MapToJson(it.services, as_is)},
          {"organisations", MapToJson(it.organisations, id)}};
}

absl::Status Read(const json& value, Deployment* it) {
  TRY(ReadMap(value, "models", &it->models));
  TRY(ReadMap(value, "services", &it->services));
  return ReadMap(value, "organisations", &it->organisations);
}

absl::Status ReadDrained(const json& value, std::set<std::string>* target) {
  const json& members = MemberOf(value, "drained_endpoints");
  if (!members.is_array()) {
    return MakeTypeError("drained_endpoints", "a list");
  }
  for (const json& member : members) {
    if (!member.is_string()) {
      return MakeTypeError("drained_endpoints", "a list of endpoint names");
    }
    target->insert(member.get<std::string>());
  }
  return absl::OkStatus();
}

}  // namespace

std::string DumpJson(const json& value) {
  return value.dump(-1, ' ', false, json::error_handler_t::replace);
}

absl::StatusOr<json> ParseJsonObject(std::string_view text) {
  json value = json::parse(text, nullptr, /*allow_exceptions=*/false);
  if (!value.is_object()) {
    return MakeMalformed("the text is not a JSON object");
  }
  return value;
}

absl::Status ReadMember(const json& object,
                        std::string_view key,
                        std::string* target) {
  const json& value = MemberOf(object, key);
  if (value.is_null()) {
    return absl::OkStatus();
  }
  if (!value.is_string()) {
    return MakeTypeError(key, "a string");
  }
  *target = value.get<std::string>();
  return absl::OkStatus();
}

absl::Status ReadMember(const json& object,
                        std::string_view key,
                        int64_t* target) {
  const json& value = MemberOf(object, key);
  if (value.is_null()) {
    return absl::OkStatus();
  }
  if (!value.is_number_integer()) {
    return MakeTypeError(key, "an integer");
  }
  *target = value.get<int64_t>();
  return absl::OkStatus();
}

absl::Status ReadMember(const json& object,
                        std::string_view key,
                        double* target) {
  const json& value = MemberOf(object, key);
  if (value.is_null()) {
    return absl::OkStatus();
  }
  if (!value.is_number()) {
    return MakeTypeError(key, "a number");
  }
  *target = value.get<double>();
  return absl::OkStatus();
}

absl::Status ReadMember(const json& object,
                        std::string_view key,
                        bool* target) {
  const json& value = MemberOf(object, key);
  if (value.is_null()) {
    return absl::OkStatus();
  }
  if (!value.is_boolean()) {
    return MakeTypeError(key, "true or false");
  }
  *target = value.get<bool>();
  return absl::OkStatus();
}

const json& MemberOf(const json& object, std::string_view key) {
  static const json kNull;
  if (!object.is_object()) {
    return kNull;
  }
  const auto it = object.find(std::string(key));
  return it == object.end() ? kNull : *it;
}

absl::Status MakeMalformed(std::string_view message) {
  return core::MakeStatus(core::ResultCode::kMalformedRecord, message);
}

json ItemValueToJson(const ItemValue& value) {
  return std::visit([](const auto& it) { return ToJson(it); }, value);
}

absl::StatusOr<ItemValue> ItemValueFromJson(ItemKind kind, const json& value) {
  if (value.is_null()) {
    return ItemValue();
  }
  TRY(CheckObject(value, "value"));
  switch (kind) {
    case ItemKind::kDeployment:
      return ReadAs<DeploymentEntry>(value);
    case ItemKind::kModel:
      return ReadAs<ModelPool>(value);
    case ItemKind::kService:
      return ReadAs<PlainService>(value);
    case ItemKind::kOrganisation:
      return ReadAs<OrganisationEntry>(value);
    case ItemKind::kDrain:
      return ReadAs<DrainEntry>(value);
    case ItemKind::kWantedState:
      return ReadAs<WantedState>(value);
  }
  return MakeMalformed("the item is not of a known kind");
}

json ChangeToJson(const Change& change) {
  return {{"item", change.item.ToString()},
          {"value", ItemValueToJson(change.value)}};
}

absl::StatusOr<Change> ChangeFromJson(const json& value) {
  std::string text;
  TRY(ReadMember(value, "item", &text));
  TRY_ASSIGN(ItemKey item, ItemKey::Parse(text));
  TRY_ASSIGN(ItemValue item_value,
             ItemValueFromJson(item.kind, MemberOf(value, "value")));
  const bool is_removed = std::holds_alternative<std::monostate>(item_value);
  if (item.kind == ItemKind::kDeployment && is_removed) {
    return MakeMalformed(
        "a deployment item can't be removed; remove its models, services and "
        "organisations instead");
  }
  return Change{std::move(item), std::move(item_value)};
}

json ConfigurationToJson(const Configuration& configuration) {
  const auto id = [](const core::DeploymentId& key) { return key.value(); };
  const auto as_is = [](const std::string& key) { return key; };
  return {{"revision", configuration.revision},
          {"deployments", MapToJson(configuration.deployments, id)},
          {"drained_endpoints", configuration.drained_endpoints},
          {"wanted_states", MapToJson(configuration.wanted_states, as_is)}};
}

absl::StatusOr<Configuration> ConfigurationFromJson(const json& value) {
  Configuration configuration;
  TRY(ReadMember(value, "revision", &configuration.revision));
  TRY(ReadMap(value, "deployments", &configuration.deployments));
  TRY(ReadMap(value, "wanted_states", &configuration.wanted_states));
  TRY(ReadDrained(value, &configuration.drained_endpoints));
  return configuration;
}

}  // namespace wasabi::intent
