// Converts configuration values to and from JSON, for the platform's log and
// for operators. Parsing checks types and ranges, reports errors as
// ResultCode::kMalformedRecord and ignores unknown fields.

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

// Serializes `value` without whitespace; invalid UTF-8 bytes are replaced.
std::string DumpJson(const nlohmann::json& value);

// Parses `text`, which must be a JSON object.
absl::StatusOr<nlohmann::json> ParseJsonObject(std::string_view text);

// Copies the member `key` of `object` to the target. The target is unchanged if
// the member is missing or null; a member of another type is an error.
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

// Returns the member `key` of `object`, or null if it is missing or `object` is
// not a JSON object.
const nlohmann::json& MemberOf(const nlohmann::json& object,
                               std::string_view key);

// Returns a ResultCode::kMalformedRecord status with `message`.
absl::Status MakeMalformed(std::string_view message);

// An absent item is represented as null.
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
