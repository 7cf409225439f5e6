#include <catch2/catch.hpp>

#include "LibCore/result_code.h"
#include "LibPlatform/host_list_json.h"
#include "Tests/Support/Platform/append_limit.h"
#include "Tests/Support/Platform/faults.h"
#include "Tests/Support/Platform/host_list_store.h"

namespace wasabi::standin {
namespace {

platform::ListedHost MakeHost() {
  platform::ListedHost host;
  host.id = "runner-1";
  host.pool = core::PoolId("pool");
  host.address = *core::SocketAddress::Parse("127.0.0.1:9000");
  return host;
}

TEST_CASE("changes of the host list become visible after the lag") {
  HostListStore store(core::seconds(2));
  const core::TimePoint start;
  store.Put(MakeHost(), start);
  CHECK(store.Read(0, start + core::seconds(1)).hosts.empty());
  const platform::HostList list = store.Read(0, start + core::seconds(2));
  CHECK(list.hosts == std::vector<platform::ListedHost>{MakeHost()});
  CHECK(store.Read(list.version, start + core::seconds(3)).hosts.empty());
  store.Remove("runner-1", start + core::seconds(3));
  CHECK(store.Read(0, start + core::seconds(4)).hosts.size() == 1);
  CHECK(store.Read(0, start + core::seconds(5)).hosts.empty());
}

TEST_CASE("a host survives a JSON round trip and invalid rows are skipped") {
  const platform::ListedHost host = MakeHost();
  CHECK(*platform::HostFromJson(platform::HostToJson(host)) == host);
  const auto list =
      platform::HostListFromJson(R"({"version":3,"hosts":[{"id":"x"},)" +
                                 platform::HostToJson(host) + "]}");
  REQUIRE(list.ok());
  CHECK(list->hosts.size() == 1);
}

TEST_CASE("appends are admitted at the configured rate") {
  AppendLimit limit(10);
  const core::TimePoint start;
  int admitted = 0;
  constexpr int kMilliseconds = 10000;
  for (int ms = 0; ms < kMilliseconds; ++ms) {
    admitted += limit.Admit(start + core::milliseconds(ms)) ? 1 : 0;
  }
  CHECK(admitted >= 100);
  CHECK(admitted <= 110);
}

TEST_CASE(
    "a request changes only the faults that it names, and none if invalid") {
  Faults faults(1);
  CHECK(faults.Apply(R"({"outage":true})").ok());
  CHECK(faults.Apply(R"({"answer_delay_ms":5})").ok());
  CHECK(faults.is_outage());
  CHECK(!faults.Apply(R"({"outage":false,"unknown":1})").ok());
  CHECK(!faults.Apply(R"({"outage":"no"})").ok());
  CHECK(!faults.Apply("[").ok());
  CHECK(faults.is_outage());
}

}  // namespace
}  // namespace wasabi::standin
