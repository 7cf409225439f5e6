// Many slow callers and slow endpoints at once must not exceed the memory of a
// host, although each of them alone is within its limits.

#include <algorithm>
#include <catch2/catch.hpp>
#include <list>
#include <memory>
#include <string>
#include <vector>

#include "LibCore/text.h"
#include "LibForwarding/relay_memory.h"
#include "LibHttp/tcp_stream.h"
#include "Tests/Support/ForwarderFixture/forwarder_fixture.h"

namespace wasabi::forwarder {
namespace {

using forwarding::RelayMemory;
using support::CallerResult;
using support::ForwarderFixture;
using support::ScriptedSuccess;

constexpr size_t kManyEndpointAnswers = 220;
constexpr size_t kPartBytes = 200U << 10U;
constexpr size_t kManyCallers = 80;
constexpr size_t kUploadBytes = 1U << 20U;

size_t RelayBytes(ForwarderFixture& it) {
  constexpr std::string_view kName = "wasabi_relay_bytes ";
  const std::string text = it.GetInternal("/metrics", it.settings);
  const size_t start = text.find(kName);
  REQUIRE(start != std::string::npos);
  return static_cast<size_t>(std::stod(text.substr(start + kName.size())));
}

TEST_CASE("answers of many slow endpoints hold bounded memory") {
  ForwarderFixture it({.load_control_enabled = true});
  it.Configure();
  for (const auto& [id, server] :
       {std::pair{"e1", &it.first}, std::pair{"e2", &it.second}}) {
    it.store->Write(
        it.names.registrations, id,
        fmt::format(R"({{"service":"p","address":"{}","zone":"z1",)"
                    R"("version":"v1","slots":500,"state":"ready","seq":{},)"
                    R"("cold_left_ms":0,"born":1}})",
                    server->address().ToString(), 100));
  }
  // Each answer is below the limit up to which answers are held, and stays
  // incomplete.
  it.script.assign(
      kManyEndpointAnswers,
      fmt::format("HTTP/1.1 200 X\r\nRequest-Id: id1\r\n"
                  "Response-Signature: s\r\nContent-Length: {}\r\n\r\n{}",
                  2 * kPartBytes, std::string(kPartBytes, 'x')));
  std::list<CallerResult> results(kManyEndpointAnswers);
  const http::Headers headers = {{"Authorization", "Bearer k1"},
                                 {"Deadline-Ms", "9000"}};
  for (CallerResult& result : results) {
    it.Send("/unsafe/1", headers, false, &result);
  }
  size_t most = 0;
  it.RunUntil([&]() {
    size_t passed_on = 0;
    for (const CallerResult& result : results) {
      passed_on += result.body.size();
    }
    return passed_on + RelayMemory::kScarceBytes / 2 >=
               kManyEndpointAnswers * kPartBytes ||
           it.received.size() == kManyEndpointAnswers;
  });
  constexpr int kSamples = 40;
  for (int i = 0; i < kSamples; ++i) {
    most = std::max(most, RelayBytes(it));
  }
  CHECK(it.received.size() == kManyEndpointAnswers);
  CHECK(most > RelayMemory::kScarceBytes / 2);
  CHECK(most <= RelayMemory::kScarceBytes +
                    kManyEndpointAnswers * RelayMemory::kScarceLimit);
}

TEST_CASE("requests are refused while many slow callers hold the memory") {
  ForwarderFixture it({.load_control_enabled = true});
  it.Configure();
  std::vector<std::shared_ptr<http::TcpStream>> callers;
  const std::string upload = fmt::format(
      "POST /unsafe/1 HTTP/1.1\r\nHost: a.test\r\nRequest-Id: id2\r\n"
      "Content-Length: {}\r\n\r\n{}",
      2 * kUploadBytes, std::string(kUploadBytes, 'x'));
  for (size_t i = 0; i < kManyCallers; ++i) {
    auto stream =
        http::TcpStream::Connect(&it.loop, it.settings.callers_address);
    REQUIRE(stream.ok());
    http::TcpStream::Callbacks callbacks;
    callbacks.on_data = [](std::string_view /*bytes*/) {};
    (*stream)->Start(std::move(callbacks));
    (*stream)->Write(upload);
    callers.push_back(*std::move(stream));
  }
  REQUIRE(it.RunUntil(
      [&it]() { return RelayBytes(it) >= RelayMemory::kExhaustedBytes; }));
  it.script = {ScriptedSuccess("ok")};
  const CallerResult refused = it.Get("/unsafe/1");
  CHECK(refused.status == 503);
  CHECK(!refused.headers.Get("Retry-After").empty());
  CHECK(it.received.empty());
  for (const auto& caller : callers) {
    caller->Close();
  }
  REQUIRE(it.RunUntil(
      [&it]() { return RelayBytes(it) < RelayMemory::kScarceBytes; }));
  CHECK(it.Get("/unsafe/1").status == 200);
}

}  // namespace
}  // namespace wasabi::forwarder
