// Guards against what an endpoint says of itself in an answer to an earlier
// request, written again, that is believed as if it said so now: by the host,
// and by the host that carries its request.

#include <catch2/catch.hpp>
#include <memory>
#include <string>

#include "LibCore/text.h"
#include "LibHttp/tcp_stream.h"
#include "Tests/Support/ForwarderFixture/carried_host.h"
#include "Tests/Support/ForwarderFixture/forwarder_fixture.h"

namespace wasabi::forwarder {
namespace {

using support::CallerResult;
using support::ForwarderFixture;
using support::RawServer;
using support::ScriptedSuccess;

constexpr const char* kOldId = "id0";
constexpr const char* kNoId = "";
// Events of both hosts have been recorded by then.
constexpr core::Duration kSettleTime = core::milliseconds(50);

struct NoticeCase {
  const char* event;
  int status;
  const char* fields;
};

const NoticeCase kNotices[] = {
    {"runner_leaving", 200, "Server-Leaving: 1\r\n"},
    {"runner_leaving", 503, "Not-Executed: 1\r\nServer-Leaving: 1\r\n"},
    {"endpoint_paused", 503, "Not-Executed: 1\r\nRetry-After: 1\r\n"},
    {"endpoint_limited", 200, "Server-Limit: 2.5\r\n"},
    {"endpoint_brittle", 200, "Server-Brittle: 3\r\n"},
};

// Returns an answer to the request `id`, which may be empty, with a notice.
std::string AnswerWith(const NoticeCase& row, std::string_view id) {
  return fmt::format(
      "HTTP/1.1 {} X\r\n{}{}Response-Signature: s\r\n"
      "Content-Length: 2\r\n\r\nok",
      row.status, id.empty() ? "" : fmt::format("Request-Id: {}\r\n", id),
      row.fields);
}

void RunFor(ForwarderFixture* it, core::Duration time) {
  const core::TimePoint end = it->loop.Now() + time;
  it->RunUntil([&]() { return it->loop.Now() >= end; });
}

bool HasEvent(ForwarderFixture* it,
              const ForwarderSettings& host,
              const NoticeCase& row) {
  RunFor(it, kSettleTime);
  return it->GetInternal("/v1/events", host)
             .find(fmt::format("\"{}\"", row.event)) != std::string::npos;
}

TEST_CASE("a host believes the notices of the answer to its request alone") {
  for (const NoticeCase& row : kNotices) {
    for (const char* id : {kOldId, kNoId}) {
      if (id == kNoId && row.status == 200) {
        // An answer without an id that is no refusal may be skipped only on a
        // connection that has carried another request.
        continue;
      }
      INFO(row.event << " " << row.status << " " << id);
      ForwarderFixture it;
      it.Configure();
      it.script = {AnswerWith(row, id) + ScriptedSuccess("ok")};
      CHECK(it.Get("/unsafe/1").status == 200);
      CHECK_FALSE(HasEvent(&it, it.settings, row));
      it.script = {AnswerWith(row, "id1"), ScriptedSuccess("ok")};
      CHECK(it.Get("/unsafe/1").status == 200);
      CHECK(HasEvent(&it, it.settings, row));
    }
  }
}

class NoticedHost : public support::CarriedHost {
 public:
  const ForwarderSettings& carrier() const { return carrier_->settings; }
};

TEST_CASE("a carrier believes the notices of the answer it carries alone") {
  for (const NoticeCase& row : kNotices) {
    INFO(row.event << " " << row.status);
    NoticedHost host;
    ForwarderFixture& it = host.fixture;
    it.script = {AnswerWith(row, kOldId) + ScriptedSuccess("ok")};
    CHECK(it.Get("/unsafe/1").status == 200);
    CHECK_FALSE(HasEvent(&it, host.carrier(), row));
    CHECK_FALSE(HasEvent(&it, it.settings, row));
    it.script = {AnswerWith(row, "id1"), ScriptedSuccess("ok")};
    CHECK(it.Get("/unsafe/1").status == 200);
    CHECK(HasEvent(&it, host.carrier(), row));
    CHECK(HasEvent(&it, it.settings, row));
  }
}

// Such a host doesn't name its request.
TEST_CASE("a carrier believes the notices for a host of an older build") {
  for (const NoticeCase& row : kNotices) {
    INFO(row.event << " " << row.status);
    ForwarderFixture it;
    it.Configure();
    it.script = {AnswerWith(row, "id1")};
    std::string received;
    const auto stream =
        *http::TcpStream::Connect(&it.loop, it.settings.internal_address);
    http::TcpStream::Callbacks callbacks;
    callbacks.on_data = [&](std::string_view bytes) { received.append(bytes); };
    callbacks.on_end = [](http::TcpStream::End /*end*/) {};
    stream->Start(std::move(callbacks));
    stream->Write(
        fmt::format("CONNECT {:016x} HTTP/1.1\r\nHost: endpoint\r\n\r\n",
                    core::RunnerId("e1").Hash()));
    REQUIRE(it.RunUntil([&]() { return received.ends_with("\r\n\r\n"); }));
    stream->Write("GET / HTTP/1.1\r\nHost: a.test\r\n\r\n");
    REQUIRE(it.RunUntil([&]() { return received.ends_with("ok"); }));
    CHECK(HasEvent(&it, it.settings, row));
    stream->Close();
  }
}

}  // namespace
}  // namespace wasabi::forwarder
