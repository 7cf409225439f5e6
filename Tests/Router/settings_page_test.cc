#include <catch2/catch.hpp>
#include <fstream>
#include <sstream>
#include <string>

#include "LibCore/settings.h"
#include "Services/Router/router_settings.h"

namespace wasabi::router {
namespace {

TEST_CASE("docs/SETTINGS.md lists every key of the router") {
  std::ifstream file(std::string(WASABI_SOURCE_DIR) + "/docs/SETTINGS.md");
  std::stringstream page;
  page << file.rdbuf();
  CHECK_THAT(page.str(),
             Catch::Contains(core::SettingsToMarkdown(RouterSettingsSchema())));
}

}  // namespace
}  // namespace wasabi::router
