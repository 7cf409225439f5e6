// Regression test: an answer whose head breaks off must not reach its caller as
// a success, whatever the head has stated and however the connection ends.

#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "Tests/Support/ForwarderFixture/carried_host.h"
#include "Tests/Support/ForwarderFixture/forwarder_fixture.h"

namespace wasabi::forwarder {
namespace {

using support::CallerResult;
using support::ForwarderFixture;
using support::kClose;
using support::kReset;

const std::vector<std::string> kFramings = {"", "Content-Length: 0\r\n",
                                            "Content-Length: 2\r\n",
                                            "Transfer-Encoding: chunked\r\n"};

// Returns the parts of an answer's head at which it may break off.
std::vector<std::string> CutHeads(const std::string& framing) {
  const std::string line = "HTTP/1.1 200 X\r\n";
  const std::string fields =
      line + framing + "Request-Id: id1\r\nResponse-Signature: s\r\n";
  return {
      "HTTP/1.1 200", line,          line + framing + "Request-",
      fields,         fields + "\r", "HTTP/1.1 103 X\r\nA: b\r\n\r\n" + fields};
}

void CheckNoSuccess(ForwarderFixture& it,
                    const std::string& target,
                    const std::string& head,
                    char end) {
  INFO(target << " " << head << (end == kClose ? " closed" : " reset"));
  it.received.clear();
  it.script = {head + end, head + end};
  const CallerResult result = it.Get(target);
  REQUIRE(result.end.has_value());
  CHECK(result.status == 502);
  CHECK(result.headers.Get("Response-Signature").empty());
  CHECK(it.received.size() <= 2);
}

TEST_CASE("an answer whose head breaks off is no success") {
  for (const std::string& framing : kFramings) {
    for (const std::string& head : CutHeads(framing)) {
      for (const char end : {kClose, kReset}) {
        for (const char* target :
             {"/unsafe/1", "/safe/1", "/once/1", "/resumable/1"}) {
          ForwarderFixture it;
          it.Configure();
          CheckNoSuccess(it, target, head, end);
        }
      }
    }
  }
}

TEST_CASE("an answer through a carrier whose head breaks off is no success") {
  for (const std::string& framing : kFramings) {
    for (const char end : {kClose, kReset}) {
      support::CarriedHost host;
      CheckNoSuccess(host.fixture, "/unsafe/1", CutHeads(framing).at(3), end);
    }
  }
}

}  // namespace
}  // namespace wasabi::forwarder
