#include "Services/Forwarder/configuration_controller.h"

#include <catch2/catch.hpp>
#include <string>

#include "Tests/Support/FakeLog/virtual_scheduler.h"
#include "Tests/Support/TopicStore/fake_topic_client.h"
#include "platform/adapters.h"

namespace wasabi::forwarder {
namespace {

using core::milliseconds;
using core::seconds;

constexpr const char* kKey = "evacuate/z2";
const core::DataCentreId kZone("z2");

// A host that reads the configuration topic.
struct Fixture {
  Fixture() : events("test", 100) {
    adapters = adapter::MakeAdapters(nullptr, core::SocketAddress(), &events);
    auto topics = std::make_unique<support::FakeTopicClient>(&scheduler);
    store = topics.get();
    adapters.topics = std::move(topics);
    controller = std::make_unique<ConfigurationController>(
        &adapters, &scheduler, &events, 1);
    controller->SetEvacuationObserver(
        [this](const std::set<core::DataCentreId>& evacuated) {
          is_evacuated = evacuated.contains(kZone);
          ++changes;
        });
    Write(adapters.names.configuration_key,
          R"({"version":1,"routes":[],"services":[]})");
    RunFor(seconds(1));
  }

  void Write(const std::string& key, std::optional<std::string> value) {
    store->Write(adapters.names.configuration, key, std::move(value));
  }

  void RunFor(core::Duration duration) {
    for (core::Duration t{}; t < duration; t += milliseconds(50)) {
      if (is_reading) {
        controller->view()->RefreshIfStale(milliseconds(100),
                                           core::Duration::zero());
      }
      scheduler.RunFor(milliseconds(50));
      controller->Tick();
    }
  }

  size_t EventsOf(core::EventCode code) const {
    size_t n = 0;
    for (const core::Event& it : events.Since(0)) {
      n += it.code == code ? 1 : 0;
    }
    return n;
  }

