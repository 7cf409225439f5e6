#include "LibPlatform/durable_appender.h"

#include <catch2/catch.hpp>
#include <map>
#include <memory>
#include <string>
#include <vector>

#include "LibCore/result_code.h"
#include "LibPlatform/log_follower.h"
#include "LibPlatform/record_text.h"
#include "Tests/Support/FakeLog/fake_log.h"

namespace wasabi::platform {
namespace {

using core::ResultCode;

constexpr size_t kRetentionRecords = 10000;
constexpr uint64_t kRecords = 10;

// Appends records sequentially through a faulty log, and counts how often a
// reader applies each of them.
struct Writer {
  Writer(testing::FakeLog* log, testing::VirtualScheduler* scheduler)
      : client(log, scheduler) {
    appender = DurableAppender::Create(&client, scheduler, {"s", 7});
    LogFollowerOptions options;
    options.stream = "s";
    LogFollowerHandlers handlers;
    handlers.on_page = [this](const LogPage& page) { OnPage(page); };
    follower = LogFollower::Create(&client, scheduler, options, handlers);
    follower->Start(0);
  }

  void OnPage(const LogPage& page) {
    for (const LogRecord& record : page.records) {
      const RecordStamp stamp = *DecodeRecord<RecordStamp>(record.body);
      if (filter.Admit(stamp)) {
        ++folded[stamp.sequence];
        appender->OnReadBack(stamp);
      }
    }
  }

  void AppendNext() {
    const auto make_body = [](const RecordStamp& stamp) {
      return EncodeRecord(stamp);
    };
    appender->Append(make_body, [this](const absl::Status& status) {
      results.push_back(core::CodeOf(status));
      if (results.size() < kRecords) {
        AppendNext();
      }
    });
  }

  testing::FakeLogClient client;
  std::shared_ptr<DurableAppender> appender;
  std::shared_ptr<LogFollower> follower;
  StampFilter filter;
  std::vector<ResultCode> results;
  std::map<uint64_t, int> folded;
};

TEST_CASE("records are applied once when requests or responses are lost") {
  constexpr uint64_t kSeeds = 500;
  for (uint64_t seed = 0; seed < kSeeds; ++seed) {
    CAPTURE(seed);
    testing::VirtualScheduler scheduler;
    testing::FakeLog log(&scheduler, seed, kRetentionRecords);
    log.faults().lose_answer = 0.3;
    log.faults().lose_request = 0.2;
    log.faults().delay_request = 0.2;
    Writer writer(&log, &scheduler);
    writer.AppendNext();
    scheduler.RunFor(core::seconds(300));
    REQUIRE(writer.results.size() == kRecords);
    for (uint64_t i = 0; i < kRecords; ++i) {
      const int count = writer.folded[i + 1];
      REQUIRE(count <= 1);
      REQUIRE(writer.results[i] != ResultCode::kPlatformUnavailable);
      if (writer.results[i] == ResultCode::kOk) {
        REQUIRE(count == 1);
      }
    }
  }
}

TEST_CASE("an append that the log refused fails as not stored") {
  testing::VirtualScheduler scheduler;
  testing::FakeLog log(&scheduler, 1, kRetentionRecords);
  log.faults().is_outage = true;
  Writer writer(&log, &scheduler);
  writer.AppendNext();
  scheduler.RunFor(core::seconds(10));
  REQUIRE(writer.results.size() == kRecords);
  CHECK(writer.results.front() == ResultCode::kPlatformUnavailable);
  CHECK(log.store().Bounds("s", 0).end == 0);
}

TEST_CASE("record bodies survive a round trip and invalid ones are errors") {
  const std::string bytes("\x00\xff\xfe text", 8);
  CHECK(*DecodeBase64(EncodeBase64(bytes)) == bytes);
  CHECK(core::CodeOf(DecodeBase64("not base64!").status()) ==
        ResultCode::kMalformedRecord);
  CHECK(core::CodeOf(DecodeRecord<RecordStamp>("AAAA").status()) ==
        ResultCode::kMalformedRecord);
}

}  // namespace
}  // namespace wasabi::platform
