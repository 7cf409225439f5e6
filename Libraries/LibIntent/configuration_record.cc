#include "LibIntent/configuration_record.h"

#include <nlohmann/json.hpp>
#include <utility>

#include "LibCore/hash.h"
#include "LibCore/text.h"
#include "LibCore/try.h"
#include "LibIntent/configuration_json.h"

namespace wasabi::intent {

namespace {

using nlohmann::json;

json StampToJson(const RecordStamp& stamp) {
  return {{"writer", stamp.writer}, {"sequence", stamp.sequence}};
}

absl::Status ReadStamp(const json& record, RecordStamp* stamp) {
  const json& value = MemberOf(record, "stamp");
  TRY(ReadMember(value, "writer", &stamp->writer));
  TRY(ReadMember(value, "sequence", &stamp->sequence));
  return stamp->writer.empty() ? MakeMalformed("\"stamp\" has no \"writer\"")
                               : absl::OkStatus();
}

absl::Status ReadBase(const json& record, std::map<ItemKey, int64_t>* base) {
  const json& value = MemberOf(record, "base");
  if (!value.is_object()) {
    return MakeMalformed("\"base\" is not a JSON object");
  }
  for (const auto& [name, revision] : value.items()) {
    TRY_ASSIGN(ItemKey item, ItemKey::Parse(name));
    if (!revision.is_number_integer()) {
      return MakeMalformed("a revision in \"base\" is not an integer");
    }
    (*base)[std::move(item)] = revision.get<int64_t>();
  }
  return absl::OkStatus();
}

absl::Status ReadChanges(const json& record, ChangeRecord* target) {
  const json& value = MemberOf(record, "changes");
  if (!value.is_array()) {
    return MakeMalformed("\"changes\" is not a list");
  }
  for (const json& member : value) {
    TRY_ASSIGN(Change change, ChangeFromJson(member));
    if (!target->base.contains(change.item)) {
      return MakeMalformed(fmt::format("the change of {} has no base revision",
                                       change.item.ToString()));
    }
    target->changes.push_back(std::move(change));
  }
  return absl::OkStatus();
}

absl::StatusOr<ConfigurationRecord> ParseChange(const json& value) {
  ChangeRecord record;
  TRY(ReadStamp(value, &record.stamp));
  TRY(ReadMember(value, "plan", &record.plan_id));
  TRY(ReadMember(value, "operator", &record.operator_name));
  if (record.plan_id.empty()) {
    return MakeMalformed("the change record names no plan");
  }
  TRY(ReadBase(value, &record.base));
  TRY(ReadChanges(value, &record));
  return ConfigurationRecord(std::move(record));
}

absl::StatusOr<ConfigurationRecord> ParseSnapshot(const json& value) {
  SnapshotRecord record;
  TRY(ReadStamp(value, &record.stamp));
  std::string digest;
  TRY(ReadMember(value, "state", &record.state));
  TRY(ReadMember(value, "digest", &digest));
  if (digest != core::ContentDigest(record.state)) {
    return MakeMalformed("the snapshot does not match its digest");
  }
  return ConfigurationRecord(std::move(record));
}

}  // namespace

std::string EncodeRecord(const ChangeRecord& record) {
  json base = json::object();
  for (const auto& [item, revision] : record.base) {
    base[item.ToString()] = revision;
  }
  json changes = json::array();
  for (const Change& change : record.changes) {
    changes.push_back(ChangeToJson(change));
  }
  return DumpJson({{"kind", "change"},
                   {"stamp", StampToJson(record.stamp)},
                   {"plan", record.plan_id},
                   {"operator", record.operator_name},
                   {"base", std::move(base)},
                   {"changes", std::move(changes)}});
}

std::string EncodeRecord(const SnapshotRecord& record) {
  return DumpJson({{"kind", "snapshot"},
                   {"stamp", StampToJson(record.stamp)},
                   {"digest", core::ContentDigest(record.state)},
                   {"state", record.state}});
}

absl::StatusOr<ConfigurationRecord> ParseRecord(std::string_view body) {
  TRY_ASSIGN(const json value, ParseJsonObject(body));
  std::string kind;
  TRY(ReadMember(value, "kind", &kind));
  if (kind == "change") {
    return ParseChange(value);
  }
  if (kind == "snapshot") {
    return ParseSnapshot(value);
  }
  return MakeMalformed("the record is not of a known kind");
}

}  // namespace wasabi::intent
