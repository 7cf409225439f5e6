#include "LibPlatform/host_list_json.h"

#include <array>
#include <nlohmann/json.hpp>
#include <optional>
#include <utility>

#include "LibCore/result_code.h"
#include "LibCore/try.h"

namespace wasabi::platform {

namespace {

using nlohmann::json;

constexpr auto kKindNames =
    std::to_array<std::pair<HostKind, std::string_view>>({
        {HostKind::kEntry, "entry"},
        {HostKind::kRunner, "runner"},
        {HostKind::kService, "service"},
    });

constexpr auto kStateNames =
    std::to_array<std::pair<HostState, std::string_view>>({
        {HostState::kLive, "live"},
        {HostState::kLeaving, "leaving"},
    });

template <typename Names, typename Value>
std::string_view NameOf(const Names& names, Value value) {
  for (const auto& [known, name] : names) {
    if (known == value) {
      return name;
    }
  }
  return "";
}

template <typename Names>
auto ValueOf(const Names& names, std::string_view text)
    -> std::optional<typename Names::value_type::first_type> {
  for (const auto& [known, name] : names) {
    if (name == text) {
      return known;
    }
  }
  return std::nullopt;
}

absl::Status Malformed(std::string_view message) {
  return core::MakeStatus(core::ResultCode::kMalformedRequest, message);
}

std::string TextField(const json& object, const char* key) {
  const auto it = object.find(key);
  const bool is_text = it != object.end() && it->is_string();
  return is_text ? it->get<std::string>() : std::string();
}

json ToJsonObject(const ListedHost& host) {
  return {{"id", host.id},
          {"kind", NameOf(kKindNames, host.kind)},
          {"pool", host.pool.value()},
          {"data_centre", host.data_centre.value()},
          {"address", host.address.ToString()},
          {"state", NameOf(kStateNames, host.state)}};
}

absl::StatusOr<ListedHost> FromJsonObject(const json& object) {
  if (!object.is_object()) {
    return Malformed("a row of the host list is not a JSON object");
  }
  ListedHost host;
  host.id = TextField(object, "id");
  const auto kind = ValueOf(kKindNames, TextField(object, "kind"));
  const auto state = ValueOf(kStateNames, TextField(object, "state"));
  if (host.id.empty() || !kind || !state) {
    return Malformed("a row of the host list lacks a valid id, kind or state");
  }
  host.kind = *kind;
  host.state = *state;
  host.pool = core::PoolId(TextField(object, "pool"));
  host.data_centre = core::DataCentreId(TextField(object, "data_centre"));
  TRY_ASSIGN(host.address,
             core::SocketAddress::Parse(TextField(object, "address")));
  return host;
}

}  // namespace

std::string HostToJson(const ListedHost& host) {
  return ToJsonObject(host).dump();
}

absl::StatusOr<ListedHost> HostFromJson(std::string_view text) {
  return FromJsonObject(json::parse(text, nullptr, /*allow_exceptions=*/false));
}

std::string HostListToJson(const HostList& list) {
  json hosts = json::array();
  for (const ListedHost& host : list.hosts) {
    hosts.push_back(ToJsonObject(host));
  }
  return json({{"version", list.version}, {"hosts", hosts}}).dump();
}

absl::StatusOr<HostList> HostListFromJson(std::string_view text) {
  const json parsed = json::parse(text, nullptr, /*allow_exceptions=*/false);
  const bool is_list = parsed.is_object() && parsed.contains("version") &&
                       parsed["version"].is_number_unsigned() &&
                       parsed.contains("hosts") && parsed["hosts"].is_array();
  if (!is_list) {
    return Malformed(
        "the response is not a host list with a version and hosts");
  }
  HostList list;
  list.version = parsed["version"].get<uint64_t>();
  for (const json& row : parsed["hosts"]) {
    absl::StatusOr<ListedHost> host = FromJsonObject(row);
    if (host.ok()) {
      list.hosts.push_back(*std::move(host));
    }
  }
  return list;
}

}  // namespace wasabi::platform
