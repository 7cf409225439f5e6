#include "LibForwarding/topic_relay.h"

#include <catch2/catch.hpp>
#include <string>

namespace wasabi::forwarding {
namespace {

using core::seconds;
using platform::KeyedPage;
using platform::KeyedRecord;
using platform::TopicView;
using platform::TopicViewOptions;

constexpr uint8_t kTopic = 2;
constexpr size_t kRoom = 100;

// A scheduler whose time does not advance.
class FrozenScheduler : public platform::Scheduler {
 public:
  core::TimePoint Now() const override { return core::TimePoint(seconds(50)); }
  void CallAfter(core::Duration /*delay*/,
                 std::function<void()> /*task*/) override {}
};

struct Host {
  Host() {
    platform::TopicViewHandlers handlers;
    handlers.on_snapshot = [](const std::vector<KeyedRecord>&) {};
    handlers.on_record = [this](const KeyedRecord& it) {
      heard += it.key + " ";
    };
    view = std::make_shared<TopicView>(nullptr, &scheduler, TopicViewOptions{},
                                       std::move(handlers));
    view->ApplyCopy({.records = {}, .next = 10}, core::Duration::zero());
  }
  FrozenScheduler scheduler;
  std::string heard;
  std::shared_ptr<TopicView> view;
};

TEST_CASE("a report carries recent changes to a host that lacks them") {
  Host reader;
  Host other;
  TopicRelay relay(kTopic, kRoom);
  relay.RecordSnapshot(10);
  const KeyedRecord record{.key = "e1", .value = "x", .offset = 12};
  reader.view->ApplyReport(10, {.records = {record}, .next = 15},
                           core::Duration::zero());
  relay.RecordChange(record, reader.scheduler.Now());
  CHECK(relay.has_updates());
  const TopicReport report =
      relay.MakeReport(*reader.view, reader.scheduler.Now());
  CHECK_FALSE(relay.has_updates());
  CHECK(ApplyTopicReport(report, other.view.get()));
  CHECK(other.heard == "e1 ");
  CHECK(other.view->next() == 15);
}

TEST_CASE("a receiver needs a copy when a report has no room for all changes") {
  Host reader;
  Host other;
  TopicRelay relay(kTopic, kRoom);
  relay.RecordSnapshot(10);
  for (int64_t offset = 10; offset < 20; ++offset) {
    relay.RecordChange(
        {.key = "e", .value = std::string(40, 'x'), .offset = offset},
        reader.scheduler.Now());
  }
  reader.view->ApplyReport(10, {.next = 20}, core::Duration::zero());
  const TopicReport report =
      relay.MakeReport(*reader.view, reader.scheduler.Now());
  CHECK(report.complete_from > 10);
  CHECK_FALSE(ApplyTopicReport(report, other.view.get()));
  ApplyTopicSnapshot(MakeTopicSnapshot(*reader.view, reader.scheduler.Now()),
                     other.view.get());
  CHECK(other.view->next() == 20);
}

TEST_CASE("changes are repeated for a few seconds only") {
  Host reader;
  TopicRelay relay(kTopic, kRoom);
  relay.RecordChange({.key = "e", .value = "x", .offset = 11},
                     reader.scheduler.Now());
  const TopicReport report =
      relay.MakeReport(*reader.view, reader.scheduler.Now() + seconds(4));
  CHECK(report.records.empty());
  CHECK(report.complete_from == 12);
}

}  // namespace
}  // namespace wasabi::forwarding
