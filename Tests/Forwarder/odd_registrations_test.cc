#include <algorithm>
#include <catch2/catch.hpp>
#include <string>

#include "LibCore/event_loop.h"
#include "LibCore/text.h"
#include "LibForwarding/topic_relay.h"
#include "Services/Forwarder/registration_controller.h"
#include "Tests/Support/FakeLog/virtual_scheduler.h"
#include "Tests/Support/ForwarderFixture/forwarder_fixture.h"
#include "Tests/Support/TopicStore/fake_topic_client.h"
#include "Tests/Support/TopicStore/odd_registrations.h"
#include "platform/adapters.h"

namespace wasabi::forwarder {
namespace {

using core::milliseconds;
using core::seconds;
using support::RegistrationWith;
using Ids = std::vector<std::string>;

const core::PoolId kPool("p");
constexpr core::Duration kLeavingBound = seconds(2);
// The size of the largest record that the platform's store accepts.
constexpr size_t kMaxRecordBytes = 256U << 10U;

std::string Sequence(int sequence) {
  return RegistrationWith("seq", std::to_string(sequence));
}

// A host that reads the registrations from the store, or from another host.
struct Host {
  explicit Host(testing::VirtualScheduler* clock)
      : scheduler(clock),
        client(&loop),
        events("test", 10'000),
        adapters(
            adapter::MakeAdapters(&client, core::SocketAddress(), &events)) {
    auto topics = std::make_unique<support::FakeTopicClient>(scheduler);
    store = topics.get();
    adapters.topics = std::move(topics);
    controller = std::make_unique<RegistrationController>(
        &adapters, scheduler, &events, &endpoints, kLeavingBound, 1);
  }

  void Write(const std::string& id, std::optional<std::string> value) {
    store->Write(adapters.names.registrations, id, std::move(value));
  }

  Ids Available() const {
    Ids ids;
    for (const auto& it : endpoints.Available(kPool)) {
      ids.push_back(it->id.value());
    }
    std::sort(ids.begin(), ids.end());
    return ids;
  }

  size_t SkippedLines() const {
    const auto all = events.Since(0);
    return std::count_if(all.begin(), all.end(), [](const core::Event& it) {
      return it.code == core::EventCode::kRecordSkipped;
    });
  }

  testing::VirtualScheduler* const scheduler;
  core::EventLoop loop;
  http::Client client;
  core::EventRing events;
  forwarding::AdapterSet adapters;
  support::FakeTopicClient* store = nullptr;
  forwarding::EndpointTable endpoints;
  std::unique_ptr<RegistrationController> controller;
};

// `reader` reads the store; `follower` gets reports and copies from it.
struct Fixture {
  Fixture() : reader(&scheduler), follower(&scheduler) {
    reader.Write("e1", Sequence(1));
    reader.Write("e2", Sequence(1));
    RunFor(seconds(1));
  }

  void RunFor(core::Duration duration) {
    for (core::Duration t{}; t < duration; t += milliseconds(50)) {
      reader.controller->view()->RefreshIfStale(milliseconds(100),
                                                core::Duration::zero());
      scheduler.RunFor(milliseconds(50));
      reader.controller->Tick();
      Relay();
      follower.controller->Tick();
    }
  }

  void Relay() {
    platform::TopicView* view = reader.controller->view();
    if (!view->is_loaded()) {
      return;
    }
    const auto report =
        reader.controller->relay()->MakeReport(*view, scheduler.Now());
    if (!forwarding::ApplyTopicReport(report, follower.controller->view())) {
      ++copies;
      forwarding::ApplyTopicSnapshot(Copy(), follower.controller->view());
    }
  }

  forwarding::TopicSnapshot Copy() {
    return forwarding::MakeTopicSnapshot(*reader.controller->view(),
                                         scheduler.Now());
  }

  void CheckAvailable(const Ids& ids) {
    CHECK(reader.Available() == ids);
    CHECK(follower.Available() == ids);
  }

