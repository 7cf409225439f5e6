// Regression test: a refusal that an endpoint writes again must not count for
// another request, which may be running there.

#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "LibCore/text.h"
#include "Tests/Support/ForwarderFixture/forwarder_fixture.h"
#include "Tests/Support/free_address.h"

namespace wasabi::forwarder {
namespace {

using support::CallerResult;
using support::ForwarderFixture;
using support::RawServer;

constexpr const char* kOldId = "Request-Id: id0\r\n";
constexpr const char* kNoId = "";
constexpr const char* kTwoIds = "Request-Id: id1\r\nRequest-Id: id0\r\n";
constexpr const char* kEvents = "id: 1\ndata: a\n\nid: 2\ndata: b\n\n";
constexpr const char* kSecondEvent = "id: 2\ndata: b\n\n";
constexpr const char* kFirstEvent = "id: 1\ndata: a\n\n";
// Later than a request may run at two endpoints.
constexpr core::Duration kAnswerTime = core::milliseconds(500);
// A request must not run at two endpoints for longer.
constexpr core::Duration kMaxOverlap = core::milliseconds(400);

enum class When : uint8_t {
  // Before the request is sent.
  kWhileIdle,
  // Before the answer, in one packet with it.
  kInOnePacket,
  // The answer follows later.
  kEarlier,
  // The endpoint then closes the connection without an answer.
  kThenClosed,
  kAfterInterimAnswer,
  // Between two chunks of the answer.
  kInsideBody,
  // After the answer, in one packet with it.
  kAfter,
};

std::string Refusal(int status, const std::string& id) {
  return fmt::format(
      "HTTP/1.1 {} X\r\n{}Not-Executed: 1\r\nContent-Length: 4\r\n\r\nfull",
      status, id);
}

bool IsStream(std::string_view target) {
  return target.starts_with("/once/") || target.starts_with("/resumable/");
}

// The first endpoint that gets the request "id1" writes a refusal again, and
// answers it; the other one answers it at once.
class Endpoints {
 public:
  Endpoints(ForwarderFixture* fixture, bool is_stream)
      : fixture_(fixture), is_stream_(is_stream) {
    for (RawServer* server : {&fixture->first, &fixture->second}) {
      server->SetResponder([this, server](const std::string& text) {
        return Respond(server, text);
      });
    }
  }

  void WriteAgain(When when, std::string refusal) {
    when_ = when;
    refusal_ = std::move(refusal);
  }
  // Returns how often the request was sent to an endpoint.
  size_t sends() const { return sends_; }
  bool has_open_connection() const { return asked_->open() > 0; }

 private:
  std::string Answer() const {
    return is_stream_
               ? support::ChunkedStreamStart(kEvents) + support::kStreamEnd
               : support::ScriptedSuccess("ok");
  }

  std::string Respond(RawServer* server, const std::string& text) {
    if (text.find("Request-Id: id1\r\n") == std::string::npos) {
      return Refusal(503, kOldId);
    }
    ++sends_;
    if (asked_ != nullptr) {
      const bool is_rest =
          text.find("Last-Event-Id: 1\r\n") != std::string::npos;
      return is_rest ? support::ChunkedStreamStart(kSecondEvent) +
                           support::kStreamEnd
                     : Answer();
    }
    asked_ = server;
    switch (when_) {
      case When::kWhileIdle:
        return Answer();
      case When::kInOnePacket:
        return refusal_ + Answer();
      case When::kEarlier:
        WriteLater(Answer());
        return refusal_;
      case When::kThenClosed:
        fixture_->loop.Post([server]() { server->CloseAll(); });
        return refusal_;
      case When::kAfterInterimAnswer:
        return "HTTP/1.1 100 Continue\r\n\r\n" + refusal_ + Answer();
      case When::kInsideBody:
        return support::ChunkedStreamStart(kFirstEvent) + refusal_;
      case When::kAfter:
        return Answer() + refusal_;
    }
    return "";
  }

  void WriteLater(std::string bytes) {
    timer_ =
        fixture_->loop.NewTimer([server = asked_, bytes = std::move(bytes)]() {
          server->WriteToAll(bytes);
        });
    timer_->StartOnce(kAnswerTime);
  }

