#include "Services/Router/answer_record.h"

#include <catch2/catch.hpp>
#include <memory>
#include <string>

#include "LibCore/result_code.h"
#include "Services/Router/answer_store.h"

namespace wasabi::router {
namespace {

class Recorder : public AnswerListener {
 public:
  void OnAnswerChunk(uint32_t index, std::string_view payload) override {
    CHECK(index == next);
    ++next;
    text += payload;
  }
  void OnAnswerDone(const absl::Status& status) override {
    ++ends;
    code = core::CodeOf(status);
  }

  uint32_t next = 0;
  std::string text;
  int ends = 0;
  core::ResultCode code = core::ResultCode::kOk;
};

TEST_CASE(
    "listeners receive each chunk once, regardless of when they subscribe") {
  AnswerRecord record(0, 1);
  const auto early = std::make_shared<Recorder>();
  REQUIRE(record.Listen(0, early).ok());
  record.Append("a");
  record.Append("b");
  const auto late = std::make_shared<Recorder>();
  late->next = 1;
  REQUIRE(record.Listen(1, late).ok());
  record.Append("c");
  record.Finish(absl::OkStatus());
  record.Finish(core::MakeStatus(core::ResultCode::kAnswerTruncated, "late"));
  CHECK(early->text == "abc");
  CHECK(late->text == "bc");
  CHECK(early->ends == 1);
  CHECK(late->code == core::ResultCode::kOk);
}

TEST_CASE("offsets outside the stored range are rejected") {
  AnswerRecord record(3, 1);
  record.Append("d");
  struct Case {
    uint32_t offset;
    bool is_held;
  };
  const auto it = GENERATE(Case{0, false}, Case{2, false}, Case{3, true},
                           Case{4, true}, Case{5, false});
  const auto listener = std::make_shared<Recorder>();
  listener->next = it.offset;
  CHECK(record.Listen(it.offset, listener).ok() == it.is_held);
}

TEST_CASE("the store keeps unfinished answers and expires finished ones") {
  const core::TimePoint start;
  AnswerStore store(std::chrono::seconds(10), 100);
  const auto growing = std::make_shared<AnswerRecord>(0, 1);
  const auto finished = std::make_shared<AnswerRecord>(0, 2);
  finished->Finish(absl::OkStatus());
  store.Put("growing", growing, start);
  store.Put("finished", finished, start);
  store.Trim(start + std::chrono::seconds(11));
  CHECK(store.Find("growing") == growing);
  CHECK(store.Find("finished") == nullptr);
}

TEST_CASE("the store evicts the oldest answers above its size limit") {
  const core::TimePoint start;
  AnswerStore store(std::chrono::seconds(10), 100);
  for (int i = 0; i < 10; ++i) {
    const auto record = std::make_shared<AnswerRecord>(0, 1);
    record->Append(std::string(30, 'x'));
    store.Put(std::to_string(i), record, start);
  }
  store.Trim(start);
  CHECK(store.size() == 3);
  CHECK(store.Find("9") != nullptr);
}

TEST_CASE("the entry router's record takes precedence over the owner's") {
  const core::TimePoint start;
  AnswerStore store(std::chrono::seconds(10), 100);
  const auto entry_record = std::make_shared<AnswerRecord>(0, 1);
  const auto owner_record = std::make_shared<AnswerRecord>(4, 1);
  store.Put("name", entry_record, start);
  store.PutIfAbsent("name", owner_record, start);
  CHECK(store.Find("name") == entry_record);
  entry_record->Finish(
      core::MakeStatus(core::ResultCode::kAnswerTruncated, "cut"));
  store.PutIfAbsent("name", owner_record, start);
  CHECK(store.Find("name") == owner_record);
}

}  // namespace
}  // namespace wasabi::router
