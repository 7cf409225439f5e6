#include "Services/Forwarder/registration_controller.h"

#include <catch2/catch.hpp>
#include <string>

#include "Tests/Support/FakeLog/virtual_scheduler.h"
#include "Tests/Support/TopicStore/fake_topic_client.h"

namespace wasabi::forwarder {
namespace {

using core::milliseconds;
using core::seconds;

constexpr const char* kTopic = "registrations";
const core::PoolId kPool("p");
constexpr core::Duration kLeavingBound = seconds(2);

// Decodes a registration that consists of the pool's name. Any other text is
// malformed.
class PlainRecords : public forwarding::RecordProtocol {
 public:
  absl::StatusOr<forwarding::RouteTableView> DecodeConfiguration(
      const std::string& /*text*/) const override {
    return core::MakeStatus(core::ResultCode::kMalformedRecord, "none");
  }
  absl::StatusOr<forwarding::Registration> DecodeRegistration(
      const std::string& id,
      const std::string& text) const override {
    if (text != kPool.value()) {
      return core::MakeStatus(core::ResultCode::kMalformedRecord, "unreadable");
    }
    forwarding::Registration registration;
    registration.endpoint.id = core::RunnerId(id);
    registration.endpoint.pool = kPool;
    registration.sequence = ++sequence_;
    return registration;
  }

 private:
  mutable int64_t sequence_ = 0;
};

struct Fixture {
  Fixture() : events("test", 100) {
    auto topics = std::make_unique<support::FakeTopicClient>(&scheduler);
    store = topics.get();
    adapters.topics = std::move(topics);
    adapters.records = std::make_unique<PlainRecords>();
    adapters.names.registrations = kTopic;
    controller = std::make_unique<RegistrationController>(
        &adapters, &scheduler, &events, &endpoints, kLeavingBound, 1);
    for (const char* id : {"e1", "e2"}) {
      store->Write(kTopic, id, kPool.value());
    }
    RunFor(seconds(1));
  }

  // Advances the time and reads the platform periodically, like the fleet's
  // reader.
  void RunFor(core::Duration duration) {
    for (core::Duration t{}; t < duration; t += milliseconds(50)) {
      if (is_reading) {
        controller->view()->RefreshIfStale(milliseconds(200),
                                           core::Duration::zero());
      }
      scheduler.RunFor(milliseconds(50));
      controller->Tick();
    }
  }

  size_t Available() const { return endpoints.Available(kPool).size(); }

