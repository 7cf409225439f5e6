// Many slow callers and slow endpoints at once must not exceed the memory of a
// host, although each of them alone is within its limits.

#include <algorithm>
#include <catch2/catch.hpp>
#include <list>
#include <memory>
#include <string>
#include <vector>

#include "LibCore/text.h"
#include "LibHttp/buffer_memory.h"
#include "Tests/Support/ForwarderFixture/forwarder_fixture.h"
#include "Tests/Support/ForwarderFixture/raw_caller.h"

namespace wasabi::forwarder {
namespace {

using http::BufferMemory;
using support::CallerResult;
using support::ForwarderFixture;
using support::RawCaller;
using support::ScriptedSuccess;

const BufferMemory kMemory;
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
    return passed_on + kMemory.scarce_bytes() / 2 >=
               kManyEndpointAnswers * kPartBytes ||
           it.received.size() == kManyEndpointAnswers;
  });
  constexpr int kSamples = 40;
  for (int i = 0; i < kSamples; ++i) {
    most = std::max(most, RelayBytes(it));
  }
  CHECK(it.received.size() == kManyEndpointAnswers);
  CHECK(most > kMemory.scarce_bytes() / 2);
  CHECK(most <= kMemory.scarce_bytes() +
                    kManyEndpointAnswers * BufferMemory::kScarceLimit);
}

// Callers that each send a request whose body has `kUploadBytes`, of which
// `sent_bytes` are sent.
class Uploads {
 public:
  Uploads(ForwarderFixture* it, size_t sent_bytes) {
    const std::string upload = fmt::format(
        "POST /unsafe/1 HTTP/1.1\r\nHost: a.test\r\nRequest-Id: id2\r\n"
        "Authorization: Bearer k1\r\nDeadline-Ms: 9000\r\n"
        "Content-Length: {}\r\n\r\n{}",
        kUploadBytes, std::string(sent_bytes, 'x'));
    for (size_t i = 0; i < kManyCallers; ++i) {
      callers_.push_back(std::make_unique<RawCaller>(it));
      callers_.back()->Write(upload);
    }
  }

  size_t refused() const {
    return static_cast<size_t>(
        std::count_if(callers_.begin(), callers_.end(), [](const auto& caller) {
          return caller->HasReceived("HTTP/1.1 503 ");
        }));
  }

 private:
  std::vector<std::unique_ptr<RawCaller>> callers_;
};

// Sends a request of its own between two moments at which the memory was
// exhausted. Uploads that are refused give back their part, so that it may be
// available again as the request arrives; then adds uploads and sends another
// request. Returns whether one was sent while the memory was exhausted.
bool AskWhileExhausted(ForwarderFixture& it,
                       std::list<Uploads>* uploads,
                       CallerResult* result) {
  constexpr int kMaxTries = 20;
  const auto is_exhausted = [&it]() {
    return RelayBytes(it) >= kMemory.exhausted_bytes();
  };
  for (int i = 0; i < kMaxTries; ++i) {
    uploads->emplace_back(&it, kUploadBytes);
    if (!it.RunUntil(is_exhausted)) {
      return false;
    }
    it.received.clear();
    *result = it.Get("/unsafe/1");
    if (is_exhausted()) {
      return true;
    }
  }
  return false;
}

TEST_CASE("requests are refused while others hold the memory") {
  const bool is_enabled = GENERATE(true, false);
  ForwarderFixture it({.load_control_enabled = is_enabled});
  it.Configure();
  {
    // The endpoints do not answer.
    std::list<Uploads> uploads;
    it.request_id = "id3";
    CallerResult refused;
    const bool has_asked = AskWhileExhausted(it, &uploads, &refused);
    REQUIRE(has_asked);
    CHECK(refused.status == 503);
    CHECK(!refused.headers.Get("Retry-After").empty());
    for (const std::string& text : it.received) {
      CHECK(text.find("id3") == std::string::npos);
    }
  }
  it.request_id = "id1";
  REQUIRE(
      it.RunUntil([&it]() { return RelayBytes(it) < kMemory.scarce_bytes(); }));
  it.script = {ScriptedSuccess("ok")};
  CHECK(it.Get("/unsafe/1").status == 200);
}

TEST_CASE("requests that come without end hold bounded memory") {
  ForwarderFixture it;
  it.Configure();
  const Uploads uploads(&it, kUploadBytes - 1);
  size_t most = 0;
  REQUIRE(it.RunUntil([&]() {
    most = std::max(most, RelayBytes(it));
    return uploads.refused() * kUploadBytes + kMemory.exhausted_bytes() >=
           kManyCallers * kUploadBytes;
  }));
  CHECK(most <= kMemory.exhausted_bytes() + kUploadBytes);
  CHECK(it.received.empty());
}

}  // namespace
}  // namespace wasabi::forwarder
