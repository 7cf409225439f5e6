// Regression test: a host whose view of the endpoints is older than a stream
// must not resume it at another software version. The stream began at an
// endpoint that has just joined, through a host that can't be asked.

#include <catch2/catch.hpp>
#include <chrono>
#include <optional>
#include <string>
#include <thread>

#include "LibCore/text.h"
#include "Tests/Support/ForwarderFixture/forwarder_fixture.h"

namespace wasabi::forwarder {
namespace {

using support::CallerResult;
using support::ChunkedStreamStart;
using support::ForwarderFixture;
using support::kClose;
using support::kStreamEnd;

constexpr const char* kEvent1 = "id: 1\ndata: a\n\n";
constexpr const char* kEvent2 = "id: 2\ndata: b\n\n";
// What can't be served is refused at once.
constexpr core::Duration kMaxLookup = core::milliseconds(700);
constexpr core::Duration kOutOfStep = core::milliseconds(600);

void RunFor(ForwarderFixture& it, core::Duration duration) {
  const core::TimePoint end = it.loop.Now() + duration;
  it.RunUntil([&]() { return it.loop.Now() >= end; });
}

struct StaleCase {
  const char* what;
  // Before the caller takes its stream up, in this order.
  void (*store_fails)(ForwarderFixture& it);
  bool has_new_version;
  bool is_frozen;
  int status;
};

void Works(ForwarderFixture& /*it*/) {}

void IsDown(ForwarderFixture& it) {
  it.store->SetDown(true);
  RunFor(it, kOutOfStep);
}

void IsSilent(ForwarderFixture& it) {
  it.store->SetSilent(true);
  RunFor(it, kOutOfStep);
}

TEST_CASE("a stream is not resumed on a view that is older than the stream") {
  const StaleCase cases[] = {
      {"in touch", Works, false, false, 200},
      {"cut off from the other hosts, or suspended", Works, true, false, 503},
      {"cut off from the store too", IsDown, true, false, 503},
      {"cut off from the store too, without an answer", IsSilent, true, false,
       503},
      {"frozen", Works, true, true, 503},
      {"frozen, without a new version", Works, false, true, 200},
  };
  for (const StaleCase& row : cases) {
    INFO(row.what);
    ForwarderFixture it({.is_first_start = true});
    it.Configure();
    RunFor(it, kOutOfStep);
    row.store_fails(it);
    if (row.has_new_version) {
      it.Register("e3", it.second, "ready", "p", "v2");
    }
    if (row.is_frozen) {
      std::this_thread::sleep_for(kOutOfStep);
    }
    it.script = {ChunkedStreamStart(kEvent2) + kStreamEnd};
    const core::TimePoint started_at = it.loop.Now();
    const CallerResult result = it.Get(
        "/resumable/1", false, {{"Last-Event-Id", "1"}, {"Resumes", "idx"}});
    CHECK(result.status == row.status);
    CHECK(it.received.size() == (row.status == 200 ? 1 : 0));
    CHECK(it.loop.Now() - started_at < kMaxLookup);
  }
}

// The new version comes and goes within one read of the host, so that the host
// never sees it among the endpoints.
TEST_CASE("a stream is not resumed after its version came and left unseen") {
  const bool cases[] = {true, false};
  for (const bool has_new_version : cases) {
    INFO(has_new_version);
    ForwarderFixture it({.is_first_start = true});
    it.Configure();
    RunFor(it, kOutOfStep);
    if (has_new_version) {
      it.Register("e3", it.second, "ready", "p", "v2");
      it.store->Write(it.names.registrations, "e3", std::nullopt);
    }
    RunFor(it, kOutOfStep);
    it.script = {ChunkedStreamStart(kEvent2) + kStreamEnd};
    const CallerResult result = it.Get(
        "/resumable/1", false, {{"Last-Event-Id", "1"}, {"Resumes", "idx"}});
    CHECK(result.status == (has_new_version ? 503 : 200));
    CHECK(it.received.size() == (has_new_version ? 0 : 1));
  }
}

// Returns the lines of the metrics that count calls for origins.
std::string OriginCalls(ForwarderFixture& it) {
  const std::string metrics = it.GetInternal("/metrics", it.settings);
  const size_t begin = metrics.find("\nwasabi_origin_calls ");
  REQUIRE(begin != std::string::npos);
  return metrics.substr(begin + 1, metrics.find('\n', begin + 1) - begin - 1);
}

// Guards against calls to the platform for each stream: they are priced.
TEST_CASE("streams whose origin is known are resumed without a call") {
  constexpr int kStreams = 20;
  ForwarderFixture it({.is_first_start = true});
  it.Configure();
  // The record of versions is written before.
  RunFor(it, core::milliseconds(3500));
  const std::string before = OriginCalls(it);
  for (int i = 0; i < kStreams; ++i) {
    it.request_id = fmt::format("id{}", i);
    it.script = {ChunkedStreamStart(kEvent1, it.request_id) + kClose, "", ""};
    REQUIRE_FALSE(it.Get("/resumable/1").body.empty());
    const std::string first_attempt = it.request_id;
    it.request_id = fmt::format("resumed{}", i);
    it.script = {ChunkedStreamStart(kEvent2, it.request_id) + kStreamEnd};
    CHECK(it.Get("/resumable/1", false,
                 {{"Last-Event-Id", "1"}, {"Resumes", first_attempt}})
              .status == 200);
  }
  CHECK(OriginCalls(it) == before);
}

}  // namespace
}  // namespace wasabi::forwarder
