#include "LibPlatform/log_json.h"

#include <nlohmann/json.hpp>
#include <utility>

#include "LibCore/result_code.h"
#include "LibCore/try.h"

namespace wasabi::platform {

namespace {

using nlohmann::json;

absl::Status Malformed(std::string_view message) {
  return core::MakeStatus(core::ResultCode::kMalformedRequest, message);
}

absl::StatusOr<Offset> OffsetField(const json& object, const char* key) {
  const auto it = object.find(key);
  if (it == object.end() || !it->is_number_integer()) {
    return Malformed("a response of the log lacks an integer offset");
  }
  return it->get<Offset>();
}

absl::StatusOr<LogRecord> RecordFromJson(const json& object) {
  LogRecord record;
  TRY_ASSIGN(record.offset, OffsetField(object, "offset"));
  const auto body = object.find("body");
  if (body == object.end() || !body->is_string()) {
    return Malformed("a record of the log lacks a string body");
  }
  record.body = body->get<std::string>();
  return record;
}

absl::Status CheckContiguous(const LogPage& page) {
  for (size_t i = 1; i < page.records.size(); ++i) {
    if (page.records[i].offset != page.records[i - 1].offset + 1) {
      return Malformed("a page of the log has a gap between its offsets");
    }
  }
  return absl::OkStatus();
}

}  // namespace

std::string LogPageToJson(const LogPage& page) {
  json records = json::array();
  for (const LogRecord& record : page.records) {
    records.push_back({{"offset", record.offset}, {"body", record.body}});
  }
  return json({{"first", page.first_retained},
               {"end", page.end},
               {"records", std::move(records)}})
      .dump();
}

std::string LogBoundsToJson(const LogPage& page) {
  return json({{"first", page.first_retained}, {"end", page.end}}).dump();
}

absl::StatusOr<LogPage> LogPageFromJson(std::string_view text) {
  const json parsed = json::parse(text, nullptr, /*allow_exceptions=*/false);
  if (!parsed.is_object()) {
    return Malformed("a response of the log is not a JSON object");
  }
  LogPage page;
  TRY_ASSIGN(page.first_retained, OffsetField(parsed, "first"));
  TRY_ASSIGN(page.end, OffsetField(parsed, "end"));
  for (const json& item : parsed.value("records", json::array())) {
    TRY_ASSIGN(LogRecord record, RecordFromJson(item));
    page.records.push_back(std::move(record));
  }
  TRY(CheckContiguous(page));
  return page;
}

absl::StatusOr<Offset> AppendedOffsetFromJson(std::string_view text) {
  const json parsed = json::parse(text, nullptr, /*allow_exceptions=*/false);
  if (!parsed.is_object()) {
    return Malformed("a response of the log is not a JSON object");
  }
  return OffsetField(parsed, "offset");
}

}  // namespace wasabi::platform
