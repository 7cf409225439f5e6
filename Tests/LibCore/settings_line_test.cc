#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "LibCore/result_code.h"
#include "LibCore/settings.h"

namespace wasabi::core {
namespace {

// Returns a section "[a]" and a line "k = xx…" of `bytes` bytes in total.
std::string TextWithLine(size_t bytes) {
  const std::string start = "k = ";
  return "[a]\n" + start + std::string(bytes - start.size(), 'x') + "\n";
}

TEST_CASE("a line that the parser would split is an error") {
  const std::vector<SettingSpec> schema = {
      {"a", "k", SettingKind::kText, "", 0, 0, "A text."}};
  const auto whole = Settings::Parse(TextWithLine(198), "file.ini", schema);
  REQUIRE(whole.ok());
  CHECK(whole->Text("a", "k") == std::string(194, 'x'));
  const auto split = Settings::Parse(TextWithLine(199), "file.ini", schema);
  REQUIRE_FALSE(split.ok());
  CHECK(CodeOf(split.status()) == ResultCode::kSettingsUnreadable);
  CHECK_THAT(std::string(split.status().message()),
             Catch::Matchers::Contains("file.ini:2:"));
}

}  // namespace
}  // namespace wasabi::core