  ForwarderFixture* const fixture_;
  const bool is_stream_;
  When when_ = When::kWhileIdle;
  std::string refusal_;
  size_t sends_ = 0;
  RawServer* asked_ = nullptr;
  std::unique_ptr<core::Timer> timer_;
};

struct AgainCase {
  const char* what;
  When when;
  const char* id;
  // Whether both endpoints have refused the request "id0" on the connections
  // that are used.
  bool is_kept;
  int unsafe_status;
  size_t unsafe_sends;
  size_t repeatable_sends;
};

const AgainCase kAgainCases[] = {
    {"while idle, old id", When::kWhileIdle, kOldId, true, 200, 1, 1},
    {"while idle, no id", When::kWhileIdle, kNoId, true, 200, 1, 1},
    {"one packet, old id", When::kInOnePacket, kOldId, true, 200, 1, 1},
    {"one packet, no id", When::kInOnePacket, kNoId, true, 200, 1, 1},
    {"one packet, two ids", When::kInOnePacket, kTwoIds, true, 200, 1, 1},
    {"earlier, old id", When::kEarlier, kOldId, true, 200, 1, 1},
    {"earlier, no id", When::kEarlier, kNoId, true, 200, 1, 1},
    {"earlier, two ids", When::kEarlier, kTwoIds, true, 200, 1, 1},
    {"then closed, old id", When::kThenClosed, kOldId, true, 502, 1, 2},
    {"then closed, no id", When::kThenClosed, kNoId, true, 502, 1, 2},
    {"after an interim answer, old id", When::kAfterInterimAnswer, kOldId, true,
     200, 1, 1},
    {"after an interim answer, no id", When::kAfterInterimAnswer, kNoId, true,
     200, 1, 1},
    {"after the answer, old id", When::kAfter, kOldId, true, 200, 1, 1},
    {"after the answer, no id", When::kAfter, kNoId, true, 200, 1, 1},
    {"new connection, one packet, old id", When::kInOnePacket, kOldId, false,
     200, 1, 1},
    {"new connection, one packet, no id", When::kInOnePacket, kNoId, false, 200,
     1, 1},
};

void RefuseOnBoth(ForwarderFixture* it) {
  it->request_id = "id0";
  CHECK(it->Get("/unsafe/0").status == 503);
  CHECK(it->received.empty());
  it->request_id = "id1";
}

void CheckAgain(const AgainCase& row, int refused_with, const char* target) {
  INFO(row.what << ", " << refused_with << ", " << target);
  ForwarderFixture it;
  it.Configure();
  Endpoints endpoints(&it, IsStream(target));
  if (row.is_kept) {
    RefuseOnBoth(&it);
  }
  const std::string refusal = Refusal(refused_with, row.id);
  endpoints.WriteAgain(row.when, refusal);
  if (row.when == When::kWhileIdle) {
    it.first.WriteToAll(refusal);
    it.second.WriteToAll(refusal);
  }
  const CallerResult result = it.Get(target);
  REQUIRE(result.end == http::OriginOutcome::kComplete);
  const std::string_view path = target;
  const bool runs_once =
      path.starts_with("/unsafe/") || path.starts_with("/once/");
  const int status = runs_once ? row.unsafe_status : 200;
  CHECK(result.status == status);
  CHECK(endpoints.sends() ==
        (runs_once ? row.unsafe_sends : row.repeatable_sends));
  if (status == 200) {
    CHECK(result.body == (IsStream(target) ? kEvents : "ok"));
  }
  if (endpoints.sends() > 1) {
    const core::TimePoint end = it.loop.Now() + kMaxOverlap;
    it.RunUntil([&]() { return it.loop.Now() > end; });
    CHECK((!endpoints.has_open_connection() || !row.is_kept));
  }
}

TEST_CASE("a refusal that is written again counts for no other request") {
  for (const AgainCase& row : kAgainCases) {
    for (const char* target :
         {"/unsafe/1", "/safe/1", "/once/1", "/resumable/1"}) {
      CheckAgain(row, 503, target);
    }
  }
}

TEST_CASE("no status of a refusal that is written again counts") {
  for (const AgainCase& row : kAgainCases) {
    if (row.when != When::kInOnePacket && row.when != When::kEarlier) {
      continue;
    }
    for (const int status : {429, 421, 400}) {
      CheckAgain(row, status, "/unsafe/1");
    }
  }
}

TEST_CASE("a refusal inside the body of a stream does not end it as complete") {
  for (const char* id : {kOldId, kNoId}) {
    for (const bool is_resumable : {false, true}) {
      INFO(id << " resumable " << is_resumable);
      ForwarderFixture it;
      it.Configure();
      Endpoints endpoints(&it, true);
      RefuseOnBoth(&it);
      endpoints.WriteAgain(When::kInsideBody, Refusal(503, id));
      const CallerResult result =
          it.Get(is_resumable ? "/resumable/1" : "/once/1");
      CHECK(result.status == 200);
      CHECK(result.body.starts_with(kFirstEvent));
      CHECK((result.end == http::OriginOutcome::kComplete) == is_resumable);
      CHECK(endpoints.sends() == (is_resumable ? 2 : 1));
    }
  }
}

TEST_CASE("a refusal that is written again counts for none through a tunnel") {
  for (const char* id : {kOldId, kTwoIds}) {
    for (const When when : {When::kInOnePacket, When::kEarlier}) {
      INFO(id << " " << static_cast<int>(when));
      ForwarderFixture it;
      it.links = {{"e1", support::FreeAddress(support::LoopbackIp(30))},
                  {"e2", support::FreeAddress(support::LoopbackIp(31))}};
      it.Configure();
      it.AddPeer("h2");
      Endpoints endpoints(&it, false);
      // The host finds that its links are lost, and asks the other one.
      it.request_id = "id0";
      REQUIRE(it.RunUntil([&]() {
        it.Get("/unsafe/0");
        return it.first.requests() + it.second.requests() > 0;
      }));
      it.request_id = "id1";
      endpoints.WriteAgain(when, Refusal(503, id));
      const CallerResult result = it.Get("/unsafe/1");
      CHECK(result.status == 200);
      CHECK(result.body == "ok");
      CHECK(endpoints.sends() == 1);
    }
  }
}

}  // namespace
}  // namespace wasabi::forwarder
