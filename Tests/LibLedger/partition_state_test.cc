#include "LibLedger/partition_state.h"

#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "LibCore/result_code.h"

namespace wasabi::ledger {
namespace {

using core::ResultCode;
using Kind = LedgerRecordKind;

// One record of the key "key", its writer and the expected effect.
struct Step {
  uint64_t writer;
  Kind kind;
  RecordEffect expected;
};

// A sequence of records and the expected final state of the key.
struct StateCase {
  std::string name;
  std::vector<Step> steps;
  bool is_final;
  ResultCode code;
};

LedgerRecord MakeRecord(Kind kind) {
  LedgerRecord record;
  record.kind = kind;
  record.key = {core::OrganisationId("organisation"), "key"};
  record.attempt = 1;
  record.content_digest = kind == Kind::kIntent ? "digest" : "";
  return record;
}

const auto kNothing = RecordEffect::kNothing;
const auto kWon = RecordEffect::kIntentWon;
const auto kLost = RecordEffect::kIntentLost;
const auto kEnded = RecordEffect::kEnded;

TEST_CASE(
    "the first intent or void and the first outcome record of a key are "
    "valid") {
  const auto it = GENERATE(values<StateCase>({
      {"one run",
       {{1, Kind::kIntent, kWon}, {1, Kind::kDone, kEnded}},
       true,
       ResultCode::kOk},
      {"two intents",
       {{1, Kind::kIntent, kWon},
        {2, Kind::kIntent, kLost},
        {2, Kind::kDone, kNothing}},
       false,
       ResultCode::kOk},
      {"void first",
       {{1, Kind::kVoid, kEnded},
        {2, Kind::kIntent, kLost},
        {2, Kind::kDone, kNothing}},
       true,
       ResultCode::kNotRun},
      {"void after intent",
       {{1, Kind::kIntent, kWon}, {2, Kind::kVoid, kNothing}},
       false,
       ResultCode::kOk},
      {"unknown before done",
       {{1, Kind::kIntent, kWon},
        {2, Kind::kUnknown, kEnded},
        {1, Kind::kDone, kNothing}},
       true,
       ResultCode::kOutcomeUnknown},
      {"done before unknown",
       {{1, Kind::kIntent, kWon},
        {1, Kind::kDone, kEnded},
        {2, Kind::kUnknown, kNothing}},
       true,
       ResultCode::kOk},
  }));
  CAPTURE(it.name);
  PartitionState state{core::seconds(60)};
  uint64_t sequence = 0;
  for (const Step& step : it.steps) {
    const LedgerGroup group{
        {step.writer, ++sequence}, 0, {MakeRecord(step.kind)}};
    const auto visit = [&](const LedgerRecord&, RecordEffect effect) {
      CHECK(effect == step.expected);
    };
    CHECK(state.Apply(group, core::TimePoint(), visit));
    CHECK_FALSE(state.Apply(group, core::TimePoint(), visit));
  }
  const KeyEntry* entry = state.Find(MakeRecord(Kind::kIntent).key);
  REQUIRE(entry != nullptr);
  CHECK(entry->is_final == it.is_final);
  CHECK(entry->outcome.result_code() == it.code);
}

TEST_CASE("a key expires after its lifetime") {
  PartitionState state{core::seconds(60)};
  const core::TimePoint start;
  const auto visit = [](const LedgerRecord&, RecordEffect) {};
  state.Apply({{1, 1}, 0, {MakeRecord(Kind::kIntent)}}, start, visit);
  state.Expire(start + core::seconds(59));
  CHECK(state.size() == 1);
  state.Expire(start + core::seconds(60));
  CHECK(state.size() == 0);
}

TEST_CASE("after a gap, records are complete from the time of the next group") {
  PartitionState state{core::seconds(60)};
  state.MarkGap();
  state.Apply({{1, 1}, 5000, {}}, core::TimePoint(),
              [](const LedgerRecord&, RecordEffect) {});
  CHECK(state.complete_since_ms() == 5000);
}

TEST_CASE(
    "groups can be encoded and decoded, and malformed bodies are rejected") {
  LedgerRecord record = MakeRecord(Kind::kDone);
  record.outcome = MakeOutcome(ResultCode::kOk);
  record.outcome.body = std::string("\x00\xff bytes", 8);
  const LedgerGroup group{{7, 3}, 12345, {record}};
  CHECK(*DecodeGroup(EncodeGroup(group)) == group);
  for (const std::string body : {"", "text", "AAAA", "k5MBAgM="}) {
    CAPTURE(body);
    CHECK(core::CodeOf(DecodeGroup(body).status()) ==
          ResultCode::kMalformedRecord);
  }
}

TEST_CASE("keys are distributed evenly over the partitions") {
  std::vector<int> counts(kLedgerPartitions);
  constexpr int kKeys = 16000;
  for (int i = 0; i < kKeys; ++i) {
    ++counts.at(PartitionOf(core::OrganisationId("o"), std::to_string(i)));
  }
  for (const int count : counts) {
    CHECK(count > 800);
    CHECK(count < 1200);
  }
  CHECK(StreamOf(7) == "ledger-7");
}

TEST_CASE("only version 7 UUID keys have a creation time") {
  CHECK(CreationTimeOf("017f22e2-79b0-7cc3-98c4-dc0c0c07398f") ==
        1645557742000);
  CHECK_FALSE(CreationTimeOf("017f22e2-79b0-4cc3-98c4-dc0c0c07398f"));
  CHECK_FALSE(CreationTimeOf("017f22g2-79b0-7cc3-98c4-dc0c0c07398f"));
  CHECK_FALSE(CreationTimeOf("order 17"));
}

}  // namespace
}  // namespace wasabi::ledger
