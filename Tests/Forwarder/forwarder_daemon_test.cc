// Runs the whole daemon on loopback addresses between a caller and endpoints
// that respond from a script.

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
using support::RawServer;
using support::ScriptedAnswer;
using support::ScriptedSuccess;

struct ScriptCase {
  const char* what;
  const char* target;
  std::vector<std::string> script;
  int status;
  std::string body;
  bool is_whole;
  // Number of requests that reached an endpoint.
  size_t sends;
};

TEST_CASE("a request gets the unchanged answer of its endpoint or an error") {
  const std::string error =
      ScriptedAnswer(500, "Response-Signature: s\r\n", "bad");
  const std::string shed = ScriptedAnswer(503, "Not-Executed: 1\r\n", "");
  const std::string cut = fmt::format(
      "HTTP/1.1 200 X\r\nRequest-Id: id1\r\nResponse-Signature: s\r\n"
      "Content-Length: 9\r\n\r\npart{}",
      kClose);
  const std::string closed(1, kClose);
  const std::string event1 = "id: 1\ndata: a\n\n";
  const std::string event2 = "id: 2\ndata: b\n\n";
  const std::string half = "id: 2\nda";
  const std::string whole_stream =
      ChunkedStreamStart(event1 + event2) + kStreamEnd;
  const std::string cut_stream = ChunkedStreamStart(event1 + half) + kClose;
  const std::string rest_of_stream = ChunkedStreamStart(event2) + kStreamEnd;
  const ScriptCase cases[] = {
      {"success", "/unsafe/1", {ScriptedSuccess("ok")}, 200, "ok", true, 1},
      {"a failure of a request that must not be retried",
       "/unsafe/1",
       {error},
       500,
       "bad",
       true,
       1},
      {"a failure, retried",
       "/safe/1",
       {error, ScriptedSuccess("ok")},
       200,
       "ok",
       true,
       2},
      {"a failure of every attempt",
       "/safe/1",
       {error, error},
       500,
       "bad",
       true,
       2},
      {"not executed, retried on the other endpoint",
       "/unsafe/1",
       {shed, ScriptedSuccess("ok")},
       200,
       "ok",
       true,
       2},
      {"not executed on either endpoint",
       "/unsafe/1",
       {shed, shed},
       503,
       "",
       true,
       2},
      {"503 without Not-Executed",
       "/unsafe/1",
       {ScriptedAnswer(503, "", "")},
       502,
       "",
       true,
       1},
      {"503 without Not-Executed, retried",
       "/safe/1",
       {ScriptedAnswer(503, "", ""), ScriptedSuccess("ok")},
       200,
       "ok",
       true,
       2},
      {"truncated response, may have been executed",
       "/unsafe/1",
       {cut},
       502,
       "",
       true,
       1},
      {"truncated response, retried",
       "/safe/1",
       {cut, ScriptedSuccess("ok")},
       200,
       "ok",
       true,
       2},
      {"connection closed without a response, may have been executed",
       "/unsafe/1",
       {closed},
       502,
       "",
       true,
       1},
      {"connection closed without a response, retried",
       "/safe/1",
       {closed, ScriptedSuccess("ok")},
       200,
       "ok",
       true,
       2},
      {"no Response-Signature",
       "/unsafe/1",
       {ScriptedAnswer(200, "", "forged")},
       502,
       "",
       true,
       1},
      {"a response to another request before the right one",
       "/unsafe/1",
       {"HTTP/1.1 200 X\r\nRequest-Id: other\r\nResponse-Signature: s\r\n"
        "Content-Length: 5\r\n\r\nwrong" +
        ScriptedSuccess("ok")},
       200,
       "ok",
       true,
       1},
      {"extra bytes after the response",
       "/unsafe/1",
       {ScriptedSuccess("ok") + "HTTP/1.1 200 X\r\n"},
       200,
       "ok",
       true,
       1},
      {"not an HTTP response",
       "/unsafe/1",
       {"nonsense\r\n\r\n"},
       502,
       "",
       true,
       1},
      {"a complete stream",
       "/once/1",
       {whole_stream},
       200,
       event1 + event2,
       true,
       1},
      {"a truncated stream that must not be retried",
       "/once/1",
       {cut_stream},
       200,
       event1,
       false,
       1},
      {"a truncated stream resumed on the other endpoint after the last whole "
       "event",
       "/resumable/1",
       {cut_stream, rest_of_stream},
       200,
       event1 + event2,
       true,
       2},
      {"a truncated stream that no endpoint resumes",
       "/resumable/1",
       {cut_stream, closed},
       200,
       event1,
       false,
       2},
      {"a connection closed before the first event of a stream",
       "/resumable/1",
       {closed, whole_stream},
       200,
       event1 + event2,
       true,
       2},
      {"a stream delimited by the end of the connection",
       "/once/1",
       {fmt::format("HTTP/1.1 200 X\r\nRequest-Id: id1\r\n"
                    "Response-Signature: s\r\n\r\n{}{}",
                    event1, kClose)},
       200,
       event1,
       true,
       1},
      {"route timeout exceeded", "/short/1", {""}, 504, "", true, 1},
      {"no matching route", "/none/1", {}, 404, "", true, 0},
      {"no endpoint in the pool", "/empty/1", {}, 503, "", true, 0},
  };
  for (const ScriptCase& row : cases) {
    INFO(row.what);
    ForwarderFixture it;
    it.Configure();
    it.script.assign(row.script.begin(), row.script.end());
    const CallerResult result = it.Get(row.target);
    REQUIRE(result.end.has_value());
    CHECK(result.status == row.status);
    CHECK((result.end == http::OriginOutcome::kComplete) == row.is_whole);
    CHECK(it.received.size() == row.sends);
    if (result.headers.Find("X-Result-Code")) {
      // An error that the daemon itself returns has no endpoint's signature.
      CHECK_FALSE(result.headers.Find("Response-Signature").has_value());
    } else {
      CHECK(result.body == row.body);
      CHECK(result.headers.Get("Response-Signature") == "s");
    }
    const bool promises_not_run = result.status == 503;
    CHECK(result.headers.Find("Retry-After").has_value() == promises_not_run);
  }
}

