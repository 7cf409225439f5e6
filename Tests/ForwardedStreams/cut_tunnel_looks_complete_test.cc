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
#include "Tests/Support/ForwarderFixture/endpoint_links.h"
#include "Tests/Support/ForwarderFixture/forwarder_fixture.h"
#include "Tests/Support/free_address.h"

namespace wasabi::forwarder {
namespace {

using support::CallerResult;
using support::EndpointLinks;
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

// A host that has lost its links to the endpoints, and its only carrier.
class CutHost {
 public:
  CutHost() : links_(&fixture, 30), carrier_links_(&fixture, 40) {
    fixture.links = links_.map;
    fixture.shutdown_grace = kCarrierGrace;
    fixture.Configure();
    carrier_ = fixture.AddPeer("h2", carrier_links_.map);
    links_.Cut(LinkCut::kReset, fixture.loop.Now());
    const auto is_carried = [this]() {
      fixture.script = {support::ScriptedSuccess("ok")};
      return fixture.Get("/safe/1").status == 200;
    };
    REQUIRE(fixture.RunUntil(is_carried));
    fixture.received.clear();
  }

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
    const core::TimePoint end = fixture.loop.Now() + kSettleTime;
    fixture.RunUntil([&]() { return fixture.loop.Now() >= end; });
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
  void StopCarrier() { carrier_->daemon->BeginShutdown(); }

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

  ForwarderFixture fixture;

 private:
  bool HasCarrierStopped() {
    return carrier_->daemon != nullptr &&
           fixture.GetInternal("/v1/events", carrier_->settings)
                   .find("process_stopped") != std::string::npos;
  }

  EndpointLinks links_;
  EndpointLinks carrier_links_;
  FixturePeer* carrier_ = nullptr;
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

// The old host is a connection that sends the request for a tunnel of the build
// before frames, and checks every byte that comes.
TEST_CASE("a host of an older build gets the endpoint's bytes unchanged") {
  for (const WholeCase& row : kWholeAnswers) {
    INFO(row.what);
    ForwarderFixture it;
    it.Configure();
    it.first.SetAnswer(row.answer, true);
    it.first.SetResponder(nullptr);
    auto host =
        *http::TcpStream::Connect(&it.loop, it.settings.internal_address);
    std::string received;
    std::optional<http::TcpStream::End> end;
    http::TcpStream::Callbacks callbacks;
    callbacks.on_data = [&](std::string_view bytes) { received.append(bytes); };
    callbacks.on_end = [&](http::TcpStream::End it) { end = it; };
    host->Start(std::move(callbacks));
    const std::string open = "HTTP/1.1 200 Open\r\n\r\n";
    host->Write(
        fmt::format("CONNECT {:016x} HTTP/1.1\r\nHost: endpoint\r\n\r\n",
                    core::RunnerId("e1").Hash()));
    REQUIRE(it.RunUntil([&]() { return received == open; }));
    host->Write("GET / HTTP/1.1\r\nHost: a.test\r\n\r\n");
    REQUIRE(it.RunUntil([&]() { return end.has_value(); }));
    CHECK(received == fmt::format("{}{}", open, row.answer));
    CHECK(end == http::TcpStream::End::kClosed);
  }
}

}  // namespace
}  // namespace wasabi::forwarder
