// Regression test: a request that a stopping host takes must be answered or
// refused before the process ends, however late and in whatever pieces it came.

#include <algorithm>
#include <catch2/catch.hpp>
#include <csignal>
#include <memory>
#include <string>
#include <thread>
#include <vector>

#include "LibCore/signal_clock.h"
#include "LibCore/text.h"
#include "Tests/Support/ForwarderFixture/forwarder_fixture.h"
#include "Tests/Support/ForwarderFixture/raw_caller.h"

namespace wasabi::forwarder {
namespace {

using support::ChunkedStreamStart;
using support::ForwarderFixture;
using support::RawCaller;
using support::ScriptedSuccess;

// With the grace period of the fixture, a stopping host listens until
// kListening after the signal and has ended after kGrace.
constexpr core::Duration kListening = core::milliseconds(700);
constexpr core::Duration kGrace = core::milliseconds(2000);

// A fixture whose daemon ends as its process would: when the daemon stops the
// loop, all its connections are closed.
class StoppingHost {
 public:
  explicit StoppingHost(const support::FixtureOptions& options = {},
                        bool is_configured = true)
      : fixture(options) {
    if (is_configured) {
      fixture.Configure();
    }
    began_at_ = fixture.loop.Now();
  }

  // Runs the loop until `time` after the signal, or after the construction.
  void RunTo(core::Duration time) {
    bool is_due = false;
    const auto timer = fixture.loop.NewTimer([&]() {
      is_due = true;
      fixture.loop.Stop();
    });
    const core::Duration left = began_at_ + time - fixture.loop.Now();
    timer->StartOnce(std::max(left, core::Duration::zero()));
    while (!is_due) {
      fixture.loop.Run();
      if (!is_due) {
        fixture.daemon.reset();
      }
    }
  }

  void Signal() {
    began_at_ = fixture.loop.Now();
    fixture.daemon->BeginShutdown(began_at_);
  }

  // Does what Signal does with a signal that the loop handles only after it has
  // stood still for `standstill`.
  void SignalWhileStandingStill(core::Duration standstill) {
    const core::SignalClock clock(&fixture.loop);
    fixture.loop.OnSignal(SIGUSR1, [this, clock]() {
      fixture.daemon->BeginShutdown(clock.received_after());
    });
    fixture.loop.Post([this, standstill]() {
      began_at_ = fixture.loop.Now();
      raise(SIGUSR1);
      std::this_thread::sleep_for(standstill);
    });
    RunTo(standstill);
  }

  ForwarderFixture fixture;

