// Regression test: after all hosts were killed, callers resume their streams at
// hosts that remember nothing. Guards against two failures: streams that were
// joined from two versions, because the endpoints of the first one had left by
// then, and streams that were refused although endpoints of their version
// existed.

#include <catch2/catch.hpp>
#include <map>
#include <string>
#include <vector>

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
// Resumed streams continue at least this often as new streams begin.
constexpr double kMinResumedShare = 0.9;
// The whole lookup of an origin.
constexpr core::Duration kMaxLookup = core::milliseconds(500);

std::string WholeStream(const std::string& events, const std::string& id) {
  return ChunkedStreamStart(events, id) + kStreamEnd;
}

void RunFor(ForwarderFixture& it, core::Duration duration) {
  const core::TimePoint end = it.loop.Now() + duration;
  it.RunUntil([&]() { return it.loop.Now() >= end; });
}

// Begins the stream `id` and cuts it after its first event. Returns whether it
// began.
bool BeginStream(ForwarderFixture& it, const std::string& id) {
  it.request_id = id;
  // Only one endpoint has the version, so that the host can't continue it.
  it.script = {ChunkedStreamStart(kEvent1, id) + kClose, "", ""};
  return it.Get("/resumable/1").body == kEvent1;
}

CallerResult ResumeStream(ForwarderFixture& it,
                          const std::string& id,
                          const std::string& first_attempt) {
  it.request_id = id;
  it.received.clear();
  it.script = {WholeStream(kEvent2, id)};
  const core::TimePoint started_at = it.loop.Now();
  CallerResult result =
      it.Get("/resumable/1", false,
             {{"Last-Event-Id", "1"}, {"Resumes", first_attempt}});
  CHECK(it.loop.Now() - started_at < kMaxLookup);
  return result;
}

// Longer than the settling time of a fleet that starts for the first time and
// the delay of the record of versions.
constexpr core::Duration kRecorded = core::milliseconds(3500);

void AwaitReady(ForwarderFixture& it) {
  REQUIRE(it.RunUntil([&]() { return it.Get("/ready", true).status == 200; }));
}

struct ReplacedCase {
  const char* what;
  bool is_first_start;
  // The versions of both endpoints before the kill, and after it.
  const char* before;
  const char* after;
  int resumed_status;
};

TEST_CASE("a stream is not joined after its version left during a restart") {
  const ReplacedCase cases[] = {
      {"the version stays", true, "v1", "v1", 200},
      {"another version", true, "v1", "v2", 503},
      // An older build wrote no records, so that it is unknown whether the
      // version was the same.
      {"no records", false, "v1", "v1", 503},
      {"no records and another version", false, "v1", "v2", 503},
  };
  for (const ReplacedCase& row : cases) {
    INFO(row.what);
    ForwarderFixture it({.is_first_start = row.is_first_start});
    it.Register("e1", it.first, "ready", "p", row.before);
    it.Register("e2", it.second, "leaving", "p", row.before);
    it.Configure();
    RunFor(it, kRecorded);
    REQUIRE(BeginStream(it, "id1"));
    it.KillHosts();
    it.RestartHosts();
    it.Register("e1", it.first, "ready", "p", row.after);
    it.Register("e2", it.second, "leaving", "p", row.after);
    AwaitReady(it);
    const CallerResult result = ResumeStream(it, "id2", "id1");
    CHECK(result.status == row.resumed_status);
    CHECK(it.received.size() == (row.resumed_status == 200 ? 1 : 0));
  }
}

// Guards against calls to the platform that a day without a release does not
// need: they are priced.
TEST_CASE("a day with one version costs at most two calls") {
  ForwarderFixture it({.is_first_start = true});
  it.Configure();
  RunFor(it, kRecorded);
  for (int i = 0; i < 20; ++i) {
    const std::string id = fmt::format("id{}", i);
    it.request_id = id;
    it.script = {WholeStream(kEvent1, id)};
    CHECK(it.Get("/resumable/1").body == kEvent1);
  }
  RunFor(it, core::seconds(1));
  const std::string metrics = it.GetInternal("/metrics", it.settings);
  INFO(metrics);
  CHECK((metrics.find("wasabi_origin_calls 1\n") != std::string::npos ||
         metrics.find("wasabi_origin_calls 2\n") != std::string::npos));
}

TEST_CASE("streams go on at their version after all hosts were killed") {
  constexpr int kStreams = 40;
  ForwarderFixture it({.is_first_start = true});
  it.Register("e2", it.second, "ready", "p", "v2");
  it.Configure();
  RunFor(it, kRecorded);
  std::map<int, const support::RawServer*> beginners;
  for (int i = 0; i < kStreams; ++i) {
    const int before = it.first.requests();
    if (BeginStream(it, fmt::format("id{}", i))) {
      beginners[i] = it.first.requests() > before ? &it.first : &it.second;
    }
  }
  REQUIRE_FALSE(beginners.empty());
  // The last streams may be lost: records are appended every 0.1 s.
  RunFor(it, core::milliseconds(200));
  it.KillHosts();
  it.RestartHosts();
  AwaitReady(it);
  size_t resumed = 0;
  for (const auto& [i, beginner] : beginners) {
    const int before = beginner->requests();
    const CallerResult result =
        ResumeStream(it, fmt::format("resumed{}", i), fmt::format("id{}", i));
    if (result.status != 200) {
      continue;
    }
    ++resumed;
    // No stream is joined from two versions.
    CHECK(beginner->requests() == before + 1);
  }
  const double begun_share = static_cast<double>(beginners.size()) / kStreams;
  const double resumed_share =
      static_cast<double>(resumed) / static_cast<double>(beginners.size());
  CHECK(resumed_share >= kMinResumedShare * begun_share);
  WARN("resumed " << resumed << " of " << beginners.size());
}

}  // namespace
}  // namespace wasabi::forwarder
