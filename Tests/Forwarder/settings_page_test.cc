#include <catch2/catch.hpp>
#include <fstream>
#include <sstream>
#include <string>

#include "LibCore/settings.h"
#include "Services/Forwarder/forwarder_settings.h"

namespace wasabi::forwarder {
namespace {

std::string ReadFile(const std::string& name) {
  std::ifstream file(std::string(WASABI_SOURCE_DIR) + name);
  std::stringstream text;
  text << file.rdbuf();
  return text.str();
}

TEST_CASE("docs/SETTINGS.md lists every key of the forwarding router") {
  CHECK_THAT(
      ReadFile("/docs/SETTINGS.md"),
      Catch::Contains(core::SettingsToMarkdown(ForwarderSettingsSchema())));
}

// Keeps the text of the sections {{#name}}...{{/name}}, or removes it, as the
// platform does if there is a value, or none.
std::string WithSections(std::string text, bool has_values) {
  size_t start = 0;
  while ((start = text.find("{{#")) != std::string::npos) {
    const size_t open_end = text.find("}}", start) + 2;
    const std::string name = text.substr(start + 3, open_end - start - 5);
    const std::string closing = "{{/" + name + "}}";
    const size_t close = text.find(closing, open_end);
    const std::string content =
        has_values ? text.substr(open_end, close - open_end) : "";
    text.replace(start, close + closing.size() - start, content);
  }
  return text;
}

// Replaces the placeholders of the template with valid values, as the platform
// does.
std::string Filled(std::string text) {
  size_t start = 0;
  while ((start = text.find("{{")) != std::string::npos) {
    const size_t end = text.find("}}", start);
    const std::string name = text.substr(start + 2, end - start - 2);
    std::string value = "3";
    if (name.starts_with("listen.") || name == "platform.address") {
      value = "10.0.0.1:80";
    } else if (name == "seeds") {
      value = "10.0.0.1:80,10.0.0.2:80";
    } else if (name == "ip") {
      value = "10.0.0.1";
    } else if (name == "bootstrap") {
      value = "true";
    } else if (name == "contracts") {
      value = "other,pressure";
    } else if (name.ends_with("_ms")) {
      value = "2000";
    }
    text.replace(start, end + 2 - start, value);
  }
  return text;
}

TEST_CASE("the settings template in deploy/ expands to valid settings") {
  const bool has_values = GENERATE(true, false);
  const auto settings = core::Settings::Parse(
      Filled(WithSections(ReadFile("/deploy/wasabi_router.ini.template"),
                          has_values)),
      "template", ForwarderSettingsSchema());
  INFO(settings.status().ToString());
  CHECK(settings.ok());
}

}  // namespace
}  // namespace wasabi::forwarder