 private:
  core::TimePoint began_at_;
};

std::string RequestHead(const std::string& target,
                        int deadline_ms,
                        const std::string& framing) {
  return fmt::format(
      "POST {} HTTP/1.1\r\nHost: a.test\r\nRequest-Id: id1\r\n"
      "Authorization: Bearer k1\r\nDeadline-Ms: {}\r\n{}\r\n\r\n",
      target, deadline_ms, framing);
}

struct PieceCase {
  const char* what;
  std::string target;
  int deadline_ms;
  std::string framing;
  // The pieces of the body, and when each is sent after the signal. The head is
  // sent with the first one.
  std::vector<std::pair<int, std::string>> pieces;
  // What the endpoint sends.
  std::string answer;
  // The status that the caller gets, and the requests that reach an endpoint.
  int status;
  size_t sends;
};

TEST_CASE("a stopping host answers or refuses what it takes") {
  const std::string body(12000, 'b');
  const std::string length = fmt::format("Content-Length: {}", body.size());
  const std::string chunks = "Transfer-Encoding: chunked";
  const std::string chunk = fmt::format("{:x}\r\n{}\r\n", body.size(), body);
  const PieceCase cases[] = {
      {"a stream that may outlast the host",
       "/once/1",
       1500,
       length,
       {{400, body}},
       ChunkedStreamStart("id: 1\n\n"),
       503,
       0},
      {"a resumable one",
       "/resumable/1",
       1500,
       length,
       {{400, body}},
       ChunkedStreamStart("id: 1\n\n"),
       503,
       0},
      {"one that was sent soon after the signal",
       "/once/1",
       1900,
       length,
       {{100, body}},
       ChunkedStreamStart("id: 1\n\n"),
       503,
       0},
      {"a stream that ends in time",
       "/once/1",
       900,
       length,
       {{400, body}},
       ChunkedStreamStart("id: 1\n\n") + support::kStreamEnd,
       200,
       1},
      {"a body that ends after the host has stopped listening",
       "/unsafe/1",
       500,
       length,
       {{400, body.substr(0, 5000)}, {900, body.substr(5000)}},
       ScriptedSuccess("ok"),
       200,
       1},
      {"a body in chunks that does so",
       "/unsafe/1",
       500,
       chunks,
       {{400, chunk.substr(0, 5000)}, {900, chunk.substr(5000) + "0\r\n\r\n"}},
       ScriptedSuccess("ok"),
       200,
       1},
      {"a body that never ends",
       "/unsafe/1",
       500,
       length,
       {{400, body.substr(0, 5000)}},
       ScriptedSuccess("ok"),
       503,
       0},
      {"a request that comes while the host stops",
       "/unsafe/1",
       500,
       length,
       {{400, body}},
       ScriptedSuccess("ok"),
       200,
       1},
  };
  for (const PieceCase& row : cases) {
    INFO(row.what);
    StoppingHost host;
    host.fixture.script = {row.answer};
    RawCaller caller(&host.fixture);
    host.Signal();
    bool has_head = false;
    for (const auto& [at, piece] : row.pieces) {
      host.RunTo(core::milliseconds(at));
      if (!has_head) {
        caller.Write(RequestHead(row.target, row.deadline_ms, row.framing));
        has_head = true;
      }
      caller.Write(piece);
    }
    host.RunTo(kGrace);
    INFO(caller.received());
    CHECK(caller.HasReceived(fmt::format("HTTP/1.1 {} ", row.status)));
    CHECK(host.fixture.received.size() == row.sends);
    CHECK(host.fixture.daemon == nullptr);
  }
}

TEST_CASE("a stopping host serves callers that may know no other address") {
  struct Row {
    const char* what;
    int sent_ms;
    int status;
    size_t sends;
  };
  // Callers keep an address for 900 ms, of which 300 ms are left for what is
  // under way. The stream may outlast the host in both rows.
  const Row rows[] = {
      {"soon after the signal", 100, 200, 1},
      {"when callers should have left", 800, 503, 0},
  };
  for (const Row& row : rows) {
    INFO(row.what);
    StoppingHost host({.max_address_lifetime = core::milliseconds(300)});
    host.fixture.script = {ChunkedStreamStart("id: 1\n\n") +
                           support::kStreamEnd};
    RawCaller caller(&host.fixture);
    host.Signal();
    host.RunTo(core::milliseconds(row.sent_ms));
    caller.Write(RequestHead("/once/1", 1990, "Content-Length: 1") + "b");
    host.RunTo(kGrace);
    CHECK(caller.HasReceived(fmt::format("HTTP/1.1 {} ", row.status)));
    CHECK(host.fixture.received.size() == row.sends);
    CHECK(host.fixture.daemon == nullptr);
  }
}

TEST_CASE("a request under way when its host ends gets an error") {
  StoppingHost host;
  RawCaller caller(&host.fixture);
  caller.Write(RequestHead("/unsafe/1", 1990, "Content-Length: 1") + "b");
  host.RunTo(core::milliseconds(100));
  REQUIRE(host.fixture.received.size() == 1);
  host.Signal();
  host.RunTo(kGrace);
  // It may have run, so the status must not invite the caller to repeat it.
  CHECK(caller.HasReceived("HTTP/1.1 502 "));
  CHECK(host.fixture.daemon == nullptr);
}

enum class WaitsFor : uint8_t {
  // Its pool has no endpoint until late.
  kEndpoint,
  // An endpoint refuses it late.
  kRefusal,
};

struct WaitCase {
  const char* what;
  WaitsFor waits_for;
  int deadline_ms;
  int status;
  size_t sends;
};

TEST_CASE("a request that waits is not sent shortly before its host ends") {
  // With the grace period of the fixture, requests that are left are ended
  // 1800 ms after the signal.
  constexpr core::Duration kSent = core::milliseconds(1300);
  constexpr core::Duration kWaitEnds = core::milliseconds(1680);
  const WaitCase cases[] = {
      {"for an endpoint", WaitsFor::kEndpoint, 1990, 503, 0},
      {"for the answer of an endpoint that refuses it", WaitsFor::kRefusal,
       1990, 503, 1},
      {"for such an answer, and can be complete in time", WaitsFor::kRefusal,
       480, 200, 2},
  };
  for (const WaitCase& row : cases) {
    INFO(row.what);
    // The host takes requests of any deadline for 1500 ms.
    StoppingHost host({.max_address_lifetime = core::milliseconds(600)});
    ForwarderFixture& it = host.fixture;
    if (row.waits_for == WaitsFor::kEndpoint) {
      it.Register("e1", it.first, "ready", "other");
      it.Register("e2", it.second, "ready", "other");
      host.RunTo(core::milliseconds(200));
    } else {
      it.script = {"", row.sends > 1 ? ScriptedSuccess("ok") : ""};
    }
    RawCaller caller(&host.fixture);
    host.Signal();
    // A request that has begun keeps its connection open.
    caller.Write(
        RequestHead("/unsafe/1", row.deadline_ms, "Content-Length: 1"));
    host.RunTo(kSent);
    caller.Write("b");
    host.RunTo(kWaitEnds);
    if (row.waits_for == WaitsFor::kEndpoint) {
      it.Register("e1", it.first, "ready");
    } else {
      const std::string refusal =
          support::ScriptedAnswer(503, "Not-Executed: 1\r\n", "");
      it.first.WriteToAll(refusal);
      it.second.WriteToAll(refusal);
    }
    host.RunTo(kGrace);
    INFO(caller.received());
    CHECK(caller.HasReceived(fmt::format("HTTP/1.1 {} ", row.status)));
    CHECK(it.received.size() == row.sends);
    CHECK(it.daemon == nullptr);
  }
}

TEST_CASE("a host that stood still when it was stopped ends in time") {
  // Callers keep an address for 900 ms, of which 300 ms are left for what is
  // under way.
  StoppingHost host({.max_address_lifetime = core::milliseconds(300)});
  RawCaller waiting(&host.fixture);
  waiting.Write(RequestHead("/unsafe/1", 1990, "Content-Length: 1") + "b");
  RawCaller late(&host.fixture);
  host.RunTo(core::milliseconds(100));
  REQUIRE(host.fixture.received.size() == 1);
  host.SignalWhileStandingStill(core::milliseconds(500));
  host.RunTo(core::milliseconds(750));
  late.Write(RequestHead("/once/1", 1990, "Content-Length: 1") + "b");
  host.RunTo(kGrace);
  CHECK(late.HasReceived("HTTP/1.1 503 "));
  CHECK(host.fixture.received.size() == 1);
  CHECK(waiting.HasReceived("HTTP/1.1 502 "));
  CHECK(host.fixture.daemon == nullptr);
}

struct KeptCase {
  const char* what;
  const char* target;
  int deadline_ms;
};

// Guards against requests on kept connections that a host stopped in calm takes
// late in its grace period and cuts at the end of it.
TEST_CASE("a stopping host loses no late request on a kept connection") {
  const KeptCase cases[] = {
      {"unsafe, due in time", "/unsafe/1", 300},
      {"unsafe, due after the host ends", "/unsafe/1", 1900},
      {"a stream that must not be repeated", "/once/1", 1900},
      {"a resumable stream", "/resumable/1", 1900},
      {"a safe request", "/safe/1", 1900},
  };
  for (const KeptCase& row : cases) {
    for (const int sent_ms : {300, 690, 705, 1200}) {
      INFO(row.what << ", sent " << sent_ms << " ms after the signal");
      StoppingHost host;
      ForwarderFixture& it = host.fixture;
      it.script = {ScriptedSuccess("ok")};
      RawCaller caller(&it);
      caller.Write(RequestHead("/unsafe/0", 500, "Content-Length: 1") + "b");
      REQUIRE(it.RunUntil([&]() { return caller.HasReceived("ok"); }));
      // The endpoint never answers what it gets now.
      host.Signal();
      host.RunTo(core::milliseconds(sent_ms));
      caller.Write(
          RequestHead(row.target, row.deadline_ms, "Content-Length: 1") + "b");
      host.RunTo(kGrace);
      INFO(caller.received());
      const bool is_sent = it.received.size() > 1;
      const bool is_answered =
          caller.received().find("HTTP/1.1 ", sizeof("HTTP/1.1 ")) !=
          std::string::npos;
      // What was passed on is due before the host ends, and is answered then.
      CHECK((is_answered || !is_sent));
      CHECK((!is_sent || row.deadline_ms < 1800));
      CHECK((is_answered || sent_ms >= 690));
      CHECK(it.daemon == nullptr);
    }
  }
}

struct StartingCase {
  const char* what;
  bool load_control_enabled;
  // When the configuration arrives after the signal; 0 if it does not.
  int configured_ms;
  int status;
  size_t sends;
};

// Guards against requests that a starting host holds when it is stopped.
TEST_CASE("a host that is stopped while it starts answers what it holds") {
  const StartingCase cases[] = {
      {"refused at once", false, 0, 503, 0},
      {"held until the host ends", true, 0, 503, 0},
      {"held until the configuration is there", true, 300, 200, 1},
  };
  for (const StartingCase& row : cases) {
    INFO(row.what);
    StoppingHost host({.load_control_enabled = row.load_control_enabled},
                      false);
    ForwarderFixture& it = host.fixture;
    it.script = {ScriptedSuccess("ok")};
    RawCaller caller(&it);
    caller.Write(RequestHead("/unsafe/1", 1400, "Content-Length: 1") + "b");
    host.RunTo(core::milliseconds(50));
    host.Signal();
    if (row.configured_ms > 0) {
      host.RunTo(core::milliseconds(row.configured_ms));
      it.WriteConfiguration();
    }
    host.RunTo(kGrace);
    INFO(caller.received());
    CHECK(caller.HasReceived(fmt::format("HTTP/1.1 {} ", row.status)));
    CHECK(it.received.size() == row.sends);
    CHECK(it.daemon == nullptr);
  }
}

// Guards against a stream that a caller takes up again at a stopping host.
TEST_CASE("a stopping host takes up no stream that may outlast it") {
  StoppingHost host;
  RawCaller caller(&host.fixture);
  host.Signal();
  host.RunTo(core::milliseconds(400));
  caller.Write(RequestHead("/resumable/1", 1900,
                           "Last-Event-Id: 3\r\nResumes: id0\r\n"
                           "Content-Length: 1") +
               "b");
  host.RunTo(kGrace);
  CHECK(caller.HasReceived("HTTP/1.1 503 "));
  CHECK(host.fixture.received.empty());
}

TEST_CASE("further signals do not hasten the end of a stopping host") {
  StoppingHost host;
  host.fixture.script = {ScriptedSuccess("ok")};
  RawCaller caller(&host.fixture);
  host.Signal();
  host.RunTo(kListening / 2);
  host.fixture.daemon->BeginShutdown(host.fixture.loop.Now());
  caller.Write(RequestHead("/unsafe/1", 500, "Content-Length: 1"));
  host.RunTo(kListening + core::milliseconds(100));
  host.fixture.daemon->BeginShutdown(host.fixture.loop.Now());
  caller.Write("b");
  host.RunTo(kGrace);
  CHECK(caller.HasReceived("HTTP/1.1 200 "));
  CHECK(host.fixture.daemon == nullptr);
}

}  // namespace
}  // namespace wasabi::forwarder
