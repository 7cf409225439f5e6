#include "LibCore/settings.h"

#include <ini.h>

#include <algorithm>
#include <cmath>
#include <fstream>
#include <set>
#include <sstream>
#include <utility>

#include "LibCore/result_code.h"
#include "LibCore/socket_address.h"
#include "LibCore/text.h"
#include "LibCore/try.h"

namespace wasabi::core {

namespace {

constexpr std::string_view kWildcardSuffix = " *";

struct RawEntry {
  std::string section;
  std::string key;
  std::string value;
};

// Returns the schema section that matches `section`: "runner *" for "runner a".
std::string SchemaSection(const std::string& section,
                          const std::vector<SettingSpec>& schema) {
  const size_t blank = section.find(' ');
  if (blank == std::string::npos) {
    return section;
  }
  const std::string named =
      section.substr(0, blank) + std::string(kWildcardSuffix);
  const bool is_known =
      std::any_of(schema.begin(), schema.end(),
                  [&](const SettingSpec& it) { return it.section == named; });
  return is_known ? named : section;
}

std::string AllowedRange(const SettingSpec& spec) {
  switch (spec.kind) {
    case SettingKind::kInteger:
      return fmt::format("an integer from {:.0f} to {:.0f}", spec.minimum,
                         spec.maximum);
    case SettingKind::kReal:
      return fmt::format("a number from {:g} to {:g}", spec.minimum,
                         spec.maximum);
    case SettingKind::kBoolean:
      return "true or false";
    case SettingKind::kAddress:
      return "an IP number and a port, such as 127.0.0.1:8080";
    case SettingKind::kText:
      break;
  }
  return "text";
}

bool IsInRange(const SettingSpec& spec, double value) {
  return std::isfinite(value) && value >= spec.minimum && value <= spec.maximum;
}

bool IsValid(const SettingSpec& spec, const std::string& value) {
  switch (spec.kind) {
    case SettingKind::kInteger: {
      const std::optional<int64_t> number = ParseNumber<int64_t>(value);
      return number && IsInRange(spec, static_cast<double>(*number));
    }
    case SettingKind::kReal: {
      const std::optional<double> number = ParseNumber<double>(value);
      return number && IsInRange(spec, *number);
    }
    case SettingKind::kBoolean:
      return ParseBoolean(value).has_value();
    case SettingKind::kAddress:
      return SocketAddress::Parse(value).ok();
    case SettingKind::kText:
      break;
  }
  return true;
}

absl::Status CheckValue(const SettingSpec& spec,
                        const std::string& name,
                        const std::string& section,
                        const std::string& value) {
  if (IsValid(spec, value)) {
    return absl::OkStatus();
  }
  return MakeStatus(
      ResultCode::kSettingsOutOfRange,
      fmt::format("{}: [{}] {} = {} is out of range; allowed: {}", name,
                  section, spec.key, value, AllowedRange(spec)));
}

const SettingSpec* FindSpec(const std::vector<SettingSpec>& schema,
                            const std::string& section,
                            const std::string& key) {
  const auto it =
      std::find_if(schema.begin(), schema.end(), [&](const SettingSpec& spec) {
        return spec.section == section && spec.key == key;
      });
  return it == schema.end() ? nullptr : &*it;
}

bool HasSection(const std::vector<SettingSpec>& schema,
                const std::string& section) {
  return std::any_of(
      schema.begin(), schema.end(),
      [&](const SettingSpec& spec) { return spec.section == section; });
}

absl::Status CheckEntry(const RawEntry& entry,
                        const std::string& name,
                        const std::vector<SettingSpec>& schema) {
  const std::string section = SchemaSection(entry.section, schema);
  if (!HasSection(schema, section)) {
    return MakeStatus(
        ResultCode::kSettingsUnknownSection,
        fmt::format("{}: unknown section [{}]", name, entry.section));
  }
  const SettingSpec* spec = FindSpec(schema, section, entry.key);
  if (spec == nullptr) {
    return MakeStatus(ResultCode::kSettingsUnknownKey,
                      fmt::format("{}: unknown key {} in section [{}]", name,
                                  entry.key, entry.section));
  }
  return CheckValue(*spec, name, entry.section, entry.value);
}

// The INI parser splits longer lines silently, which would turn the rest of a
// value into a key.
absl::Status CheckLineLengths(std::string_view text, const std::string& name) {
  constexpr size_t kMaxLineBytes = INI_MAX_LINE - 2;
  int number = 1;
  while (!text.empty()) {
    const size_t end = text.find('\n');
    const size_t length = std::min(end, text.size());
    if (length > kMaxLineBytes) {
      return MakeStatus(ResultCode::kSettingsUnreadable,
                        fmt::format("{}:{}: the line has {} bytes; allowed: {}",
                                    name, number, length, kMaxLineBytes));
    }
    text = end == std::string_view::npos ? std::string_view()
                                         : text.substr(end + 1);
    ++number;
  }
  return absl::OkStatus();
}

}  // namespace

absl::StatusOr<Settings> Settings::Load(
    const std::string& path,
    const std::vector<SettingSpec>& schema) {
  std::ifstream file(path);
  if (!file) {
    return MakeStatus(ResultCode::kSettingsUnreadable,
                      path + ": can't be opened");
  }
  std::stringstream text;
  text << file.rdbuf();
  return Parse(text.str(), path, schema);
}

absl::StatusOr<Settings> Settings::Parse(
    std::string_view text,
    const std::string& name,
    const std::vector<SettingSpec>& schema) {
  TRY(CheckLineLengths(text, name));
  std::vector<RawEntry> entries;
  const int invalid_line = ini_parse_string(
      std::string(text).c_str(),
      [](void* user, const char* section, const char* key, const char* value) {
        static_cast<std::vector<RawEntry>*>(user)->push_back(
            {section, key, value});
        return 1;
      },
      &entries);
  if (invalid_line != 0) {
    return MakeStatus(ResultCode::kSettingsUnreadable,
                      fmt::format("{}:{}: not INI syntax", name, invalid_line));
  }
  Settings settings;
  std::set<std::string> sections;
  for (const RawEntry& entry : entries) {
    TRY(CheckEntry(entry, name, schema));
    settings.values_[entry.section][entry.key] = entry.value;
    sections.insert(entry.section);
  }
  for (const SettingSpec& spec : schema) {
    if (!spec.section.ends_with(kWildcardSuffix)) {
      sections.insert(spec.section);
    }
  }
  for (const std::string& section : sections) {
    const std::string schema_section = SchemaSection(section, schema);
    for (const SettingSpec& spec : schema) {
      std::map<std::string, std::string>& values = settings.values_[section];
      if (spec.section != schema_section || values.contains(spec.key)) {
        continue;
      }
      if (!spec.default_value) {
        return MakeStatus(ResultCode::kSettingsMissing,
                          fmt::format("{}: [{}] {} is required: {}", name,
                                      section, spec.key, AllowedRange(spec)));
      }
      values[spec.key] = *spec.default_value;
    }
  }
  return settings;
}

const std::string& Settings::Text(std::string_view section,
                                  std::string_view key) const {
  static const std::string kEmpty;
  const auto it = values_.find(section);
  if (it == values_.end()) {
    return kEmpty;
  }
  const auto value = it->second.find(std::string(key));
  return value == it->second.end() ? kEmpty : value->second;
}

int64_t Settings::Integer(std::string_view section,
                          std::string_view key) const {
  return ParseNumber<int64_t>(Text(section, key)).value_or(0);
}

double Settings::Real(std::string_view section, std::string_view key) const {
  return ParseNumber<double>(Text(section, key)).value_or(0);
}

bool Settings::Boolean(std::string_view section, std::string_view key) const {
  return ParseBoolean(Text(section, key)).value_or(false);
}

Duration Settings::Milliseconds(std::string_view section,
                                std::string_view key) const {
  return milliseconds(Integer(section, key));
}

std::vector<std::string> Settings::List(std::string_view section,
                                        std::string_view key) const {
  return SplitList(Text(section, key));
}

std::vector<std::string> Settings::SectionNames(
    std::string_view first_word) const {
  const std::string prefix = std::string(first_word) + " ";
  std::vector<std::string> names;
  for (const auto& [section, values] : values_) {
    if (section.starts_with(prefix)) {
      names.push_back(section.substr(prefix.size()));
    }
  }
  return names;
}

std::optional<std::string> PeekSetting(const std::string& path,
                                       const std::string& section,
                                       const std::string& key) {
  std::vector<RawEntry> entries;
  // Syntax errors are ignored here, since loading the file reports them.
  ini_parse(
      path.c_str(),
      [](void* user, const char* name, const char* entry_key,
         const char* value) {
        static_cast<std::vector<RawEntry>*>(user)->push_back(
            {name, entry_key, value});
        return 1;
      },
      &entries);
  const auto it =
      std::find_if(entries.begin(), entries.end(), [&](const RawEntry& entry) {
        return entry.section == section && entry.key == key;
      });
  return it == entries.end() ? std::nullopt : std::optional(it->value);
}

std::string SettingsToMarkdown(const std::vector<SettingSpec>& schema) {
  std::string text =
      "| section | key | allowed | default | effect |\n"
      "| --- | --- | --- | --- | --- |\n";
  for (const SettingSpec& spec : schema) {
    text +=
        fmt::format("| `{}` | `{}` | {} | {} | {} |\n", spec.section, spec.key,
                    AllowedRange(spec), spec.default_value.value_or("required"),
                    spec.description);
  }
  return text;
}

}  // namespace wasabi::core
