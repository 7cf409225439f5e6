#include "platform/caller_codec.h"

#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "LibCore/result_code.h"
#include "platform/configuration_codec.h"

namespace wasabi::adapter {
namespace {

using core::ResultCode;
using forwarding::RepeatPolicy;
using Fields = std::vector<http::Headers::Field>;

constexpr const char* kConfiguration = R"({"version":7,"routes":[
  {"name":"r1","hostname":"a.test","path_prefix":"/s/","kind":"streaming",
   "timeout_ms":15000,"target_latency_ms":600,"priority":1,"attempts":2,
   "traffic_split":[{"service":"p1","weight":90},{"service":"p2","weight":10}],
   "public":false,"sticky":true,"resumable":true,"gap_aim_ms":300},
  {"name":"r2","hostname":"a.test","path_prefix":"/o/","kind":"safe",
   "timeout_ms":800,"target_latency_ms":100,"priority":2,"attempts":2,
   "service":"p3","public":true,"sticky":false,"resumable":false},
  {"name":"r3","hostname":"a.test","path_prefix":"/n/","kind":"streaming",
   "timeout_ms":800,"service":"p1","attempts":1,"resumable":false},
  {"name":"r4","hostname":"a.test","path_prefix":"/u/","kind":"unsafe",
   "timeout_ms":800,"service":"p3","attempts":1}],
 "services":[{"name":"p1","health_path":"/h","max_conns":370},
  {"name":"p2"},{"name":"p3"}],
 "limits":{"max_header_bytes":16384,"max_body_bytes":4194304,
  "header_timeout_ms":3000,"idle_timeout_ms":15000},
 "tenants":[{"name":"t1","api_keys":["k1","k2"],"priority":4},
  {"name":"t2","api_keys":["k3"]}]})";

forwarding::RouteTableView Table() {
  return *DecodeConfiguration(kConfiguration);
}

http::InboundRequest Request(const std::string& target, Fields fields) {
  http::InboundRequest request;
  request.method = "POST";
  request.target = target;
  request.body = "body";
  fields.insert(fields.begin(), {"Host", "a.test"});
  for (const auto& [name, value] : fields) {
    request.headers.Add(name, value);
  }
  return request;
}

const http::Headers::Field kId{"Request-Id", "id1"};
const http::Headers::Field kKey{"Authorization", "Bearer k2"};

struct ErrorCase {
  const char* what;
  http::InboundRequest request;
  ResultCode code;
};

TEST_CASE("each kind of invalid request gets its own error code") {
  const ErrorCase cases[] = {
      {"no matching route", Request("/x/", {kId, kKey}),
       ResultCode::kUnknownRoute},
      {"no API key", Request("/s/1", {kId}), ResultCode::kUnknownKey},
      {"an unknown API key",
       Request("/s/1", {kId, {"Authorization", "Bearer k9"}}),
       ResultCode::kUnknownKey},
      {"another authorization scheme",
       Request("/s/1", {kId, {"Authorization", "Basic k2"}}),
       ResultCode::kUnknownKey},
      {"no request id", Request("/s/1", {kKey}), ResultCode::kMalformedRequest},
      {"a deadline that is not a number",
       Request("/s/1", {kId, kKey, {"Deadline-Ms", "soon"}}),
       ResultCode::kMalformedRequest},
      {"an event id that is not a number",
       Request("/s/1", {kId, kKey, {"Last-Event-Id", "-"}}),
       ResultCode::kMalformedRequest},
      {"a prompt part without a token count",
       Request("/s/1", {kId, kKey, {"Prompt-Prefix", "ab"}}),
       ResultCode::kMalformedRequest},
  };
  for (const ErrorCase& row : cases) {
    INFO(row.what);
    const auto request = CallerCodec().Decode(row.request, Table());
    REQUIRE_FALSE(request.ok());
    CHECK(core::CodeOf(request.status()) == row.code);
  }
}

