#include "Services/Forwarder/fleet_topic_controller.h"

#include <catch2/catch.hpp>
#include <memory>
#include <string>
#include <vector>

#include "LibCore/event_loop.h"
#include "Tests/Support/FakeLog/virtual_scheduler.h"
#include "Tests/Support/TopicStore/fake_topic_client.h"
#include "platform/adapters.h"

namespace wasabi::forwarder {
namespace {

const std::string kKnownAddress = "127.0.0.1:4000";

// Records that name no address of a host.
const std::vector<std::string> kOddAddresses = {
    "",
    ":",
    "null",
    "NaN:80",
    "127.0.0.1",
    "127.0.0.1:",
    "127.0.0.1:0",
    "127.0.0.1:-1",
    "127.0.0.1:+80",
    "127.0.0.1:080",
    "127.0.0.1:65536",
    "127.0.0.1:4294967376",
    "127.0.0.1:1e300",
    "127.0.0.1:80 ",
    "127.0.0.1:80\r\n",
    "127.0.0.1:80:80",
    "0.0.0.0:80",
    "256.0.0.1:80",
    "[::1]:80",
    "localhost:80",
    R"("127.0.0.1:80")",
    R"({"address":"127.0.0.1:80"})",
    std::string("127.0.0.1\0x:80", 14),
    std::string("127.0.0.1:80\0", 13),
    "\xff\xfe",
    std::string(200'000, '['),
    std::string(200'000, '9'),
};

TEST_CASE("a host address of another writer is no address") {
  testing::VirtualScheduler scheduler;
  core::EventLoop loop;
  http::Client client(&loop);
  core::EventRing events("test", 1000);
  forwarding::AdapterSet adapters =
      adapter::MakeAdapters(&client, core::SocketAddress(), &events);
  auto topics = std::make_unique<support::FakeTopicClient>(&scheduler);
  support::FakeTopicClient* const store = topics.get();
  adapters.topics = std::move(topics);
  FleetTopicController controller(&adapters, &scheduler, &events, {}, 1);
  store->Write(adapters.names.fleet, "h1", kKnownAddress);
  int n = 0;
  for (const std::string& text : kOddAddresses) {
    store->Write(adapters.names.fleet, "odd\r\n" + std::to_string(++n), text);
  }
  store->Write(adapters.names.fleet, "h2", "127.0.0.1:65535");
  controller.view()->RefreshIfStale({}, {});
  scheduler.RunFor(core::seconds(1));
  // One that comes later arrives alone.
  store->Write(adapters.names.fleet, "odd", "127.0.0.1:0");
  store->Write(adapters.names.fleet, "h3", "127.0.0.1:1");
  controller.view()->RefreshIfStale({}, {});
  scheduler.RunFor(core::seconds(1));
  CHECK(controller.addresses() ==
        std::vector<core::SocketAddress>{
            *core::SocketAddress::Parse(kKnownAddress),
            *core::SocketAddress::Parse("127.0.0.1:65535"),
            *core::SocketAddress::Parse("127.0.0.1:1")});
  CHECK(controller.hosts() == std::vector<core::HostId>{core::HostId("h1"),
                                                        core::HostId("h2"),
                                                        core::HostId("h3")});
  for (const core::Event& event : events.Since(0)) {
    CHECK(event.detail.find_first_of("\r\n\xff") == std::string::npos);
  }
}

}  // namespace
}  // namespace wasabi::forwarder
