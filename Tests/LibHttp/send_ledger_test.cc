#include "LibHttp/send_ledger.h"

#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "LibCore/text.h"

namespace wasabi::http {
namespace {

TEST_CASE("a connection carries a request once at most") {
  SendLedger sends;
  CHECK(sends.MayCarry("a"));
  CHECK(sends.Begin("a").has_value());
  CHECK_FALSE(sends.MayCarry("a"));
  CHECK_FALSE(sends.Begin("a").has_value());
  CHECK(sends.Begin("b").has_value());
  // Also after others.
  CHECK_FALSE(sends.Begin("a").has_value());
  CHECK(sends.sends_of_latest_id() == 1);
}

TEST_CASE("a connection forgets none of its requests") {
  SendLedger sends;
  for (size_t i = 0; i < SendLedger::kMaxSends; ++i) {
    REQUIRE(sends.Begin(fmt::format("{}", i)).has_value());
  }
  CHECK_FALSE(sends.Begin("0").has_value());
  // It would have to forget one.
  CHECK_FALSE(sends.Begin("another").has_value());
}

TEST_CASE("a request without an id is sent any number of times") {
  SendLedger sends;
  for (size_t i = 0; i < 2 * SendLedger::kMaxSends; ++i) {
    REQUIRE(sends.Begin("").has_value());
  }
}

struct MatchCase {
  const char* what;
  // Ids of the sends, in order.
  std::vector<std::string> sends;
  // Names of the responses, in order.
  std::vector<ResponseClaim> names;
  // Whose answer the last response is.
  ResponseOwner owner;
};

TEST_CASE("a response answers the latest send only if it names it alone") {
  constexpr auto kLatestSend = ResponseOwner::kLatestSend;
  constexpr auto kOtherSend = ResponseOwner::kOtherSend;
  constexpr auto kUnnamed = ResponseOwner::kUnnamed;
  const MatchCase cases[] = {
      {"its id", {"a"}, {{{"a"}}}, kLatestSend},
      {"its id twice", {"a"}, {{{"a", "a"}}}, kLatestSend},
      {"its id, and another one", {"a"}, {{{"a", "b"}}}, kOtherSend},
      {"the id of the send before", {"a", "b"}, {{{"a"}}}, kOtherSend},
      {"the id of no send", {"a"}, {{{"c"}}}, kOtherSend},
      {"no id", {"a"}, {{}}, kUnnamed},
      {"no id, a refusal", {"a"}, {{{}, true}}, kOtherSend},
      {"no id, after a send", {"a", "b"}, {{}}, kOtherSend},
      {"no id, after a send without an id", {"", "b"}, {{}}, kOtherSend},
      {"no id, after another request's response",
       {"a"},
       {{{"c"}}, {}},
       kOtherSend},
      {"its id, after another request's response",
       {"a"},
       {{{"c"}}, {{"a"}}},
       kLatestSend},
      {"any, to a send without an id", {"a", ""}, {{{"a"}}}, kLatestSend},
  };
  for (const MatchCase& row : cases) {
    INFO(row.what);
    SendLedger sends;
    for (const std::string& it : row.sends) {
      REQUIRE(sends.Begin(it).has_value());
    }
    const MessageHead head;
    ResponseMatch match;
    for (const ResponseClaim& it : row.names) {
      match = sends.Match(head, it);
    }
    CHECK(match.owner == row.owner);
    CHECK(match.answer.has_value() == (row.owner == kLatestSend));
  }
}

}  // namespace
}  // namespace wasabi::http