TEST_CASE("a request that every endpoint refused is refused at once") {
  ForwarderFixture it;
  it.Configure();
  const std::string shed = ScriptedAnswer(503, "Not-Executed: 1\r\n", "");
  it.script = {shed, shed};
  const core::TimePoint sent_at = it.loop.Now();
  const CallerResult result = it.Get("/unsafe/1");
  const core::Duration elapsed = it.loop.Now() - sent_at;
  CHECK(result.status == 503);
  CHECK(!result.headers.Get("Retry-After").empty());
  CHECK(it.received.size() == 2);
  // A part of the request's time that a caller notices.
  CHECK(elapsed < core::milliseconds(100));
}

TEST_CASE("a stream is resumed after the last event that the caller received") {
  ForwarderFixture it;
  it.Configure();
  it.script = {ChunkedStreamStart("id: 7\ndata: a\n\n") + kClose,
               ChunkedStreamStart("id: 8\ndata: b\n\n") + kStreamEnd};
  it.Get("/resumable/1");
  REQUIRE(it.received.size() == 2);
  CHECK(it.received[0].find("Last-Event-Id") == std::string::npos);
  CHECK(it.received[1].find("Last-Event-Id: 7\r\n") != std::string::npos);
}

TEST_CASE("a daemon without a configuration returns 503 instead of 404") {
  ForwarderFixture it;
  const CallerResult result = it.Get("/unsafe/1");
  CHECK(result.status == 503);
  CHECK(result.headers.Find("Retry-After").has_value());
  CHECK(it.Get("/ready", true).status == 503);
}

TEST_CASE(
    "the request to the endpoint is cancelled when the caller disconnects") {
  ForwarderFixture it;
  it.Configure();
  it.script = {""};
  CallerResult result;
  const auto call =
      it.Send("/unsafe/1", {{"Authorization", "Bearer k1"}}, false, &result);
  REQUIRE(it.RunUntil([&]() { return it.received.size() == 1; }));
  REQUIRE(it.first.open() + it.second.open() == 1);
  call->Cancel();
  CHECK(it.RunUntil([&]() { return it.first.open() + it.second.open() == 0; }));
}

