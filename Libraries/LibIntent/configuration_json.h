// JSON forms of the configuration's values, for the platform's log and for
// operators. Reading checks types and ranges and reports
// ResultCode::kMalformedRecord; fields that are not known are ignored.

#ifndef LIBINTENT_CONFIGURATION_JSON_H_
#define LIBINTENT_CONFIGURATION_JSON_H_

#include <cstdint>
#include <nlohmann/json.hpp>
#include <string>
#include <string_view>

#include "LibIntent/configuration.h"
#include "LibIntent/configuration_item.h"
#include "absl/status/status.h"
#include "absl/status/statusor.h"

namespace wasabi::intent {

// The text of `value`; bytes that are not UTF-8 are replaced.
std::string DumpJson(const nlohmann::json& value);

// The object in `text`.
absl::StatusOr<nlohmann::json> ParseJsonObject(std::string_view text);

// Copy the member `key` of `object` to the target. The target is left alone
// where the member is missing; another type is an error.
absl::Status ReadMember(const nlohmann::json& object,
                        std::string_view key,
                        std::string* target);
absl::Status ReadMember(const nlohmann::json& object,
                        std::string_view key,
                        int64_t* target);
absl::Status ReadMember(const nlohmann::json& object,
                        std::string_view key,
                        double* target);
absl::Status ReadMember(const nlohmann::json& object,
                        std::string_view key,
                        bool* target);

// The member `key`, or null where it is missing.
const nlohmann::json& MemberOf(const nlohmann::json& object,
                               std::string_view key);

// ResultCode::kMalformedRecord with `message`.
absl::Status MakeMalformed(std::string_view message);

// Null for an absent item.
nlohmann::json ItemValueToJson(const ItemValue& value);
absl::StatusOr<ItemValue> ItemValueFromJson(ItemKind kind,
                                            const nlohmann::json& json);

// {"item":"kind/name","value":…}.
nlohmann::json ChangeToJson(const Change& change);
absl::StatusOr<Change> ChangeFromJson(const nlohmann::json& json);

nlohmann::json ConfigurationToJson(const Configuration& configuration);
absl::StatusOr<Configuration> ConfigurationFromJson(const nlohmann::json& json);

}  // namespace wasabi::intent

#endif  // LIBINTENT_CONFIGURATION_JSON_H_
