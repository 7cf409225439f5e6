// Regression test: a stream must go on only at the software version that began
// it, within one answer and over the attempts of its caller.

#include <catch2/catch.hpp>
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

std::string WholeStream(const std::string& events, const std::string& id) {
  return ChunkedStreamStart(events, id) + kStreamEnd;
}

// Waits until the daemon has read the registrations. A change of a version
// alone is not visible to a caller.
void AwaitRegistrations(ForwarderFixture& it) {
  const core::TimePoint settled = it.loop.Now() + it.settings.leaving_bound;
  it.RunUntil([&]() { return it.loop.Now() >= settled; });
}

struct AnswerCase {
  const char* what;
  const char* second_version;
  std::vector<std::string> script;
  bool is_whole;
  // Number of requests that reached an endpoint.
  size_t sends;
};

TEST_CASE("an answer is not continued at another software version") {
  const std::string cut = ChunkedStreamStart(kEvent1) + kClose;
  const std::string rest = WholeStream(kEvent2, "id1");
  const std::string whole = WholeStream(std::string(kEvent1) + kEvent2, "id1");
  const AnswerCase cases[] = {
      {"the same version", "v1", {cut, rest}, true, 2},
      {"another version", "v2", {cut, rest}, false, 1},
      {"another version, before the first event",
       "v2",
       {std::string(1, kClose), whole},
       true,
       2},
  };
  for (const AnswerCase& row : cases) {
    INFO(row.what);
    ForwarderFixture it;
    it.Register("e2", it.second, "ready", "p", row.second_version);
    it.Configure();
    AwaitRegistrations(it);
    it.script.assign(row.script.begin(), row.script.end());
    const CallerResult result = it.Get("/resumable/1");
    REQUIRE(result.end.has_value());
    CHECK((result.end == http::OriginOutcome::kComplete) == row.is_whole);
    CHECK(it.received.size() == row.sends);
  }
}

TEST_CASE("a caller's stream goes on at the software version that began it") {
  // Both endpoints are free, so that chance alone would choose either.
  for (int i = 0; i < 12; ++i) {
    ForwarderFixture it;
    it.Register("e2", it.second, "ready", "p", "v2");
    it.Configure();
    AwaitRegistrations(it);
    it.script = {ChunkedStreamStart(kEvent1) + kClose, "", ""};
    it.Get("/resumable/1");
    REQUIRE_FALSE(it.received.empty());
    const bool is_first = it.first.requests() > 0;
    const support::RawServer& beginner = is_first ? it.first : it.second;
    const int before = beginner.requests();
    it.received.clear();
    it.request_id = "id2";
    it.script = {WholeStream(kEvent2, "id2")};
    const CallerResult result = it.Get(
        "/resumable/1", false, {{"Last-Event-Id", "1"}, {"Resumes", "id1"}});
    REQUIRE(it.received.size() == 1);
    CHECK(beginner.requests() == before + 1);
    CHECK(result.body == kEvent2);
    // Endpoints get the field as the caller sent it.
    CHECK(it.received[0].find("Resumes: id1\r\n") != std::string::npos);
  }
}

struct UnknownCase {
  const char* what;
  const char* second_version;
  // The fields with which the caller takes its stream up.
  std::vector<http::Headers::Field> fields;
  int status;
};

TEST_CASE("a stream of unknown origin goes on only where it can be joined") {
  const UnknownCase cases[] = {
      {"one version", "v1", {{"Last-Event-Id", "1"}, {"Resumes", "idx"}}, 200},
      {"one version, stream not named", "v1", {{"Last-Event-Id", "1"}}, 200},
      {"two versions", "v2", {{"Last-Event-Id", "1"}, {"Resumes", "idx"}}, 503},
      {"two versions, stream not named", "v2", {{"Last-Event-Id", "1"}}, 503},
  };
  for (const UnknownCase& row : cases) {
    INFO(row.what);
    // Only where no stream is older than the fleet, or the history is known,
    // can the origin follow from the endpoints.
    ForwarderFixture it({.is_first_start = true});
    it.Register("e2", it.second, "ready", "p", row.second_version);
    it.Configure();
    AwaitRegistrations(it);
    it.script = {WholeStream(kEvent2, "id1")};
    const core::TimePoint started_at = it.loop.Now();
    const CallerResult result = it.Get("/resumable/1", false, row.fields);
    CHECK(result.status == row.status);
    CHECK(it.received.size() == (row.status == 200 ? 1 : 0));
    // What cannot be served is refused at once.
    CHECK(it.loop.Now() - started_at < core::milliseconds(400));
  }
}

}  // namespace
}  // namespace wasabi::forwarder