TEST_CASE("a draining endpoint receives no new requests") {
  ForwarderFixture it;
  it.Configure();
  it.Register("e1", it.first, "draining");
  const auto serves = [&it](const RawServer& server) {
    it.script = {ScriptedSuccess("ok")};
    const int before = server.requests();
    it.Get("/unsafe/1");
    return server.requests() > before;
  };
  REQUIRE(it.RunUntil([&]() { return serves(it.second); }));
  // After half of the leaving bound, all requests go to the other endpoint.
  core::TimePoint settled = it.loop.Now() + it.settings.leaving_bound / 2;
  it.RunUntil([&]() { return it.loop.Now() >= settled; });
  for (int i = 0; i < 20; ++i) {
    CHECK_FALSE(serves(it.first));
  }
}

TEST_CASE("an endpoint that says that it is leaving receives nothing more") {
  ForwarderFixture it;
  it.Configure();
  const std::string leaving = ScriptedAnswer(
      200, "Response-Signature: s\r\nServer-Leaving: 1\r\n", "ok");
  it.script = {leaving};
  CHECK(it.Get("/unsafe/1").status == 200);
  const RawServer& gone = it.first.requests() == 1 ? it.first : it.second;
  for (int i = 0; i < 20; ++i) {
    it.script = {ScriptedSuccess("ok")};
    CHECK(it.Get("/unsafe/1").status == 200);
  }
  CHECK(gone.requests() == 1);
}

struct PauseCase {
  const char* what;
  // Pauses that the two endpoints ask for, in seconds.
  const char* first;
  const char* second;
  int status;
  // Smallest and greatest Retry-After in seconds; unused with status 200.
  double min_retry_after;
  double max_retry_after;
};

TEST_CASE("an endpoint that asks for a pause receives nothing until its end") {
  const PauseCase cases[] = {
      {"one of two", "1", nullptr, 200, 0, 0},
      {"both: the shorter pause counts", "5", "1", 503, 0.8, 1},
  };
  for (const PauseCase& row : cases) {
    INFO(row.what);
    ForwarderFixture it;
    it.Configure();
    const auto shed = [](const char* seconds) {
      return ScriptedAnswer(
          503, fmt::format("Not-Executed: 1\r\nRetry-After: {}\r\n", seconds),
          "");
    };
    it.script = {shed(row.first), row.second == nullptr ? ScriptedSuccess("ok")
                                                        : shed(row.second)};
    CHECK(it.Get("/unsafe/1").status == row.status);
    REQUIRE(it.received.size() == 2);
    const int sends_to_first = it.first.requests();
    const int sends_to_second = it.second.requests();
    const core::TimePoint asked_at = it.loop.Now();
    for (int i = 0; i < 10; ++i) {
      it.script = {ScriptedSuccess("ok")};
      const CallerResult result = it.Get("/unsafe/1");
      CHECK(result.status == row.status);
      if (row.status != 200) {
        const double retry_after = std::stod(result.headers.Get("Retry-After"));
        CHECK(retry_after >= row.min_retry_after);
        CHECK(retry_after <= row.max_retry_after);
      }
    }
    const bool is_first_untouched = it.first.requests() == sends_to_first;
    const bool is_second_untouched = it.second.requests() == sends_to_second;
    CHECK((is_first_untouched || is_second_untouched));
    CHECK((is_first_untouched && is_second_untouched) == (row.status != 200));
    CHECK(it.loop.Now() - asked_at < core::milliseconds(200));
    // After the shorter pause, requests are served again.
    it.script.clear();
    const core::TimePoint ends_at = asked_at + core::milliseconds(1050);
    it.RunUntil([&]() { return it.loop.Now() >= ends_at; });
    it.script = {ScriptedSuccess("ok")};
    CHECK(it.Get("/unsafe/1").status == 200);
  }
}

// Sends a request with a fixed prompt. Returns the address from which the
// endpoint is asked to copy the cached prompt, or "".
std::string PromptSourceSent(ForwarderFixture& it) {
  it.script = {ScriptedSuccess("ok")};
  it.received.clear();
  it.Get("/chats/1", false,
         {{"Prompt-Prefix", "aa:100,b1:10"}, {"Kv-Fetch", "9.9.9.9:9"}});
  REQUIRE(it.received.size() == 1);
  CHECK(it.received[0].find("9.9.9.9") == std::string::npos);
  constexpr std::string_view kField = "Kv-Fetch: ";
  const size_t field = it.received[0].find(kField);
  if (field == std::string::npos) {
    return "";
  }
  const size_t start = field + kField.size();
  return it.received[0].substr(start, it.received[0].find('\r', start) - start);
}

