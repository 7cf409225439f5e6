// Settings in INI, checked whole against a schema before anything starts.

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

// The declaration of one key.
struct SettingSpec {
  std::string section;
  std::string key;
  SettingKind kind = SettingKind::kText;
  // The value where the file has none; nullopt makes the key required.
  std::optional<std::string> default_value;
  // The allowed range of a number, both ends included.
  double minimum = 0;
  double maximum = 0;
  // The unit and the effect, one sentence for docs/SETTINGS.md.
  std::string description;
};

// An immutable, checked set of values.
class Settings {
 public:
  // Reads `path` and checks it against `schema`. The error names the file, the
  // section, the key and the allowed range. Where a section of the schema ends
  // in " *", the file may have any number of sections with that first word.
  static absl::StatusOr<Settings> Load(const std::string& path,
                                       const std::vector<SettingSpec>& schema);

  // As Load, from text; `name` stands for the file in errors.
  static absl::StatusOr<Settings> Parse(std::string_view text,
                                        const std::string& name,
                                        const std::vector<SettingSpec>& schema);

  const std::string& Text(std::string_view section, std::string_view key) const;
  int64_t Integer(std::string_view section, std::string_view key) const;
  double Real(std::string_view section, std::string_view key) const;
  bool Boolean(std::string_view section, std::string_view key) const;
  // An integer key whose unit is milliseconds.
  Duration Milliseconds(std::string_view section, std::string_view key) const;
  // A text key whose value is a comma-separated list; blanks are trimmed.
  std::vector<std::string> List(std::string_view section,
                                std::string_view key) const;
  // The second words of the sections that begin with `first_word` and a space.
  std::vector<std::string> Named(std::string_view first_word) const;

 private:
  Settings() = default;

  std::map<std::string, std::map<std::string, std::string>, std::less<>>
      values_;
};

// The value of one key of the file at `path`, without any check of the rest;
// nullopt where the file doesn't have it. For the choice of a schema.
std::optional<std::string> PeekSetting(const std::string& path,
                                       const std::string& section,
                                       const std::string& key);

// The rows of docs/SETTINGS.md for `schema`, as a Markdown table.
std::string SettingsToMarkdown(const std::vector<SettingSpec>& schema);

}  // namespace wasabi::core

#endif  // LIBCORE_SETTINGS_H_