  testing::VirtualScheduler scheduler;
  Host reader;
  Host follower;
  int copies = 0;
};

TEST_CASE("changes after an entry of another writer are followed") {
  Fixture it;
  int sequence = 1;
  for (const support::OddRegistration& row : support::OddRegistrations()) {
    INFO(row.what);
    ++sequence;
    it.reader.Write("odd", row.text);
    it.reader.Write("e1", RegistrationWith("seq", std::to_string(sequence)));
    it.reader.Write("e3", sequence % 2 == 0 ? std::optional(Sequence(sequence))
                                            : std::nullopt);
    it.RunFor(milliseconds(400));
    it.CheckAvailable(sequence % 2 == 0 ? Ids{"e1", "e2", "e3"}
                                        : Ids{"e1", "e2"});
  }
}

TEST_CASE("hosts that start read past the entries of another writer") {
  int n = 0;
  Fixture it;
  for (const support::OddRegistration& row : support::OddRegistrations()) {
    if (row.text.size() <= kMaxRecordBytes) {
      it.reader.Write(fmt::format("odd-{}", ++n), row.text);
    }
  }
  it.reader.store->Compact(it.reader.adapters.names.registrations);
  it.RunFor(seconds(1));
  it.CheckAvailable({"e1", "e2"});
}

TEST_CASE("an entry of another writer takes its endpoint out of use") {
  Fixture it;
  it.reader.Write("e1", RegistrationWith("slots", "true"));
  it.RunFor(milliseconds(400));
  it.CheckAvailable({"e2"});
  // The endpoint writes its next heartbeat.
  it.reader.Write("e1", Sequence(2));
  it.RunFor(milliseconds(400));
  it.CheckAvailable({"e1", "e2"});
}

TEST_CASE("an odd entry that is found after an outage gets no grace period") {
  Fixture it;
  it.reader.store->SetDown(true);
  it.RunFor(seconds(4));
  it.reader.Write("e1", RegistrationWith("slots", "true"));
  it.reader.Write("e2", std::nullopt);
  it.reader.store->Compact(it.reader.adapters.names.registrations);
  it.reader.store->SetDown(false);
  it.RunFor(milliseconds(1000));
  CHECK(it.reader.Available() == Ids{"e2"});
}

TEST_CASE("an odd entry is neither logged nor relayed again and again") {
  constexpr int kWrites = 20;
  Fixture it;
  const size_t lines = it.reader.SkippedLines();
  const int copies = it.copies;
  // A reader of the store sees the entry also in snapshots.
  for (int n = 0; n < kWrites; ++n) {
    it.reader.Write("odd", std::string(kMaxRecordBytes, '['));
    if (n % 4 == 0) {
      it.reader.store->Compact(it.reader.adapters.names.registrations);
    }
    it.RunFor(milliseconds(300));
  }
  CHECK(it.reader.SkippedLines() == lines + 1);
  CHECK(it.follower.SkippedLines() == 0);
  const auto report = it.reader.controller->relay()->MakeReport(
      *it.reader.controller->view(), it.scheduler.Now());
  CHECK(report.records.empty());
  CHECK(it.Copy().records.size() == 2);
  // Only a snapshot is passed on as a whole.
  CHECK(it.copies - copies <= kWrites / 4);
  it.reader.Write("odd", "{");
  it.RunFor(milliseconds(300));
  CHECK(it.reader.SkippedLines() == lines + 2);
  it.CheckAvailable({"e1", "e2"});
}

TEST_CASE("the log of an odd entry is one short line") {
  constexpr size_t kMaxLineBytes = 1024;
  Fixture it;
  const std::string key = "a\r\n\xff" + std::string(200, '"');
  for (const support::OddRegistration& row : support::OddRegistrations()) {
    it.reader.Write(key, row.text);
  }
  it.reader.Write(
      "e3",
      RegistrationWith("new", '"' + std::string(9000, 'x') + '"') + "\r\n");
  it.RunFor(seconds(1));
  for (const core::Event& event : it.reader.events.Since(0)) {
    CHECK(event.detail.size() <= kMaxLineBytes);
    CHECK(event.detail.find_first_of("\r\n\xff") == std::string::npos);
  }
}

TEST_CASE("a daemon lives with odd records in every topic that it reads") {
  support::ForwarderFixture it;
  it.Configure();
  const auto is_served = [&it]() {
    it.script = {support::ScriptedSuccess("ok")};
    return it.Get("/unsafe/1").status == 200;
  };
  int n = 0;
  for (const support::OddRegistration& row : support::OddRegistrations()) {
    if (row.text.size() > kMaxRecordBytes) {
      continue;
    }
    const std::string key = fmt::format("odd-{}\xff", ++n);
    for (const std::string& topic :
         {it.names.registrations, it.names.configuration, it.names.fleet,
          it.names.origins}) {
      it.store->Write(topic, key, row.text);
    }
    it.store->Write(it.names.configuration, it.names.configuration_key,
                    row.text);
  }
  CHECK(it.RunUntil(is_served));
  it.Register("e1", it.first, "draining");
  const int before = it.first.requests();
  const core::TimePoint settled = it.loop.Now() + it.settings.leaving_bound;
  it.RunUntil([&]() { return it.loop.Now() >= settled; });
  CHECK(is_served());
  CHECK(it.first.requests() == before);
}

}  // namespace
}  // namespace wasabi::forwarder
