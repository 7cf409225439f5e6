// Guards against an answer to the first send of a stream that is taken for the
// answer to the send that resumes it, which has the same id: an endpoint that
// has started anew under another id at its address gets both.

#include <catch2/catch.hpp>
#include <memory>
#include <string>

#include "LibCore/text.h"
#include "Tests/Support/ForwarderFixture/forwarder_fixture.h"

namespace wasabi::forwarder {
namespace {

using support::CallerResult;
using support::ChunkedStreamStart;
using support::ForwarderFixture;
using support::kStreamEnd;

constexpr const char* kEvent1 = "id: 1\ndata: a\n\n";
constexpr const char* kEvent2 = "id: 2\ndata: b\n\n";
// The stream ends inside its second event, and its connection stays open.
constexpr const char* kCutEvents = "id: 1\ndata: a\n\nid: 2\nda";
constexpr const char* kRefusal =
    "HTTP/1.1 503 X\r\nRequest-Id: id1\r\nNot-Executed: 1\r\n"
    "Content-Length: 0\r\n\r\n";
constexpr core::Duration kLater = core::milliseconds(30);

enum class When : uint8_t {
  // In one packet with the first answer.
  kWithFirst,
  // In answer to the send that resumes the stream, in one packet with its
  // answer.
  kWithSecond,
  // In answer to that send, whose own answer follows later.
  kBeforeSecond,
};

struct CopyCase {
  std::string copy;
  When when;
};

// An endpoint with two ids, whose stream ends inside an event.
class Endpoint {
 public:
  Endpoint(ForwarderFixture* fixture, const CopyCase& row)
      : fixture_(fixture), row_(row) {
    fixture->first.SetResponder(
        [this](const std::string& text) { return Respond(text); });
    fixture->Register("e2", fixture->first, "ready");
  }

  int sends() const { return sends_; }
  int resumed() const { return resumed_; }

 private:
  std::string Respond(const std::string& text) {
    ++sends_;
    if (text.find("Last-Event-Id: 1\r\n") == std::string::npos) {
      std::string answer = ChunkedStreamStart(kCutEvents) + kStreamEnd;
      return row_.when == When::kWithFirst ? answer + row_.copy : answer;
    }
    ++resumed_;
    std::string answer = ChunkedStreamStart(kEvent2) + kStreamEnd;
    is_resumed_on_first_ = fixture_->first.open() == 1;
    if (!is_resumed_on_first_ || row_.when == When::kWithFirst) {
      // The copy comes on no other connection than that of the first send.
      return answer;
    }
    if (row_.when == When::kWithSecond) {
      return row_.copy + answer;
    }
    later_ = fixture_->loop.NewTimer(
        [this, answer] { fixture_->first.WriteToAll(answer); });
    later_->StartOnce(kLater);
    return row_.copy;
  }

  ForwarderFixture* const fixture_;
  const CopyCase row_;
  int sends_ = 0;
  int resumed_ = 0;
  bool is_resumed_on_first_ = false;
  std::unique_ptr<core::Timer> later_;
};

TEST_CASE("no answer to the first send of a stream resumes it") {
  const std::string stream = ChunkedStreamStart(kEvent1) + kStreamEnd;
  const std::string cut = ChunkedStreamStart(kCutEvents) + kStreamEnd;
  for (const std::string& copy : {stream, cut, std::string(kRefusal)}) {
    for (const When when :
         {When::kWithFirst, When::kWithSecond, When::kBeforeSecond}) {
      INFO(static_cast<int>(when) << " " << copy);
      ForwarderFixture it({.is_first_start = true});
      Endpoint endpoint(&it, {.copy = copy, .when = when});
      it.Configure();
      const CallerResult result = it.Get("/resumable/1");
      CHECK(result.status == 200);
      CHECK(result.body == fmt::format("{}{}", kEvent1, kEvent2));
      CHECK(result.end == http::OriginOutcome::kComplete);
      CHECK(endpoint.sends() == 2);
      CHECK(endpoint.resumed() == 1);
    }
  }
}

}  // namespace
}  // namespace wasabi::forwarder