TEST_CASE("a request is decoded into typed values") {
  const auto request = CallerCodec().Decode(
      Request("/s/1?q=%20", {kId,
                             kKey,
                             {"Deadline-Ms", "1500"},
                             {"Last-Event-Id", "12"},
                             {"Token-Usage", "1460,80"},
                             {"Length-Hint", "64"},
                             {"Prompt-Prefix", "5c1e:800,91bd:410"}}),
      Table());
  REQUIRE(request.ok());
  CHECK(request->id.value() == "id1");
  CHECK(request->route->name == "r1");
  CHECK(request->organisation.value() == "t1");
  CHECK(request->priority == 4);
  CHECK(request->deadline - request->received_at == core::milliseconds(1500));
  CHECK(request->resume_after == 12U);
  CHECK(request->max_output_tokens == 80);
  CHECK(request->expected_output_tokens == 64U);
  REQUIRE(request->prompt.size() == 2);
  CHECK(request->prompt[0].tokens == 800);
  CHECK(request->target == "/s/1?q=%20");
}

TEST_CASE("reserved and hop-by-hop headers are removed from requests") {
  Fields forged = {kId,
                   kKey,
                   {"tenant", "other"},
                   {"EXPECT-INSTANCE", "i"},
                   {"Expect-Version", "1"},
                   {"Cache-Hold", "h"},
                   {"Pin-Ms", "1"},
                   {"Kv-Backup", "a"},
                   {"Kv-From", "a"},
                   {"Kv-Fetch", "a"},
                   {"Request-Priority", "0"},
                   {"Connection", "keep-alive, X-Hop"},
                   {"X-Hop", "1"},
                   {"Keep-Alive", "timeout=5"},
                   {"Transfer-Encoding", "chunked"},
                   {"Content-Length", "4"},
                   {"TE", "trailers"},
                   {"Upgrade", "h2c"}};
  Fields kept = {{"X-Own", "a"}, {"Accept-Encoding", "gzip"}, {"X-Own", "b"}};
  Fields all = forged;
  all.insert(all.end(), kept.begin(), kept.end());
  const auto request = CallerCodec().Decode(Request("/s/1", all), Table());
  REQUIRE(request.ok());
  Fields expected = {{"Host", "a.test"}, kId};
  expected.insert(expected.end(), kept.begin(), kept.end());
  CHECK(request->headers.fields() == expected);
}

TEST_CASE("a request to a public route needs no key and has no organisation") {
  const auto request = CallerCodec().Decode(Request("/o/1", {kId}), Table());
  REQUIRE(request.ok());
  CHECK(request->organisation.empty());
  CHECK(request->deadline - request->received_at == core::milliseconds(800));
}

TEST_CASE("the kind of a route determines its repeat policy") {
  struct Row {
    const char* name;
    RepeatPolicy repeat;
    bool is_stream;
  };
  const Row rows[] = {{"r1", RepeatPolicy::kResumable, true},
                      {"r2", RepeatPolicy::kIdempotent, false},
                      {"r3", RepeatPolicy::kAtMostOnce, true},
                      {"r4", RepeatPolicy::kAtMostOnce, false}};
  const auto table = Table();
  for (const Row& row : rows) {
    for (const forwarding::Route& route : table->routes()) {
      if (route.name == row.name) {
        INFO(row.name);
        CHECK(route.repeat == row.repeat);
        CHECK(route.is_stream == row.is_stream);
      }
    }
  }
  CHECK(table->version() == 7);
  CHECK(table->caller_limits().idle_timeout == core::seconds(15));
}

struct StatusCase {
  ResultCode code;
  int status;
};

TEST_CASE("an error gets 503 only if the request was not executed") {
  const StatusCase cases[] = {
      {ResultCode::kUnknownRoute, 404},     {ResultCode::kUnknownKey, 401},
      {ResultCode::kMalformedRequest, 400}, {ResultCode::kOverloaded, 503},
      {ResultCode::kDeadlineTooShort, 503}, {ResultCode::kNoEndpoint, 503},
      {ResultCode::kNoConfiguration, 503},  {ResultCode::kStopping, 503},
      {ResultCode::kQuarantined, 502},      {ResultCode::kAnswerTruncated, 502},
      {ResultCode::kMalformedAnswer, 502},  {ResultCode::kOutcomeUnknown, 502},
      {ResultCode::kDeadlineExceeded, 504},
  };
  for (const StatusCase& row : cases) {
    INFO(static_cast<int>(row.code));
    CHECK(CallerCodec().EncodeError(core::MakeStatus(row.code, "x")).status ==
          row.status);
  }
  const http::Answer refusal = CallerCodec().EncodeError(
      core::MakeRefusal(ResultCode::kOverloaded, "x", core::milliseconds(250)));
  CHECK(refusal.headers.Get("Retry-After") == "0.250");
}

}  // namespace
}  // namespace wasabi::adapter
