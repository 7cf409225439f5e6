// Regression test: an answer with neither a length nor chunks that comes
// through another host must not look complete if that host, or its connection
// to the endpoint, ended before the endpoint did.

#include <catch2/catch.hpp>
#include <memory>
#include <optional>
#include <string>
#include <vector>

#include "LibCore/text.h"
#include "LibHttp/tcp_stream.h"
#include "Tests/Support/ForwarderFixture/carried_host.h"
#include "Tests/Support/ForwarderFixture/forwarder_fixture.h"
#include "Tests/Support/free_address.h"

namespace wasabi::forwarder {
namespace {

using support::CallerResult;
using support::FixturePeer;
using support::ForwarderFixture;
using support::LinkCut;

// A carrier that stops ends what it carries before the route's timeout does.
constexpr core::Duration kCarrierGrace = core::seconds(1);
constexpr const char* kDeadlineMs = "5000";
// The bytes of an answer have reached the host after this time.
constexpr core::Duration kSettleTime = core::milliseconds(200);
// The host relays an answer of this size before it is complete.
constexpr size_t kLargeBytes = 300'000;

// The reply of a carrier that passes bytes on unchanged.
constexpr std::string_view kOpen = "HTTP/1.1 200 Open\r\n\r\n";
constexpr std::string_view kUnavailable = "HTTP/1.1 503 Unavailable\r\n\r\n";

void RunFor(ForwarderFixture* fixture, core::Duration time) {
  const core::TimePoint end = fixture->loop.Now() + time;
  fixture->RunUntil([&]() { return fixture->loop.Now() >= end; });
}

class CutHost : public support::CarriedHost {
 public:
  CutHost() : CarriedHost(kCarrierGrace) {}

  // Sends a request. When this returns, `answer` has arrived and its connection
  // is open.
  void Begin(const std::string& target,
             const std::string& answer,
             CallerResult* result) {
    fixture.script = {answer};
    fixture.Send(target,
                 {{"Authorization", "Bearer k1"}, {"Deadline-Ms", kDeadlineMs}},
                 false, result);
    REQUIRE(fixture.RunUntil([&]() { return fixture.received.size() == 1; }));
    RunFor(&fixture, kSettleTime);
    REQUIRE_FALSE(result->end.has_value());
  }

  void EndAnswer() {
    fixture.first.CloseAll();
    fixture.second.CloseAll();
  }
  // As SIGKILL does, destroying the carrier closes its sockets and sends
  // nothing on them.
  void KillCarrier() { carrier_->daemon.reset(); }
  void ResetCarrierLinks() {
    carrier_links_.Cut(LinkCut::kReset, fixture.loop.Now());
  }
  void StopCarrier() { carrier_->daemon->BeginShutdown(fixture.loop.Now()); }

  // Runs until the caller's result has ended. A carrier that has stopped is
  // destroyed, as its process would end.
  void RunUntilEnd(const CallerResult& result) {
    fixture.RunUntil([&]() {
      if (HasCarrierStopped()) {
        KillCarrier();
      }
      return result.end.has_value();
    });
    REQUIRE(result.end.has_value());
  }

