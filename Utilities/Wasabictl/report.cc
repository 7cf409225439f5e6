#include "Utilities/Wasabictl/report.h"

#include <cstdint>
#include <string_view>

#include "LibCore/text.h"
#include "LibIntent/configuration_json.h"

namespace wasabi::wasabictl {

namespace {

using intent::MemberOf;
using nlohmann::json;

// Returns the member as text: a string as it is, "-" for a missing member, JSON
// for anything else.
std::string Text(const json& object, std::string_view key) {
  const json& value = MemberOf(object, key);
  if (value.is_string()) {
    return value.get<std::string>();
  }
  return value.is_null() ? "-" : intent::DumpJson(value);
}

std::string Lines(const json& list, std::string_view indent) {
  std::string text;
  for (const json& line : list) {
    text += fmt::format(
        "{}{}\n", indent,
        line.is_string() ? line.get<std::string>() : intent::DumpJson(line));
  }
  return text;
}

std::string InForceText(const json& in_force) {
  std::string text =
      fmt::format("in force on {} of {} hosts\n", Text(in_force, "applied"),
                  Text(in_force, "total"));
  const json& missing = MemberOf(in_force, "missing");
  if (missing.is_array() && !missing.empty()) {
    text += "not yet on:\n" + Lines(missing, "  ");
  }
  return text;
}

}  // namespace

std::string PlanReport(const json& plan) {
  std::string text = fmt::format("plan {} based on revision {}\n",
                                 Text(plan, "plan"), Text(plan, "revision"));
  if (MemberOf(plan, "state").is_string()) {
    text += fmt::format("state: {}\n", Text(plan, "state"));
  }
  if (MemberOf(plan, "in_force").is_object()) {
    text += InForceText(MemberOf(plan, "in_force"));
  }
  const json& words = MemberOf(plan, "words");
  if (words.is_array() && words.empty()) {
    return text + "nothing to change\n";
  }
  text += "changes:\n" + Lines(words, "  ");
  const json& effects = MemberOf(plan, "effects");
  if (effects.is_array() && !effects.empty()) {
    text += "expected effects:\n" + Lines(effects, "  ");
  }
  return text;
}

std::string ConfirmReport(const json& answer) {
  const json& error = MemberOf(answer, "error");
  const std::string outcome =
      error.is_object() ? Text(error, "name") : Text(answer, "outcome");
  std::string text = fmt::format("plan {}: {}", Text(answer, "plan"), outcome);
  if (MemberOf(answer, "offset").is_number()) {
    text += fmt::format(" at offset {}", Text(answer, "offset"));
  }
  if (MemberOf(answer, "is_repeat") == json(true)) {
    text += " (confirmed before)";
  }
  text += "\n";
  if (MemberOf(answer, "in_force").is_object()) {
    text += InForceText(MemberOf(answer, "in_force"));
  }
  return text;
}

std::string StatusReport(const json& status) {
  const bool is_up = MemberOf(status, "is_platform_up") == json(true);
  std::string text = fmt::format(
      "host {}\nplatform: {}\nconfiguration: offset {} applied, log ends at "
      "{}\n{}orders pending: {}\nmembers:\n",
      Text(status, "host"), is_up ? "up" : "down",
      Text(status, "applied_offset"), Text(status, "log_end"),
      InForceText(MemberOf(status, "in_force")),
      Text(status, "pending_orders"));
  for (const json& member : MemberOf(status, "members")) {
    text += fmt::format("  {:<24} {:<8} {:<8} offset {}\n", Text(member, "id"),
                        Text(member, "role"), Text(member, "state"),
                        Text(member, "applied_offset"));
  }
  return text;
}

}  // namespace wasabi::wasabictl