  testing::VirtualScheduler scheduler;
  core::EventRing events;
  forwarding::AdapterSet adapters;
  support::FakeTopicClient* store = nullptr;
  forwarding::EndpointTable endpoints;
  std::unique_ptr<RegistrationController> controller;
  bool is_reading = true;
};

TEST_CASE("an endpoint whose registration is removed becomes unavailable") {
  Fixture it;
  REQUIRE(it.Available() == 2);
  it.store->Write(kTopic, "e1", std::nullopt);
  it.RunFor(milliseconds(500));
  CHECK(it.Available() == 1);
}

TEST_CASE("a malformed registration makes its endpoint unavailable") {
  Fixture it;
  it.store->Write(kTopic, "e1", "\xff{");
  it.store->Write(kTopic, "e3", "[]");
  it.RunFor(milliseconds(500));
  CHECK(it.Available() == 1);
}

TEST_CASE(
    "endpoints whose registration expired in an outage are kept for a grace "
    "period after it") {
  Fixture it;
  it.store->SetDown(true);
  it.RunFor(seconds(4));
  it.store->Write(kTopic, "e1", std::nullopt);
  it.store->Write(kTopic, "e2", std::nullopt);
  it.store->SetDown(false);
  it.RunFor(milliseconds(1500));
  CHECK(it.Available() == 2);
  it.store->Write(kTopic, "e1", kPool.value());
  it.RunFor(seconds(2));
  CHECK(it.Available() == 1);
}

// Salazar, trouble-1 --seed 758061074704: the grace period started at the
// removal of the registration instead of at the recovery, so an endpoint that
// left after an outage was used beyond the leaving bound.
TEST_CASE("the grace period starts at the recovery from the outage") {
  Fixture it;
  it.store->SetDown(true);
  it.RunFor(seconds(4));
  it.store->SetDown(false);
  it.RunFor(milliseconds(1500));
  it.store->Write(kTopic, "e1", std::nullopt);
  it.RunFor(milliseconds(1000));
  CHECK(it.Available() == 1);
}

// Salazar, scale-2 --seed 1092586271341: a host whose read failed once, and
// which then received all records from other hosts, stayed in the outage state
// forever.
TEST_CASE("a host that receives reports from other hosts is not in an outage") {
  Fixture it;
  it.store->SetDown(true);
  it.RunFor(milliseconds(500));
  it.is_reading = false;
  const auto report = [&it](platform::Offset next,
                            const std::vector<platform::KeyedRecord>& records) {
    it.controller->view()->ApplyReport(0, {.records = records, .next = next},
                                       milliseconds(50));
    it.RunFor(milliseconds(500));
  };
  for (int i = 0; i < 10; ++i) {
    report(2, {});
  }
  report(3, {{.key = "e1", .value = std::nullopt, .offset = 2}});
  CHECK(it.Available() == 1);
}

// deploy/days/outage-then-leave.toml: the reader kept the endpoints whose
// registration expired and returned, but did not report the return to the other
// hosts.
TEST_CASE("the return of an expired registration is relayed to other hosts") {
  Fixture reader;
  Fixture other;
  other.is_reading = false;
  const auto relay = [&]() {
    const forwarding::TopicReport report =
        reader.controller->relay()->MakeReport(*reader.controller->view(),
                                               reader.scheduler.Now());
    forwarding::ApplyTopicReport(report, other.controller->view());
  };
  reader.store->SetDown(true);
  reader.RunFor(seconds(4));
  other.RunFor(seconds(4));
  reader.store->Write(kTopic, "e1", std::nullopt);
  reader.store->SetDown(false);
  reader.RunFor(milliseconds(600));
  relay();
  reader.store->Write(kTopic, "e1", kPool.value());
  reader.RunFor(milliseconds(600));
  relay();
  reader.RunFor(seconds(3));
  other.RunFor(seconds(3));
  CHECK(reader.Available() == 2);
  CHECK(other.Available() == 2);
}

// Mwangaza grown, scale-2 --seed 773553552331: in a large fleet the longer
// interval between reports lets views become older, which was mistaken for an
// outage.
TEST_CASE(
    "a host that receives reports at long intervals is not in an outage") {
  Fixture it;
  it.is_reading = false;
  const core::Duration interval = kLeavingBound * 9 / 10;
  for (int i = 0; i < 5; ++i) {
    it.RunFor(interval);
    it.controller->view()->ApplyReport(0, {.next = 2}, milliseconds(0));
  }
  it.RunFor(interval);
  it.controller->view()->ApplyReport(
      0,
      {.records = {{.key = "e1", .value = std::nullopt, .offset = 2}},
       .next = 3},
      milliseconds(0));
  CHECK(it.Available() == 1);
}

TEST_CASE(
    "registrations lost in a restore of the platform are kept for a time") {
  Fixture it;
  const support::KeyedLog backup = it.store->Backup();
  it.store->Write(kTopic, "e3", kPool.value());
  it.store->Write(kTopic, "e4", kPool.value());
  it.RunFor(seconds(1));
  REQUIRE(it.Available() == 4);
  it.store->RestoreFrom(backup);
  it.RunFor(seconds(1));
  CHECK(it.Available() == 4);
  // One of the two still runs and registers again.
  it.store->Write(kTopic, "e3", kPool.value());
  it.RunFor(seconds(2));
  CHECK(it.Available() == 3);
}

}  // namespace
}  // namespace wasabi::forwarder