 private:
  bool HasCarrierStopped() {
    return carrier_->daemon != nullptr &&
           fixture.GetInternal("/v1/events", carrier_->settings)
                   .find("process_stopped") != std::string::npos;
  }
};

struct AnswerCase {
  const char* what;
  std::string target;
  std::string fields;
  // What has arrived when the connection ends.
  std::string body;
};

struct EndCase {
  const char* what;
  void (CutHost::*end)();
  bool is_complete;
};

TEST_CASE(
    "an unframed answer through a carrier is whole if its endpoint says so") {
  const AnswerCase answers[] = {
      {"small", "/unsafe/1", "", "half"},
      {"large", "/unsafe/1", "", std::string(kLargeBytes, 'x')},
      {"a stream after a whole event", "/once/1",
       "Content-Type: text/event-stream\r\n", "id: 1\ndata: a\n\n"},
  };
  const EndCase ends[] = {
      {"the endpoint closes", &CutHost::EndAnswer, true},
      {"the carrier is killed", &CutHost::KillCarrier, false},
      {"the carrier's links are reset", &CutHost::ResetCarrierLinks, false},
      {"the carrier stops", &CutHost::StopCarrier, false},
  };
  for (const AnswerCase& answer : answers) {
    for (const EndCase& row : ends) {
      INFO(answer.what << ", " << row.what);
      CutHost it;
      CallerResult result;
      it.Begin(answer.target,
               fmt::format("HTTP/1.1 200 X\r\nRequest-Id: id1\r\n"
                           "Response-Signature: s\r\n{}\r\n{}",
                           answer.fields, answer.body),
               &result);
      (it.*row.end)();
      it.RunUntilEnd(result);
      const bool looks_complete =
          result.status == 200 && result.end == http::OriginOutcome::kComplete;
      CHECK(looks_complete == row.is_complete);
      CHECK((result.body == answer.body || !row.is_complete));
    }
  }
}

// Answers of endpoints, and whether the host takes them for complete when their
// connection has ended after them.
struct WholeCase {
  const char* what;
  std::string answer;
};

const WholeCase kWholeAnswers[] = {
    {"ended by its connection", "HTTP/1.1 200 X\r\n\r\nwhole"},
    {"with a length", "HTTP/1.1 200 X\r\nContent-Length: 5\r\n\r\nwhole"},
    {"in chunks",
     "HTTP/1.1 200 X\r\nTransfer-Encoding: chunked\r\n\r\n"
     "5\r\nwhole\r\n0\r\n\r\n"},
};

// The old carrier is a server that sends what a carrier of the build before
// frames sends: "200 Open", then the endpoint's bytes unchanged.
TEST_CASE("a host gets whole answers through a carrier of an older build") {
  for (const WholeCase& row : kWholeAnswers) {
    INFO(row.what);
    core::EventLoop loop;
    support::RawServer carrier(&loop,
                               support::FreeAddress(support::LoopbackIp(10)));
    carrier.SetResponder([&](const std::string& text) -> std::string {
      if (text.starts_with("CONNECT ")) {
        return "HTTP/1.1 200 Open\r\n\r\n";
      }
      loop.Post([&]() { carrier.CloseAll(); });
      return row.answer;
    });
    CallerResult result;
    http::OriginRequest request;
    request.tunnel = http::TunnelRoute{.carrier = carrier.address()};
    request.method = "GET";
    request.target = "/whole";
    http::OriginCallbacks callbacks;
    callbacks.on_body = [&](std::string_view piece) {
      result.body.append(piece);
    };
    callbacks.on_end = [&](http::OriginOutcome end) {
      result.end = end;
      loop.Stop();
    };
    http::OriginClient client(&loop);
    client.Send(request, std::move(callbacks));
    loop.Run();
    CHECK(result.body == "whole");
    CHECK(result.end == http::OriginOutcome::kComplete);
  }
}

// A host of the build before frames: it sends that build's request for a
// tunnel to "e1", and every byte that comes is kept.
struct RawHost {
  RawHost(ForwarderFixture* fixture,
          const core::SocketAddress& carrier,
          std::string_view reply = kOpen)
      : stream(*http::TcpStream::Connect(&fixture->loop, carrier)) {
    http::TcpStream::Callbacks callbacks;
    callbacks.on_data = [this](std::string_view bytes) {
      received.append(bytes);
    };
    callbacks.on_end = [this](http::TcpStream::End it) { end = it; };
    stream->Start(std::move(callbacks));
    stream->Write(
        fmt::format("CONNECT {:016x} HTTP/1.1\r\nHost: endpoint\r\n\r\n",
                    core::RunnerId("e1").Hash()));
    REQUIRE(fixture->RunUntil([&]() { return received == reply; }));
  }
  ~RawHost() { stream->Close(); }
  RawHost(const RawHost&) = delete;
  RawHost& operator=(const RawHost&) = delete;

