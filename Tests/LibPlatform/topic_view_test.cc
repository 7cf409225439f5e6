#include "LibPlatform/topic_view.h"

#include <algorithm>
#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "Tests/Support/FakeLog/virtual_scheduler.h"
#include "Tests/Support/TopicStore/fake_topic_client.h"

namespace wasabi::platform {
namespace {

using core::milliseconds;
using core::seconds;

constexpr core::Duration kNoWait{};

// A view of topic "t" that records its updates as "key=value@offset".
struct Fixture {
  Fixture() : client(&scheduler) {
    TopicViewHandlers handlers;
    handlers.on_snapshot = [this](const std::vector<KeyedRecord>& records) {
      ++snapshots;
      for (const KeyedRecord& it : records) {
        Note(it);
      }
    };
    handlers.on_record = [this](const KeyedRecord& it) { Note(it); };
    handlers.on_reachable = [this](bool is_reachable) {
      reachable.push_back(is_reachable);
    };
    handlers.on_event = [this](core::EventCode code, const std::string&) {
      events.push_back(code);
    };
    view = std::make_shared<TopicView>(&client, &scheduler,
                                       TopicViewOptions{.topic = "t"},
                                       std::move(handlers));
  }

  void Note(const KeyedRecord& it) {
    heard.push_back(it.key + "=" + it.value.value_or("dropped") + "@" +
                    std::to_string(it.offset));
  }

  // Refreshes whenever the view is older than 100 ms.
  void RunFor(core::Duration duration) {
    for (core::Duration t{}; t < duration; t += milliseconds(50)) {
      view->RefreshIfStale(milliseconds(100), kNoWait);
      scheduler.RunFor(milliseconds(50));
    }
  }