TEST_CASE(
    "an endpoint without a cached prompt gets an address to copy it from") {
  ForwarderFixture it;
  it.Register("m1", it.first, "ready", "m");
  it.Register("m2", it.second, "ready", "m");
  it.Configure();
  // The daemon does not know yet which endpoint has the prompt, so it names the
  // other one as a guess.
  const std::string guess = PromptSourceSent(it);
  const bool is_first = it.first.requests() == 1;
  const RawServer& holder = is_first ? it.first : it.second;
  const RawServer& other = is_first ? it.second : it.first;
  CHECK(guess == other.address().ToString());
  // The endpoint that served the first request has the prompt cached.
  CHECK(PromptSourceSent(it).empty());
  // The other endpoint copies the prompt from the draining one while that is
  // still registered.
  it.Register(is_first ? "m1" : "m2", holder, "draining", "m");
  REQUIRE(it.RunUntil([&]() {
    PromptSourceSent(it);
    return other.requests() > 0;
  }));
  it.Register(is_first ? "m1" : "m2", holder, "ready", "m");
  CHECK(PromptSourceSent(it).empty());
}

TEST_CASE("a prompt is copied from a draining endpoint") {
  ForwarderFixture it;
  it.Register("m1", it.first, "ready", "m");
  it.Configure();
  PromptSourceSent(it);
  it.Register("m1", it.first, "draining", "m");
  it.Register("m2", it.second, "ready", "m");
  std::string source;
  REQUIRE(it.RunUntil([&]() {
    source = PromptSourceSent(it);
    return it.second.requests() > 0;
  }));
  CHECK(source == it.first.address().ToString());
}

TEST_CASE("a daemon that shuts down completes the requests in flight") {
  ForwarderFixture it;
  it.Configure();
  it.script = {ChunkedStreamStart("id: 1\n\n")};
  CallerResult result;
  it.Send("/once/1", {{"Authorization", "Bearer k1"}}, false, &result);
  REQUIRE(it.RunUntil([&]() { return result.body == "id: 1\n\n"; }));
  it.daemon->BeginShutdown(it.loop.Now());
  CHECK(it.Get("/ready", true).status == 503);
  // The endpoint completes its stream while the daemon shuts down.
  it.first.WriteToAll(kStreamEnd);
  it.second.WriteToAll(kStreamEnd);
  CHECK(it.RunUntil([&]() { return result.end.has_value(); }));
  CHECK(result.end == http::OriginOutcome::kComplete);
}

TEST_CASE("a rejected request is recorded with its id if that was read") {
  struct Row {
    const char* what;
    const char* text;
    const char* recorded;
  };
  const Row rows[] = {
      {"a malformed body",
       "POST /unsafe/1 HTTP/1.1\r\nHost: a.test\r\nRequest-Id: id7\r\n"
       "Transfer-Encoding: chunked\r\n\r\nx\r\n",
       R"("request_id":"id7")"},
      {"a malformed head", "nonsense\r\nRequest-Id: id7\r\n\r\n",
       R"("request_id":"")"},
  };
  for (const Row& row : rows) {
    INFO(row.what);
    ForwarderFixture it;
    it.Configure();
    const auto stream =
        *http::TcpStream::Connect(&it.loop, it.settings.callers_address);
    std::string received;
    http::TcpStream::Callbacks callbacks;
    callbacks.on_data = [&](std::string_view bytes) { received.append(bytes); };
    stream->Start(std::move(callbacks));
    stream->Write(row.text);
    REQUIRE(
        it.RunUntil([&]() { return received.starts_with("HTTP/1.1 400"); }));
    const std::string events = it.GetInternal("/v1/events", it.settings);
    const size_t at = events.find("bad_input");
    REQUIRE(at != std::string::npos);
    const std::string event = events.substr(
        events.rfind('{', at), events.find('}', at) - events.rfind('{', at));
    INFO(event);
    CHECK(event.find(row.recorded) != std::string::npos);
  }
}

TEST_CASE("a reload of unreadable settings keeps the current settings") {
  ForwarderFixture it;
  it.Configure();
  it.daemon->Reload();
  it.script = {ScriptedSuccess("ok")};
  CHECK(it.Get("/unsafe/1").status == 200);
}

}  // namespace
}  // namespace wasabi::forwarder