  testing::VirtualScheduler scheduler;
  core::EventRing events;
  forwarding::AdapterSet adapters;
  support::FakeTopicClient* store = nullptr;
  std::unique_ptr<ConfigurationController> controller;
  bool is_reading = true;
  bool is_evacuated = false;
  int changes = 0;
};

TEST_CASE(
    "an evacuation is in force from its record until the key is dropped") {
  Fixture it;
  it.Write(kKey, "{}");
  it.RunFor(seconds(1));
  CHECK(it.is_evacuated);
  CHECK(it.EventsOf(core::EventCode::kEvacuationRead) == 1);
  CHECK(it.EventsOf(core::EventCode::kEvacuationInForce) == 1);
  it.Write(kKey, std::nullopt);
  it.RunFor(seconds(1));
  CHECK_FALSE(it.is_evacuated);
  CHECK(it.EventsOf(core::EventCode::kEvacuationRemoved) == 1);
}

TEST_CASE("a host that starts knows the evacuations of its first snapshot") {
  // The observer of the configuration runs before the first request can.
  Fixture it;
  it.is_reading = false;
  bool is_known_first = false;
  Fixture started;
  started.Write(kKey, "{}");
  started.RunFor(seconds(1));
  it.controller->SetObserver([&](const forwarding::RouteTableView&) {
    is_known_first = it.is_evacuated;
  });
  platform::KeyedPage copy = started.controller->view()->Copy();
  for (platform::KeyedRecord& record : copy.records) {
    if (record.key == it.adapters.names.configuration_key) {
      record.value = R"({"version":2,"routes":[],"services":[]})";
    }
  }
  it.controller->view()->ApplyCopy(copy, milliseconds(50));
  CHECK(is_known_first);
}

struct Fault {
  const char* what;
  void (*inject)(Fixture& it, const support::KeyedLog& backup);
};

TEST_CASE("an evacuation outlives the faults of the store") {
  const Fault faults[] = {
      {"compaction",
       [](Fixture& it, const support::KeyedLog&) {
         it.store->Compact(it.adapters.names.configuration);
         it.Write("other", "1");
       }},
      {"an outage",
       [](Fixture& it, const support::KeyedLog&) { it.store->SetDown(true); }},
      {"a restore from a backup without it",
       [](Fixture& it, const support::KeyedLog& backup) {
         it.store->RestoreFrom(backup);
       }},
      {"a restore and records up to the old offset",
       [](Fixture& it, const support::KeyedLog& backup) {
         it.store->RestoreFrom(backup);
         for (int i = 0; i < 3; ++i) {
           it.Write("other", "1");
         }
       }},
      {"a rewind",
       [](Fixture& it, const support::KeyedLog&) {
         it.store->TruncateTo(it.adapters.names.configuration, 1);
       }},
      {"a rewind and other records instead",
       [](Fixture& it, const support::KeyedLog&) {
         it.store->TruncateTo(it.adapters.names.configuration, 1);
         it.RunFor(seconds(1));
         for (int i = 0; i < 3; ++i) {
           it.Write("other", "1");
         }
         it.store->Compact(it.adapters.names.configuration);
       }},
      {"a copy and a report of a host that has read less",
       [](Fixture& it, const support::KeyedLog&) {
         it.controller->view()->ApplyCopy({.next = 1, .epoch = 1}, {});
         it.controller->view()->ApplyReport(0, {.next = 1, .epoch = 1}, {});
       }},
      {"a copy of an earlier history",
       [](Fixture& it, const support::KeyedLog& backup) {
         it.store->RestoreFrom(backup);
         it.RunFor(seconds(1));
         it.controller->view()->ApplyCopy({.next = 100, .epoch = 1}, {});
       }},
  };
  for (const Fault& row : faults) {
    INFO(row.what);
    Fixture it;
    const support::KeyedLog backup = it.store->Backup();
    it.Write(kKey, "{}");
    it.RunFor(seconds(1));
    REQUIRE(it.is_evacuated);
    row.inject(it, backup);
    for (int i = 0; i < 20; ++i) {
      it.RunFor(seconds(1));
      REQUIRE(it.is_evacuated);
    }
    CHECK(it.changes <= 2);
  }
}

TEST_CASE("after a restore the records of the new history decide") {
  Fixture it;
  const support::KeyedLog backup = it.store->Backup();
  it.Write(kKey, "{}");
  it.RunFor(seconds(1));
  it.store->RestoreFrom(backup);
  it.RunFor(seconds(1));
  CHECK(it.EventsOf(core::EventCode::kEvacuationRetained) == 1);
  SECTION("written again, it stays as long as its record") {
    it.Write(kKey, "{}");
    it.RunFor(seconds(90));
    CHECK(it.is_evacuated);
    it.Write(kKey, std::nullopt);
    it.RunFor(seconds(1));
    CHECK_FALSE(it.is_evacuated);
  }
  SECTION("never written again, it ends after its lifetime") {
    it.RunFor(seconds(50));
    CHECK(it.is_evacuated);
    it.RunFor(seconds(20));
    CHECK_FALSE(it.is_evacuated);
  }
}

// A host that reads the platform through others must learn of an order and its
// removal from the report itself, without a copy.
TEST_CASE("reports carry evacuations, and the newest offset wins") {
  Fixture reader;
  Fixture it;
  it.is_reading = false;
  const auto report = [&]() {
    return forwarding::ApplyTopicReport(
        reader.controller->relay()->MakeReport(*reader.controller->view(),
                                               reader.scheduler.Now()),
        it.controller->view());
  };
  reader.Write(kKey, "{}");
  reader.RunFor(milliseconds(500));
  CHECK(report());
  CHECK(it.is_evacuated);
  reader.Write(kKey, std::nullopt);
  reader.Write(kKey, "{}");
  reader.RunFor(milliseconds(500));
  CHECK(report());
  CHECK(it.is_evacuated);
  reader.Write(kKey, std::nullopt);
  reader.RunFor(milliseconds(500));
  CHECK(report());
  CHECK_FALSE(it.is_evacuated);
}

}  // namespace
}  // namespace wasabi::forwarder
