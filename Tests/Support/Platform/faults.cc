#include "Tests/Support/Platform/faults.h"

#include <nlohmann/json.hpp>

#include "LibCore/result_code.h"
#include "LibCore/text.h"

namespace wasabi::standin {

using nlohmann::json;

// An accepted key, the type check of its value and the function that stores it.
struct Faults::Key {
  const char* name;
  bool (json::*is_valid)() const noexcept;
  void (*store)(Settings* settings, const json& value);
};

absl::Status Faults::Apply(std::string_view text) {
  static constexpr Key kKeys[] = {
      {"outage", &json::is_boolean,
       [](Settings* it, const json& value) { it->is_outage = value; }},
      {"answer_delay_ms", &json::is_number_integer,
       [](Settings* it, const json& value) { it->answer_delay_ms = value; }},
      {"lose_append_answers", &json::is_number_integer,
       [](Settings* it, const json& value) {
         it->lose_append_answers = value;
       }},
      {"lose_append_probability", &json::is_number,
       [](Settings* it, const json& value) {
         it->lose_append_probability = value;
       }},
      {"lose_silently", &json::is_boolean,
       [](Settings* it, const json& value) { it->lose_silently = value; }},
      {"stale_records", &json::is_number_integer,
       [](Settings* it, const json& value) { it->stale_records = value; }},
  };
  const json parsed = json::parse(text, nullptr, /*allow_exceptions=*/false);
  if (!parsed.is_object()) {
    return core::MakeStatus(core::ResultCode::kMalformedRequest,
                            "the faults are not a JSON object");
  }
  Settings changed = settings_;
  for (const auto& [name, value] : parsed.items()) {
    const Key* key =
        std::find_if(std::begin(kKeys), std::end(kKeys),
                     [&name = name](const Key& it) { return name == it.name; });
    if (key == std::end(kKeys) || !(value.*(key->is_valid))()) {
      return core::MakeStatus(
          core::ResultCode::kMalformedRequest,
          fmt::format("fault \"{}\" is unknown or its value has the wrong type",
                      name));
    }
    key->store(&changed, value);
  }
  settings_ = changed;
  return absl::OkStatus();
}

AppendAnswer Faults::NextAppendAnswer() {
  const bool is_counted = settings_.lose_append_answers > 0;
  if (is_counted) {
    --settings_.lose_append_answers;
  }
  if (!is_counted && random_.Unit() >= settings_.lose_append_probability) {
    return AppendAnswer::kSent;
  }
  return settings_.lose_silently ? AppendAnswer::kLostSilently
                                 : AppendAnswer::kConnectionAborted;
}

}  // namespace wasabi::standin
