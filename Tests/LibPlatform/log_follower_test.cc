#include "LibPlatform/log_follower.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "Tests/Support/FakeLog/fake_log.h"
#include "Tests/Support/FakeLog/virtual_scheduler.h"

namespace wasabi::platform {
namespace {

using core::EventCode;

constexpr size_t kRetentionRecords = 1000;

// A follower of stream "s" that records the calls of its handlers.
struct Fixture {
  explicit Fixture(uint64_t seed = 1)
      : log(&scheduler, seed, kRetentionRecords), client(&log, &scheduler) {
    LogFollowerOptions options;
    options.stream = "s";
    LogFollowerHandlers handlers;
    handlers.on_page = [this](const LogPage& page) {
      for (const LogRecord& record : page.records) {
        records.push_back(record);
      }
    };
    handlers.on_records_truncated = [this](Offset from, Offset first_retained) {
      gaps.emplace_back(from, first_retained);
    };
    handlers.on_event = [this](EventCode code, std::string_view) {
      events.push_back(code);
    };
    follower = LogFollower::Create(&client, &scheduler, options, handlers);
  }

  void Append(int count) {
    for (int i = 0; i < count; ++i) {
      const Offset offset = log.store().Bounds("s", 0).end;
      log.store().Append("s", std::to_string(offset));
    }
  }

  testing::VirtualScheduler scheduler;
  testing::FakeLog log;
  testing::FakeLogClient client;
  std::vector<LogRecord> records;
  std::vector<std::pair<Offset, Offset>> gaps;
  std::vector<EventCode> events;
  std::shared_ptr<LogFollower> follower;
};

TEST_CASE("a follower delivers every record in order") {
  Fixture it;
  it.Append(250);
  it.follower->Start(0);
  it.scheduler.RunFor(core::seconds(1));
  it.Append(50);
  it.scheduler.RunFor(core::seconds(15));
  REQUIRE(it.records.size() == 300);
  for (size_t i = 0; i < it.records.size(); ++i) {
    CHECK(it.records[i].offset == static_cast<Offset>(i));
  }
  CHECK(it.events.empty());
}

TEST_CASE("a follower backs off in an outage and reports its start and end") {
  Fixture it;
  it.log.faults().is_outage = true;
  it.follower->Start(0);
  it.scheduler.RunFor(core::seconds(60));
  constexpr uint64_t kMaxReads = 70;  // One per second, plus the first few.
  CHECK(it.log.reads() < kMaxReads);
  CHECK(it.events == std::vector<EventCode>{EventCode::kPlatformDown});
  it.log.faults().is_outage = false;
  it.Append(1);
  it.scheduler.RunFor(core::seconds(5));
  CHECK(it.records.size() == 1);
  CHECK(it.events.back() == EventCode::kPlatformUp);
}

TEST_CASE("a log that goes backwards delivers nothing until it has caught up") {
  Fixture it;
  it.Append(10);
  it.follower->Start(0);
  it.scheduler.RunFor(core::seconds(1));
  it.log.faults().stale_records = 3;
  it.scheduler.RunFor(core::seconds(30));
  CHECK(it.follower->next() == 10);
  CHECK(it.records.size() == 10);
  CHECK(it.events == std::vector<EventCode>{EventCode::kLogWentBackwards});
  it.log.faults().stale_records = 0;
  it.Append(2);
  it.scheduler.RunFor(core::seconds(5));
  CHECK(it.records.size() == 12);
}

TEST_CASE("a follower reports expired records and continues after them") {
  Fixture it;
  it.Append(10);
  it.log.store().TrimBefore("s", 6);
  it.follower->Start(0);
  it.scheduler.RunFor(core::seconds(1));
  CHECK(it.gaps == std::vector<std::pair<Offset, Offset>>{{0, 6}});
  CHECK(it.events == std::vector<EventCode>{EventCode::kRecordsTruncated});
  CHECK(it.records.size() == 4);
}

TEST_CASE("a stopped follower calls no handlers") {
  Fixture it;
  it.follower->Start(0);
  it.scheduler.RunFor(core::seconds(1));
  it.follower->Stop();
  it.Append(5);
  it.scheduler.RunFor(core::seconds(30));
  CHECK(it.records.empty());
}

}  // namespace
}  // namespace wasabi::platform