  const std::shared_ptr<http::TcpStream> stream;
  std::string received;
  std::optional<http::TcpStream::End> end;
};

TEST_CASE("a host of an older build gets the endpoint's bytes unchanged") {
  for (const WholeCase& row : kWholeAnswers) {
    INFO(row.what);
    ForwarderFixture it;
    it.Configure();
    it.first.SetResponder(nullptr);
    it.first.SetAnswer(row.answer, true);
    RawHost host(&it, it.settings.internal_address);
    host.stream->Write("GET / HTTP/1.1\r\nHost: a.test\r\n\r\n");
    REQUIRE(it.RunUntil([&]() { return host.end.has_value(); }));
    CHECK(host.received == fmt::format("{}{}", kOpen, row.answer));
    CHECK(host.end == http::TcpStream::End::kClosed);
  }
}

// A host of an older build can tell only by a reset that its answer is cut.
TEST_CASE("a stopping carrier ends its tunnels before its process ends") {
  ForwarderFixture it;
  it.Configure();
  const FixturePeer* carrier = it.AddPeer("h2");
  it.script = {"HTTP/1.1 200 X\r\n\r\nhalf"};
  RawHost host(&it, carrier->settings.internal_address);
  host.stream->Write("GET / HTTP/1.1\r\nHost: a.test\r\n\r\n");
  REQUIRE(it.RunUntil([&]() { return host.received.ends_with("half"); }));
  const core::TimePoint began_at = it.loop.Now();
  carrier->daemon->BeginShutdown(began_at);
  // 1. No new tunnel is opened.
  RawHost late(&it, carrier->settings.internal_address, kUnavailable);
  // 2. The open one lasts until the carrier interrupts its own requests.
  REQUIRE(it.RunUntil([&]() {
    return host.end.has_value() || it.loop.Now() - began_at > it.shutdown_grace;
  }));
  CHECK(host.end == http::TcpStream::End::kBroken);
  CHECK(it.loop.Now() - began_at > it.shutdown_grace / 2);
  // 3. It is counted, and logged with its endpoint.
  const std::string events = it.GetInternal("/v1/events", carrier->settings);
  const std::string metrics = it.GetInternal("/metrics", carrier->settings);
  CHECK(events.find("tunnel_interrupted") != std::string::npos);
  CHECK(events.find("endpoint=e1") != std::string::npos);
  CHECK(metrics.find("wasabi_tunnels_interrupted 1\n") != std::string::npos);
}

// Whether the carrier has taken all of an answer of `bytes` from the endpoint
// while `host` read nothing.
bool IsTakenUnread(ForwarderFixture* it, size_t bytes, RawHost* host) {
  host->stream->SetReading(false);
  const int requests = it->first.requests();
  it->first.SetAnswer(std::string(bytes, 'x'), false);
  host->stream->Write("GET / HTTP/1.1\r\nHost: a.test\r\n\r\n");
  REQUIRE(it->RunUntil([&]() { return it->first.requests() > requests; }));
  it->first.ShutDownAll();
  RunFor(it, kSettleTime);
  return it->first.open() == 0;
}

TEST_CASE("a host that reads slowly gets the whole answer from its carrier") {
  constexpr size_t kMoreThanBuffers = 16'000'000;
  constexpr size_t kPrecision = 10'000;
  constexpr core::Duration kPause = core::milliseconds(1500);
  ForwarderFixture it;
  it.Configure();
  it.first.SetResponder(nullptr);
  // 1. The largest answer of which the carrier holds the end itself, after the
  //    endpoint has closed.
  size_t taken = 0;
  size_t too_large = kMoreThanBuffers;
  while (too_large - taken > kPrecision) {
    const size_t bytes = (taken + too_large) / 2;
    RawHost host(&it, it.settings.internal_address);
    (IsTakenUnread(&it, bytes, &host) ? taken : too_large) = bytes;
    host.stream->Abort();
    REQUIRE(it.RunUntil([&]() { return it.first.open() == 0; }));
  }
  // 2. The host goes on reading after a pause, as for a slow caller.
  RawHost host(&it, it.settings.internal_address);
  IsTakenUnread(&it, taken, &host);
  RunFor(&it, kPause);
  host.stream->SetReading(true);
  REQUIRE(it.RunUntil([&]() { return host.end.has_value(); }));
  CHECK(host.received.size() == kOpen.size() + taken);
}

TEST_CASE("a request that may repeat is sent again when its carrier stops") {
  CutHost it;
  it.fixture.AddPeer("h3");
  CallerResult result;
  it.Begin("/safe/1",
           "HTTP/1.1 200 X\r\nRequest-Id: id1\r\nResponse-Signature: s\r\n"
           "\r\nhalf",
           &result);
  it.fixture.script = {support::ScriptedSuccess("whole")};
  int stopped = 0;
  for (const auto& peer : it.fixture.peers) {
    const bool is_carrier =
        it.fixture.GetInternal("/metrics", peer->settings)
            .find("wasabi_tunnels_open 1\n") != std::string::npos;
    if (is_carrier) {
      ++stopped;
      peer->daemon->BeginShutdown(it.fixture.loop.Now());
    }
  }
  REQUIRE(stopped == 1);
  it.RunUntilEnd(result);
  CHECK(result.status == 200);
  CHECK(result.body == "whole");
  CHECK(it.fixture.received.size() == 2);
}

// Guards against a request that a stopping host sends through a carrier late.
TEST_CASE(
    "a stopping host sends nothing through a carrier that may outlast it") {
  CutHost it;
  it.fixture.daemon->BeginShutdown(it.fixture.loop.Now());
  // The request is due 1500 ms later; the host ends what is left 1800 ms after
  // the signal, and listens for 700 ms.
  RunFor(&it.fixture, core::milliseconds(450));
  it.fixture.script = {support::ScriptedSuccess("ok")};
  CHECK(it.fixture.Get("/unsafe/1").status == 503);
  CHECK(it.fixture.received.empty());
}

}  // namespace
}  // namespace wasabi::forwarder