  testing::VirtualScheduler scheduler;
  support::FakeTopicClient client;
  std::vector<std::string> heard;
  std::vector<bool> reachable;
  std::vector<core::EventCode> events;
  int snapshots = 0;
  std::shared_ptr<TopicView> view;
};

using Texts = std::vector<std::string>;

TEST_CASE("a view loads a snapshot, then receives each record once") {
  Fixture it;
  it.client.Write("t", "a", "1");
  it.client.Write("t", "b", "2");
  it.RunFor(seconds(1));
  it.client.Write("t", "a", "3");
  it.client.Write("t", "b", std::nullopt);
  it.RunFor(seconds(1));
  CHECK(it.snapshots == 1);
  CHECK(it.heard == Texts{"a=1@0", "b=2@1", "a=3@2", "b=dropped@3"});
  CHECK(it.view->Copy().records ==
        std::vector<KeyedRecord>{{.key = "a", .value = "3", .offset = 2}});
}

TEST_CASE("a response that lacks records does not make a view current") {
  Fixture it;
  it.client.Write("t", "a", "1");
  it.RunFor(seconds(1));
  it.client.SetRecordsPerRead(1);
  it.scheduler.RunFor(seconds(1));
  const core::TimePoint before = it.view->confirmed_at();
  it.client.Write("t", "b", "2");
  it.client.Write("t", "c", "3");
  it.view->RefreshIfStale(milliseconds(100), kNoWait);
  it.scheduler.RunFor(milliseconds(50));
  CHECK(it.heard == Texts{"a=1@0", "b=2@1"});
  CHECK((it.view->confirmed_at() == before));
  // The rest is read at once, however old the view may be.
  it.view->RefreshIfStale(seconds(60), kNoWait);
  it.scheduler.RunFor(milliseconds(50));
  CHECK(it.heard == Texts{"a=1@0", "b=2@1", "c=3@2"});
  CHECK((it.view->confirmed_at() > before));
}

TEST_CASE("a view that missed deleted records loads a snapshot") {
  Fixture it;
  it.client.Write("t", "a", "1");
  it.RunFor(seconds(1));
  it.client.SetDown(true);
  it.RunFor(seconds(1));
  it.client.Write("t", "a", "2");
  it.client.Compact("t");
  it.client.SetDown(false);
  it.RunFor(seconds(2));
  CHECK(it.snapshots == 2);
  CHECK(it.heard.back() == "a=2@1");
  CHECK(it.reachable == std::vector<bool>{false, true});
}

TEST_CASE("a topic that goes backwards does not change the view") {
  Fixture it;
  it.client.Write("t", "a", "1");
  it.client.Write("t", "a", "2");
  it.RunFor(seconds(1));
  it.client.TruncateTo("t", 1);
  it.RunFor(seconds(1));
  CHECK(it.view->next() == 2);
  CHECK(it.heard == Texts{"a=2@1"});
  REQUIRE_FALSE(it.events.empty());
  CHECK(it.events.front() == core::EventCode::kLogWentBackwards);
}

struct BackoffCase {
  const char* what;
  core::Duration maximum;
  // Maximum number of calls in an outage of eight seconds: the doubling steps,
  // then one per half of the maximum.
  int calls;
  // Maximum time until the view is current again.
  core::Duration recovery;
};

TEST_CASE("how often a view tries an unreachable platform") {
  const auto row = GENERATE(values<BackoffCase>({
      {"one that tells others", milliseconds(400), 43, milliseconds(500)},
      {"one that is told by others", seconds(2), 12, milliseconds(2100)},
  }));
  INFO(row.what);
  Fixture it;
  it.RunFor(seconds(1));
  it.view->SetMaximumBackoff(row.maximum);
  it.client.SetDown(true);
  const int before = it.client.calls();
  const core::TimePoint outage_began_at = it.scheduler.Now();
  while (it.scheduler.Now() < outage_began_at + seconds(8)) {
    // Other hosts report as well, but have nothing newer.
    it.view->ApplyReport(it.view->next(), {.next = it.view->next()},
                         it.scheduler.Now() - outage_began_at);
    it.RunFor(milliseconds(200));
  }
  CHECK(it.client.calls() - before <= row.calls);
  it.client.SetDown(false);
  const core::TimePoint returned_at = it.scheduler.Now();
  it.RunFor(row.recovery);
  CHECK(it.view->confirmed_at() >= returned_at);
}

TEST_CASE("a view does not confirm while the platform is silent") {
  Fixture it;
  it.RunFor(seconds(1));
  const core::TimePoint confirmed_at = it.view->confirmed_at();
  it.client.SetSilent(true);
  it.RunFor(seconds(3));
  CHECK(it.scheduler.Now() - it.view->confirmed_at() >= milliseconds(2800));
  CHECK(it.view->confirmed_at() - confirmed_at < milliseconds(200));
}

struct ReportCase {
  const char* what;
  Offset complete_from;
  Offset next;
  std::vector<KeyedRecord> records;
  bool is_current;
  Offset next_after;
  Texts heard;
};

TEST_CASE("reports of other hosts only move a view forwards") {
  // The view is at offset 2 before each report.
  const KeyedRecord stale_record{.key = "a", .value = "0", .offset = 0};
  const KeyedRecord new_record{.key = "a", .value = "9", .offset = 4};
  const ReportCase cases[] = {
      {"nothing new", 0, 2, {}, true, 2, {}},
      {"heartbeats only", 1, 6, {}, true, 6, {}},
      {"a change", 2, 5, {stale_record, new_record}, true, 5, {"a=9@4"}},
      {"a gap", 3, 5, {new_record}, false, 2, {}},
      {"older than the view", 0, 1, {stale_record}, true, 2, {}},
  };
  for (const ReportCase& row : cases) {
    Fixture it;
    it.client.Write("t", "a", "1");
    it.client.Write("t", "a", "2");
    it.RunFor(seconds(1));
    it.heard.clear();
    INFO(row.what);
    CHECK(it.view->ApplyReport(row.complete_from,
                               {.records = row.records, .next = row.next},
                               milliseconds(10)) == row.is_current);
    CHECK(it.view->next() == row.next_after);
    CHECK(it.heard == row.heard);
  }
}

TEST_CASE("a copy from another host replaces only an older view") {
  Fixture it;
  KeyedPage copy;
  copy.next = 7;
  copy.records = {{.key = "a", .value = "5", .offset = 6}};
  it.view->ApplyCopy(copy, milliseconds(100));
  CHECK(it.view->is_loaded());
  CHECK(it.heard == Texts{"a=5@6"});
  copy.next = 3;
  it.view->ApplyCopy(copy, milliseconds(0));
  CHECK(it.view->next() == 7);
  CHECK(it.snapshots == 1);
}

struct RestoreCase {
  const char* what;
  // Records written after the restore.
  int writes;
};

TEST_CASE("a view follows a platform that was restored from a backup") {
  // The backup ends at offset 1 and the view is at offset 3.
  const RestoreCase cases[] = {
      {"the topic ends before the view", 0},
      {"the topic has grown to the offset of the view", 2},
      {"the topic has grown beyond the view", 5},
  };
  for (const RestoreCase& row : cases) {
    INFO(row.what);
    Fixture it;
    it.client.Write("t", "a", "1");
    const support::KeyedLog backup = it.client.Backup();
    it.client.Write("t", "a", "2");
    it.client.Write("t", "b", "1");
    it.RunFor(seconds(1));
    it.client.RestoreFrom(backup);
    for (int i = 0; i < row.writes; ++i) {
      it.client.Write("t", "c", std::to_string(i));
    }
    const core::TimePoint restored_at = it.scheduler.Now();
    it.RunFor(seconds(1));
    CHECK(it.view->next() == 1 + row.writes);
    CHECK(it.view->Copy().records.front() ==
          KeyedRecord{.key = "a", .value = "1", .offset = 0});
    CHECK(it.view->Copy().records.size() == (row.writes == 0 ? 1 : 2));
    CHECK(it.view->confirmed_at() > restored_at);
    CHECK(it.view->recovered_at() >= restored_at);
    CHECK(it.events ==
          std::vector<core::EventCode>{core::EventCode::kLogRestored});
    it.client.Write("t", "a", "3");
    it.RunFor(seconds(1));
    CHECK(it.heard.back() == "a=3@" + std::to_string(1 + row.writes));
  }
}

struct HistoryCase {
  const char* what;
  LogEpoch epoch;
  bool is_current;
  // The view's offset after the report, and after a copy with the same end.
  Offset after_report;
  Offset after_copy;
};

TEST_CASE("what other hosts say about another history") {
  // The view is at offset 1 of history 2; the report and the copy end at 4.
  const HistoryCase cases[] = {
      {"an earlier one", 1, true, 1, 1},
      {"the same", 2, true, 4, 4},
      {"a later one", 3, false, 1, 4},
      {"a host that does not know it", 0, true, 4, 4},
  };
  for (const HistoryCase& row : cases) {
    INFO(row.what);
    Fixture it;
    it.client.Write("t", "a", "1");
    it.client.RestoreFrom(it.client.Backup());
    it.RunFor(seconds(1));
    const KeyedPage page = {
        .records = {{.key = "a", .value = "9", .offset = 3}},
        .next = 4,
        .epoch = row.epoch};
    CHECK(it.view->ApplyReport(0, page, milliseconds(10)) == row.is_current);
    CHECK(it.view->next() == row.after_report);
    it.view->ApplyCopy(page, milliseconds(10));
    CHECK(it.view->next() == row.after_copy);
    CHECK(it.view->epoch() == std::max<LogEpoch>(row.epoch, 2));
  }
}

struct RecoveryCase {
  const char* what;
  core::Duration outage;
  bool is_relayed;
  bool has_recovered;
};

TEST_CASE("a view records when it recovers from an outage") {
  const RecoveryCase cases[] = {
      {"a short pause", milliseconds(500), false, false},
      {"an outage", seconds(3), false, true},
      {"an outage that ends with a report of another host", seconds(3), true,
       true},
  };
  for (const RecoveryCase& row : cases) {
    Fixture it;
    it.RunFor(seconds(1));
    it.client.SetDown(true);
    it.RunFor(row.outage);
    if (row.is_relayed) {
      it.view->ApplyReport(0, {}, milliseconds(10));
    } else {
      it.client.SetDown(false);
      it.RunFor(seconds(1));
    }
    INFO(row.what);
    CHECK((it.view->recovered_at() != core::TimePoint()) == row.has_recovered);
  }
}

struct PauseCase {
  const char* what;
  // Whether the view is refreshed before it gets the response.
  bool is_refreshed_first;
};

TEST_CASE(
    "a response that waited for a paused process is as old as the pause") {
  const PauseCase cases[] = {
      {"the response comes first", false},
      {"a refresh comes first", true},
  };
  for (const PauseCase& row : cases) {
    INFO(row.what);
    Fixture it;
    it.client.Write("t", "a", "1");
    it.RunFor(seconds(1));
    const int calls = it.client.calls();
    while (it.client.calls() == calls) {
      it.scheduler.RunFor(milliseconds(50));
      it.view->RefreshIfStale(milliseconds(100), kNoWait);
    }
    const core::TimePoint paused_at = it.scheduler.Now();
    it.scheduler.StandStill(seconds(5));
    it.client.Write("t", "a", "2");
    if (row.is_refreshed_first) {
      it.view->RefreshIfStale(milliseconds(100), kNoWait);
    }
    it.scheduler.RunFor(milliseconds(1));
    CHECK((it.view->confirmed_at() <= paused_at));
    // The next read makes the view current.
    const core::TimePoint resumed_at = it.scheduler.Now();
    it.RunFor(milliseconds(300));
    CHECK(it.heard.back() == "a=2@1");
    CHECK((it.view->confirmed_at() >= resumed_at));
  }
}

}  // namespace
}  // namespace wasabi::platform
