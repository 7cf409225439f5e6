// Regression test: an answer without a length that ends before the endpoint had
// the whole request must not look complete, whatever ends its connection.

#include <catch2/catch.hpp>
#include <string>
#include <string_view>

#include "Tests/Support/ForwarderFixture/carried_host.h"
#include "Tests/Support/ForwarderFixture/forwarder_fixture.h"

namespace wasabi::forwarder {
namespace {

using support::CallerResult;
using support::ForwarderFixture;
using support::kReset;

// More than the kernels on both sides hold for an endpoint that doesn't read.
constexpr size_t kUploadBytes = 3'900'000;
// The bytes of an answer have arrived after this time.
constexpr core::Duration kSettleTime = core::milliseconds(200);

// Sends a request with a large body, which the endpoints don't read.
void Upload(ForwarderFixture& it,
            const std::string& target,
            CallerResult* result) {
  it.first.SetAnswersEarly(true);
  it.second.SetAnswersEarly(true);
  http::OriginRequest request;
  request.address = it.settings.callers_address;
  request.method = "POST";
  request.target = target;
  request.headers = {{"Host", "a.test"},
                     {"Request-Id", "id1"},
                     {"Authorization", "Bearer k1"},
                     {"Deadline-Ms", "1500"}};
  request.body.assign(kUploadBytes, 'x');
  http::OriginCallbacks callbacks;
  callbacks.on_head = [result](const http::AnswerHead& head) {
    result->status = head.status();
    result->headers = head.headers();
  };
  callbacks.on_body = [result](std::string_view piece) {
    result->body.append(piece);
  };
  callbacks.on_end = [result](http::OriginOutcome end) { result->end = end; };
  it.client.Send(request, std::move(callbacks));
}

struct EarlyCase {
  const char* what;
  std::string framing;
  // Whether the endpoint resets its connection, or shuts its side down.
  bool resets;
  int status;
};

// Guards against the part of an answer that passes for the whole, since its
// connection broke while the request was still being written.
TEST_CASE("an answer without a length needs the whole request") {
  const EarlyCase cases[] = {
      {"reset", "", true, 502},
      {"shut down", "", false, 502},
      {"shut down after a whole answer", "Content-Length: 4\r\n", false, 200},
  };
  const auto check = [](ForwarderFixture& it, const std::string& target,
                        const EarlyCase& row) {
    INFO(target << ", " << row.what);
    const std::string answer =
        "HTTP/1.1 200 X\r\nRequest-Id: id1\r\nResponse-Signature: s\r\n" +
        row.framing + "\r\npart";
    const std::string scripted = row.resets ? answer + kReset : answer;
    it.received.clear();
    it.script = {scripted, scripted};
    CallerResult result;
    Upload(it, target, &result);
    core::TimePoint settled_at{};
    it.RunUntil([&]() {
      if (!row.resets && !it.received.empty() &&
          settled_at == core::TimePoint()) {
        settled_at = it.loop.Now() + kSettleTime;
      }
      if (settled_at != core::TimePoint() && it.loop.Now() >= settled_at) {
        it.first.ShutDownAll();
        it.second.ShutDownAll();
      }
      return result.end.has_value();
    });
    CHECK(result.status == row.status);
    CHECK((result.body == "part") == (row.status == 200));
    const size_t max_sends = target.starts_with("/unsafe") ? 1 : 2;
    CHECK(it.received.size() <= max_sends);
  };
  for (const EarlyCase& row : cases) {
    for (const char* target : {"/unsafe/1", "/safe/1"}) {
      ForwarderFixture it;
      it.Configure();
      check(it, target, row);
    }
    support::CarriedHost host(core::seconds(2),
                              support::CarriedHost::CarrierWay::kDirect);
    check(host.fixture, "/unsafe/1", row);
  }
}

}  // namespace
}  // namespace wasabi::forwarder
