#include "LibCore/settings.h"

#include <catch2/catch.hpp>
#include <string>

#include "LibCore/result_code.h"
#include "LibCore/text.h"

namespace wasabi::core {
namespace {

std::vector<SettingSpec> Schema() {
  return {
      {"host", "id", SettingKind::kText, std::nullopt, 0, 0, "Name."},
      {"limits", "count", SettingKind::kInteger, "3", 1, 9, "Count."},
      {"limits", "share", SettingKind::kReal, "0.5", 0, 1, "Share."},
      {"limits", "is_on", SettingKind::kBoolean, "true", 0, 0, "Switch."},
      {"pool *", "address", SettingKind::kAddress, std::nullopt, 0, 0,
       "Address."},
  };
}

struct Case {
  std::string text;
  ResultCode code;
  std::string message_part;
};

TEST_CASE("every setting is validated") {
  const std::string good = "[host]\nid = a\n";
  const auto it = GENERATE_COPY(
      Case{good, ResultCode::kOk, ""},
      Case{"", ResultCode::kSettingsMissing, "[host] id"},
      Case{good + "[other]\nx = 1\n", ResultCode::kSettingsUnknownSection,
           "[other]"},
      Case{good + "[limits]\ncuont = 1\n", ResultCode::kSettingsUnknownKey,
           "cuont"},
      Case{good + "[limits]\ncount = 10\n", ResultCode::kSettingsOutOfRange,
           "from 1 to 9"},
      Case{good + "[limits]\ncount = 1x\n", ResultCode::kSettingsOutOfRange,
           "count = 1x"},
      Case{good + "[limits]\nshare = nan\n", ResultCode::kSettingsOutOfRange,
           "from 0 to 1"},
      Case{good + "[limits]\nis_on = yes\n", ResultCode::kSettingsOutOfRange,
           "true or false"},
      Case{good + "[pool a]\naddress = localhost:1\n",
           ResultCode::kSettingsOutOfRange, "IP number"},
      Case{"no INI here", ResultCode::kSettingsUnreadable, "f.ini:1"});
  const auto settings = Settings::Parse(it.text, "f.ini", Schema());
  CHECK(CodeOf(settings.status()) == it.code);
  CHECK(MessageOf(settings.status()).find(it.message_part) !=
        std::string::npos);
}

TEST_CASE("getters return typed values and defaults") {
  const auto settings = Settings::Parse(
      "[host]\nid = a, b\n[pool x]\naddress = 127.0.0.1:80\n", "f", Schema());
  REQUIRE(settings.ok());
  CHECK(settings->Integer("limits", "count") == 3);
  CHECK(settings->Real("limits", "share") == 0.5);
  CHECK(settings->Boolean("limits", "is_on"));
  CHECK(settings->List("host", "id") == std::vector<std::string>{"a", "b"});
  CHECK(settings->SectionNames("pool") == std::vector<std::string>{"x"});
  CHECK(settings->Text("pool x", "address") == "127.0.0.1:80");
}

}  // namespace
}  // namespace wasabi::core
