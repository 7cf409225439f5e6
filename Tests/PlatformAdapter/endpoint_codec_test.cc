#include "platform/endpoint_codec.h"

#include <catch2/catch.hpp>
#include <optional>
#include <string>
#include <vector>

#include "platform/configuration_codec.h"

namespace wasabi::adapter {
namespace {

using forwarding::AttemptVerdict;
using Fields = std::vector<http::Headers::Field>;

struct Fixture {
  Fixture() {
    request.id = core::RequestId("id1");
    request.organisation = core::OrganisationId("t1");
    request.priority = 12;
    request.route = &route;
    request.method = "POST";
    request.target = "/x?y=%41";
    request.headers.Add("Request-Id", "id1");
    endpoint.id = core::RunnerId("e1");
  }

  // Returns whose answer a response with this head is, on a connection on which
  // the request was sent last.
  http::ResponseMatch Match(const http::MessageHead& head,
                            bool is_reused = false) {
    http::SendLedger sends;
    if (is_reused) {
      REQUIRE(sends.Begin("id0").has_value());
    }
    REQUIRE(sends.Begin(request.id.value()).has_value());
    return sends.Match(head, codec.ClaimIn(head));
  }

  // Returns the head as the answer to a send.
  static http::AnswerHead AnswerWith(const http::MessageHead& head) {
    http::SendLedger sends;
    REQUIRE(sends.Begin("").has_value());
    return *sends.Match(head, {}).answer;
  }

