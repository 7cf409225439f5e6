// Tests the clients of the host list and of the weight store.

#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "LibCore/result_code.h"
#include "LibPlatform/host_list_json.h"
#include "LibPlatform/http_host_list_client.h"
#include "LibPlatform/weight_store_client.h"
#include "Tests/LibPlatform/platform_fixture.h"

namespace wasabi::platform {
namespace {

using core::ResultCode;

standin::PlatformOptions OptionsWithoutLag() {
  standin::PlatformOptions options;
  options.host_list_lag = core::Duration::zero();
  return options;
}

TEST_CASE("the host list is sent once per version") {
  PlatformFixture it(OptionsWithoutLag());
  HttpHostListClient client(it.client(), it.address());
  ListedHost host;
  host.id = "service-1";
  host.kind = HostKind::kService;
  host.state = HostState::kLeaving;
  host.address = *core::SocketAddress::Parse("127.0.0.1:9000");
  it.Send("PUT", "/v1/hosts/service-1", HostToJson(host));
  const auto fetch = [&](uint64_t known_version) {
    return it.Await<HostList>(
        [&](const auto& done) { client.Fetch(known_version, done); });
  };
  const auto list = fetch(0);
  REQUIRE(list.ok());
  CHECK(list->hosts == std::vector<ListedHost>{host});
  CHECK(fetch(list->version)->hosts.empty());
  it.Send("POST", "/faults", R"({"outage":true})");
  CHECK(core::CodeOf(fetch(0).status()) == ResultCode::kPlatformUnavailable);
  it.StopServer();
  CHECK(core::CodeOf(fetch(0).status()) == ResultCode::kPlatformUnavailable);
}

// Starts `count` concurrent downloads of `bytes` each and returns their result
// codes in the order of completion.
std::vector<ResultCode> DownloadConcurrently(PlatformFixture* it,
                                             int count,
                                             uint64_t bytes,
                                             uint64_t* received) {
  WeightStoreClient client(it->client(), it->address());
  std::vector<ResultCode> codes;
  for (int i = 0; i < count; ++i) {
    WeightDownloadCallbacks callbacks;
    callbacks.on_data = [received](std::string_view chunk) {
      *received += chunk.size();
    };
    callbacks.on_done = [&codes, it, count](const absl::Status& status) {
      codes.push_back(core::CodeOf(status));
      if (static_cast<int>(codes.size()) == count) {
        it->loop()->Stop();
      }
    };
    client.Download({"model", "version", bytes}, callbacks);
  }
  it->loop()->Run();
  return codes;
}

TEST_CASE("weights arrive whole and a download without a slot is refused") {
  standin::PlatformOptions options;
  options.weights.slots = 1;
  options.weights.bytes_per_second = 1e7;
  PlatformFixture it(options);
  constexpr uint64_t kBytes = 1000000;
  uint64_t received = 0;
  const auto started_at = it.loop()->Now();
  const auto codes = DownloadConcurrently(&it, 2, kBytes, &received);
  CHECK(codes == std::vector<ResultCode>{ResultCode::kPlatformUnavailable,
                                         ResultCode::kOk});
  CHECK(received == kBytes);
  // One megabyte at 10 MB/s takes at least ten ticks of 10 ms.
  CHECK(it.loop()->Now() - started_at >= core::milliseconds(90));
}

TEST_CASE("an unreachable weight store is reported as unavailable") {
  PlatformFixture it(OptionsWithoutLag());
  it.StopServer();
  uint64_t received = 0;
  CHECK(DownloadConcurrently(&it, 1, 1, &received) ==
        std::vector<ResultCode>{ResultCode::kPlatformUnavailable});
}

}  // namespace
}  // namespace wasabi::platform
