// Settings from an INI file, validated completely against a schema before
// anything starts.

#ifndef LIBCORE_SETTINGS_H_
#define LIBCORE_SETTINGS_H_

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

#include "LibCore/time.h"
#include "absl/status/statusor.h"

namespace wasabi::core {

enum class SettingKind { kText, kInteger, kReal, kBoolean, kAddress };

// Declares one key.
struct SettingSpec {
  std::string section;
  std::string key;
  SettingKind kind = SettingKind::kText;
  // The value used if the file lacks the key; nullopt makes the key required.
  std::optional<std::string> default_value;
  // The inclusive range of a number.
  double minimum = 0;
  double maximum = 0;
  // The unit and the effect in one sentence, printed into docs/SETTINGS.md.
  std::string description;
};

// An immutable, validated set of values. The getters return an empty, zero or
// false value for a key that the schema lacks.
class Settings {
 public:
  // Reads the file at `path` and validates it against `schema`. Errors name the
  // file, the section, the key and the allowed range. A schema section that
  // ends in " *" matches any number of sections in the file with the same first
  // word.
  static absl::StatusOr<Settings> Load(const std::string& path,
                                       const std::vector<SettingSpec>& schema);

  // As Load, but reads from `text`; errors use `name` as the file name.
  static absl::StatusOr<Settings> Parse(std::string_view text,
                                        const std::string& name,
                                        const std::vector<SettingSpec>& schema);

  const std::string& Text(std::string_view section, std::string_view key) const;
  int64_t Integer(std::string_view section, std::string_view key) const;
  double Real(std::string_view section, std::string_view key) const;
  bool Boolean(std::string_view section, std::string_view key) const;
  // Returns the value of an integer key whose unit is milliseconds.
  Duration Milliseconds(std::string_view section, std::string_view key) const;
  // Returns the items of a text key whose value is a comma-separated list. The
  // items are trimmed and empty ones omitted.
  std::vector<std::string> List(std::string_view section,
                                std::string_view key) const;
  // Returns the names of the sections that begin with `first_word` and a space,
  // without this prefix.
  std::vector<std::string> SectionNames(std::string_view first_word) const;

 private:
  Settings() = default;

  std::map<std::string, std::map<std::string, std::string>, std::less<>>
      values_;
};

// Returns the value of one key of the file at `path` without validating the
// file; nullopt if the file lacks the key. Used to choose the schema.
std::optional<std::string> PeekSetting(const std::string& path,
                                       const std::string& section,
                                       const std::string& key);

// Returns `schema` as the Markdown table in docs/SETTINGS.md.
std::string SettingsToMarkdown(const std::vector<SettingSpec>& schema);

}  // namespace wasabi::core

#endif  // LIBCORE_SETTINGS_H_