  forwarding::Route route;
  forwarding::ForwardRequest request;
  forwarding::Endpoint endpoint;
  core::EventRing events{"test", 100};
  EndpointCodec codec{std::make_shared<InvalidHeaderLog>(&events)};
};

TEST_CASE("an attempt carries its endpoint, organisation and remaining time") {
  Fixture it;
  it.route.has_prompt_affinity = true;
  const http::OriginRequest origin = it.codec.Encode(
      it.request, it.endpoint,
      {.remaining = core::milliseconds(1234), .resume_after = 5});
  CHECK(origin.target == "/x?y=%41");
  CHECK(origin.headers.fields() == Fields{{"Request-Id", "id1"},
                                          {"Deadline-Ms", "1234"},
                                          {"Expect-Instance", "e1"},
                                          {"Tenant", "t1"},
                                          {"Last-Event-Id", "5"},
                                          {"Request-Priority", "9"}});
}

TEST_CASE("an attempt carries the address to copy the prompt from") {
  Fixture it;
  const http::OriginRequest origin = it.codec.Encode(
      it.request, it.endpoint,
      {.prompt_source = *core::SocketAddress::Parse("10.0.0.1:80")});
  CHECK(origin.headers.Get("Kv-Fetch") == "10.0.0.1:80");
}

TEST_CASE("a request without an organisation has no Tenant header") {
  Fixture it;
  it.request.organisation = core::OrganisationId();
  const http::OriginRequest origin =
      it.codec.Encode(it.request, it.endpoint, {});
  CHECK_FALSE(origin.headers.Find("Tenant").has_value());
  // At 0 the endpoint would abort the request immediately.
  CHECK(origin.headers.Get("Deadline-Ms") == "1");
}

struct VerdictCase {
  const char* what;
  int status;
  Fields fields;
  // nullopt if it doesn't answer the request.
  std::optional<AttemptVerdict> verdict;
};

TEST_CASE("responses are classified by status and headers") {
  const http::Headers::Field id{"Request-Id", "id1"};
  const http::Headers::Field signature{"Response-Signature", "s"};
  const http::Headers::Field not_executed{"Not-Executed", "1"};
  const VerdictCase cases[] = {
      {"success", 200, {id, signature}, AttemptVerdict::kSuccess},
      {"no Response-Signature", 200, {id}, AttemptVerdict::kInvalid},
      {"no Request-Id", 200, {signature}, std::nullopt},
      {"an encoded body",
       200,
       {id, signature, {"Content-Encoding", "gzip"}},
       AttemptVerdict::kInvalid},
      {"not executed", 503, {id, not_executed}, AttemptVerdict::kNotRun},
      {"not executed, without a Request-Id", 503, {not_executed}, std::nullopt},
      {"not executed, of another request",
       503,
       {{"Request-Id", "id0"}, not_executed},
       std::nullopt},
      {"not executed, of two requests",
       503,
       {id, {"Request-Id", "id0"}, not_executed},
       std::nullopt},
      {"misdirected to another endpoint",
       421,
       {id, not_executed},
       AttemptVerdict::kNotRun},
      {"421 without Not-Executed", 421, {id}, AttemptVerdict::kInvalid},
      {"misdirected, without a Request-Id", 421, {}, std::nullopt},
      {"503 without Not-Executed", 503, {id}, AttemptVerdict::kInvalid},
      {"429 without Not-Executed", 429, {id}, AttemptVerdict::kInvalid},
      {"408 without Not-Executed", 408, {id}, AttemptVerdict::kInvalid},
      {"a server error", 500, {id, signature}, AttemptVerdict::kFailure},
      {"deadline exceeded at the endpoint",
       504,
       {id, signature},
       AttemptVerdict::kFailure},
      {"a bad request", 400, {id}, AttemptVerdict::kFinal},
      {"not found, from a server that is no endpoint", 404, {}, std::nullopt},
      {"a server error without a Request-Id", 500, {signature}, std::nullopt},
      {"a redirect", 302, {id}, AttemptVerdict::kInvalid},
  };
  for (const VerdictCase& row : cases) {
    INFO(row.what);
    Fixture it;
    http::MessageHead head;
    head.status = row.status;
    for (const auto& [name, value] : row.fields) {
      head.headers.Add(name, value);
    }
    const http::ResponseMatch match = it.Match(head);
    REQUIRE(match.answer.has_value() == row.verdict.has_value());
    if (match.answer) {
      CHECK(it.codec.Classify(*match.answer) == *row.verdict);
    }
  }
}

TEST_CASE("a response with another Request-Id does not match the request") {
  constexpr auto kLatestSend = http::ResponseOwner::kLatestSend;
  constexpr auto kOtherSend = http::ResponseOwner::kOtherSend;
  constexpr auto kUnnamed = http::ResponseOwner::kUnnamed;
  struct Row {
    const char* what;
    Fields fields;
    http::ResponseOwner on_new_connection;
    http::ResponseOwner on_reused_connection;
  };
  const Row rows[] = {
      {"no id", {}, kUnnamed, kOtherSend},
      {"a refusal without an id",
       {{"Not-Executed", "1"}},
       kOtherSend,
       kOtherSend},
      {"the id", {{"request-id", "id1"}}, kLatestSend, kLatestSend},
      {"another id", {{"Request-Id", "id2"}}, kOtherSend, kOtherSend},
      {"an empty id", {{"Request-Id", ""}}, kOtherSend, kOtherSend},
      {"the id twice",
       {{"Request-Id", "id1"}, {"request-id", "id1"}},
       kLatestSend,
       kLatestSend},
      {"the id, then another one",
       {{"Request-Id", "id1"}, {"Request-Id", "id2"}},
       kOtherSend,
       kOtherSend},
      {"another id, then the id",
       {{"Request-Id", "id2"}, {"Request-Id", "id1"}},
       kOtherSend,
       kOtherSend},
  };
  for (const Row& row : rows) {
    INFO(row.what);
    Fixture it;
    http::MessageHead head;
    for (const auto& [name, value] : row.fields) {
      head.headers.Add(name, value);
    }
    CHECK(it.Match(head).owner == row.on_new_connection);
    CHECK(it.Match(head, true).owner == row.on_reused_connection);
  }
}

struct NoticeCase {
  const char* what;
  int status;
  Fields fields;
  // nullopt if the answer is another endpoint's.
  std::optional<forwarding::EndpointNotice> notice;
  bool is_logged;
};

TEST_CASE("an answer tells what its endpoint wants") {
  const http::Headers::Field leaving{"Server-Leaving", "1"};
  const auto pause = [](const char* text) {
    return Fields{{"Retry-After", text}};
  };
  const auto limit = [](const char* text) {
    return Fields{{"Server-Limit", text}};
  };
  const forwarding::EndpointNotice nothing;
  const auto is_leaving = forwarding::EndpointNotice{.is_leaving = true};
  const auto pauses = [](core::Duration pause) {
    return forwarding::EndpointNotice{.pause = pause};
  };
  const auto accepts = [](double per_second) {
    return forwarding::EndpointNotice{.max_per_second = per_second};
  };
  const auto load = [](const char* text) {
    return Fields{{"Server-Load", text}};
  };
  const auto loaded = [](const forwarding::EndpointLoadNotice& load) {
    return forwarding::EndpointNotice{.load = load};
  };
  const auto cold = [](const char* text) { return Fields{{"Cold-Ms", text}}; };
  const auto is_cold =
      forwarding::EndpointNotice{.cold_left = core::milliseconds(1500)};
  const NoticeCase cases[] = {
      {"nothing", 200, {}, nothing, false},
      {"it is leaving", 200, {leaving}, is_leaving, false},
      {"leaving with a refusal",
       503,
       {leaving, {"Not-Executed", "1"}},
       is_leaving,
       false},
      {"another endpoint at the same address is leaving",
       421,
       {leaving, {"Server-Limit", "3"}},
       std::nullopt,
       false},
      {"not leaving", 200, {{"Server-Leaving", "0"}}, nothing, false},
      {"a pause", 503, pause("2"), pauses(core::seconds(2)), false},
      {"a pause with a fraction", 503, pause("0.25"),
       pauses(core::milliseconds(250)), false},
      {"Retry-After of another status", 429, pause("2"), nothing, false},
      {"a date", 503, pause("Fri, 04 Dec 2026 08:00:00 GMT"), nothing, true},
      {"a negative pause", 503, pause("-1"), nothing, true},
      {"over a minute", 503, pause("90"), pauses(core::seconds(90)), false},
      {"a week", 503, pause("604800"), pauses(std::chrono::hours(24)), false},
      {"more than a time can hold", 503, pause("1e300"),
       pauses(std::chrono::hours(24)), false},
      {"not a number", 503, pause("nan"), nothing, true},
      {"a limit", 200, limit("3.75"), accepts(3.75), false},
      {"a limit of a refusal", 503, limit("12"), accepts(12), false},
      {"a limit of nothing is asked after", 200, limit("0"), accepts(0.05),
       false},
      {"a negative limit", 200, limit("-3"), nothing, true},
      {"a limit without end", 200, limit("inf"), nothing, true},
      {"cold", 200, cold("1500"), is_cold, false},
      {"cold no more", 200, cold("0"), nothing, false},
      {"cold for a negative time", 200, cold("-1"), nothing, true},
      {"cold for hours", 200, cold("7200000"), nothing, true},
      {"cold for a time that is no number", 200, cold("nan"), nothing, true},
      {"a limit that is no number", 200, limit("3 per s"), nothing, true},
      {"a load", 200, load("3, 1, 32"),
       loaded({.running = 3, .waiting = 1, .slots = 32}), false},
      {"a load with the machine's speed", 200, load("3,1,32,350"),
       loaded({.running = 3, .waiting = 1, .slots = 32, .machine_pace = 3.5}),
       false},
      {"a load of two figures", 200, load("3,1"), nothing, true},
      {"a load that is no number", 200, load("3,x,32"), nothing, true},
      {"a speed of zero", 200, load("3,1,32,0"), nothing, true},
  };
  for (const NoticeCase& row : cases) {
    INFO(row.what);
    Fixture it;
    http::MessageHead head;
    head.status = row.status;
    for (const auto& [name, value] : row.fields) {
      head.headers.Add(name, value);
    }
    const http::AnswerHead answer = Fixture::AnswerWith(head);
    CHECK(it.codec.NoticeIn(answer) == row.notice);
    CHECK(it.codec.NoticeIn(answer) == row.notice);
    CHECK(it.events.Since(0).size() == (row.is_logged ? 1 : 0));
  }
}

TEST_CASE("a configuration states how its endpoints warm up") {
  struct Row {
    const char* fields;
    core::Duration warm_up;
    double per_second;
  };
  const Row rows[] = {
      {R"(,"warmup_s":3.0,"cold_per_s":14.0)", core::seconds(3), 14},
      {R"(,"warmup_s":0,"cold_per_s":0)", {}, 0},
      {R"(,"warmup_s":-3,"cold_per_s":-1)", {}, 0},
      {R"(,"warmup_s":"3","cold_per_s":[14])", {}, 0},
      {"", {}, 0}};
  for (const Row& row : rows) {
    INFO(row.fields);
    const auto table = DecodeConfiguration(
        std::string(R"({"version":7,"routes":[],"services":[{"name":"p")") +
        row.fields + "}]}");
    REQUIRE(table.ok());
    const forwarding::Pool* pool = (*table)->FindPool(core::PoolId("p"));
    CHECK(pool->warm_up == row.warm_up);
    CHECK(pool->cold_per_second == row.per_second);
  }
}

TEST_CASE("a malformed configuration is an error") {
  for (const char* text :
       {"", "{", "[]", R"({"version":"7"})",
        R"({"version":7,"routes":[{"name":"x"}],"services":[]})",
        // A route must have a service to which its requests are sent.
        R"({"version":7,"services":[],"routes":[{"name":"x","hostname":"h",
            "path_prefix":"/","kind":"safe"}]})"}) {
    INFO(text);
    CHECK_FALSE(DecodeConfiguration(text).ok());
  }
}

}  // namespace
}  // namespace wasabi::adapter
