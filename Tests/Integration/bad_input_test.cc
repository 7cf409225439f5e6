// Sends bad input to every input of a router. Each bad request must receive an
// error with a result code, each bad input must be counted, no process may
// crash, and concurrent valid requests must succeed.

#include <sys/socket.h>
#include <unistd.h>

#include <catch2/catch.hpp>
#include <sstream>

#include "LibCore/result_code.h"
#include "LibCore/text.h"
#include "Tests/Support/Fleet/http_probe.h"
#include "Tests/Support/Scenario/bystander.h"
#include "Tests/Support/Scenario/keyed_calls.h"
#include "Tests/Support/Scenario/scenario.h"
#include "Tests/Support/http_replies.h"

namespace wasabi::support {
namespace {

using core::ResultCode;

constexpr core::Duration kCountTimeout = std::chrono::seconds(10);
// Exceeds the limit of 4 MiB for a request body.
constexpr size_t kOversizedBytes = 5U << 20U;
// Exceeds the limit of 8 KiB for all headers of a request.
constexpr size_t kLongHeaderBytes = 12U << 10U;
constexpr size_t kNestedLists = 1U << 20U;
constexpr size_t kOversizedDatagramBytes = 4000;

constexpr const char* kChatTarget = kSmallChatTarget;
constexpr const char* kServiceTarget = "/v1/services/holds/place";
constexpr const char* kGoodChat = kSmallChat;

FleetOptions OneRouter() {
  FleetOptions options = SmallFleetOptions();
  options.entries = 1;
  options.engines = 1;
  options.services = 1;
  // These callers cache no host list. A short lifetime of the host lists that
  // routers return keeps a graceful shutdown short.
  options.router_settings["callers"]["host_answer_lifetime_ms"] = "500";
  return options;
}

absl::StatusOr<http::ClientResponse> Post(const core::SocketAddress& router,
                                          const std::string& target,
                                          const http::Headers& headers,
                                          const std::string& body) {
  http::ClientRequest request;
  request.method = "POST";
  request.address = router;
  request.target = target;
  request.headers = headers;
  request.body = body;
  return FetchNow(request);
}

http::Headers Organisation() {
  return {{std::string(http::kOrganisationHeader), "quito-schools"}};
}

http::Headers OrganisationAnd(const std::string& name,
                              const std::string& value) {
  http::Headers headers = Organisation();
  headers.Add(name, value);
  return headers;
}

// Returns the value of a counter or gauge from GET /metrics, or 0 if it is
// missing.
double Metric(const core::SocketAddress& router, const std::string& name) {
  const auto response = GetNow(router, "/metrics");
  if (!response.ok()) {
    return 0;
  }
  std::istringstream lines(response->body);
  for (std::string line; std::getline(lines, line);) {
    const std::string prefix = "wasabi_" + name + " ";
    if (line.starts_with(prefix)) {
      return core::ParseNumber<double>(line.substr(prefix.size())).value_or(0);
    }
  }
  return 0;
}

// A bad request and the result code that the router must return for it.
struct BadRequest {
  std::string name;
  std::string target;
  http::Headers headers;
  std::string body;
  ResultCode code;
};

std::string DeeplyNestedChat() {
  return R"({"model":"luthier","messages":[{"role":"user","content":"?"}],"x":)" +
         std::string(kNestedLists, '[') + std::string(kNestedLists, ']') + "}";
}

std::vector<BadRequest> BadRequests() {
  const std::string key(http::kIdempotencyKeyHeader);
  const std::string deadline(http::kDeadlineHeader);
  const std::string request_id(http::kRequestIdHeader);
  const std::string organisation(http::kOrganisationHeader);
  return {
      {"oversized body", kChatTarget, Organisation(),
       std::string(kOversizedBytes, 'x'), ResultCode::kRequestTooLarge},
      {"long header", kChatTarget,
       OrganisationAnd("X-Long", std::string(kLongHeaderBytes, 'x')), kGoodChat,
       ResultCode::kRequestTooLarge},
      {"broken JSON", kChatTarget, Organisation(), R"({"model":"luthier",)",
       ResultCode::kMalformedRequest},
      {"not UTF-8", kChatTarget, Organisation(), "{\"model\":\"\xff\xfe\"}",
       ResultCode::kMalformedRequest},
      {"empty body", kChatTarget, Organisation(), "",
       ResultCode::kMalformedRequest},
      {"a list as the body", kChatTarget, Organisation(), "[1,2]",
       ResultCode::kMalformedRequest},
      {"no messages", kChatTarget, Organisation(), R"({"model":"luthier"})",
       ResultCode::kMalformedRequest},
      {"messages of another type", kChatTarget, Organisation(),
       R"({"model":"luthier","messages":[7]})", ResultCode::kMalformedRequest},
      {"a negative max_tokens", kChatTarget, Organisation(),
       R"({"model":"luthier","messages":[{"role":"user","content":"?"}],)"
       R"("max_tokens":-1})",
       ResultCode::kMalformedRequest},
      {"deeply nested JSON", kChatTarget, Organisation(), DeeplyNestedChat(),
       ResultCode::kMalformedRequest},
      {"deadline that is no number", kChatTarget,
       OrganisationAnd(deadline, "soon"), kGoodChat,
       ResultCode::kMalformedRequest},
      {"request id with other characters", kChatTarget,
       OrganisationAnd(request_id, "a b\"c"), kGoodChat,
       ResultCode::kMalformedRequest},
      {"no organisation",
       kChatTarget,
       {},
       kGoodChat,
       ResultCode::kUnknownOrganisation},
      {"unknown organisation",
       kChatTarget,
       {{organisation, "nobody"}},
       kGoodChat,
       ResultCode::kUnknownOrganisation},
      {"unknown model", kChatTarget, Organisation(),
       R"({"model":"nothing","messages":[{"role":"user","content":"?"}]})",
       ResultCode::kUnknownModel},
      {"unknown service", "/v1/services/nothing/place",
       OrganisationAnd(key, "k"), "{}", ResultCode::kUnknownService},
      {"missing idempotency key", kServiceTarget, Organisation(), "{}",
       ResultCode::kMissingIdempotencyKey},
      {"idempotency key too long", kServiceTarget,
       OrganisationAnd(key, std::string(257, 'k')), "{}",
       ResultCode::kMalformedRequest},
      {"unknown path", "/v1/nothing", Organisation(), "{}",
       ResultCode::kNoSuchResource},
  };
}

void CheckNumberedError(const http::ClientResponse& response, ResultCode code) {
  const std::string number = std::to_string(static_cast<int>(code));
  CHECK(response.status == core::Describe(code).http_status);
  CHECK(response.headers.Get(http::kResultCodeHeader) == number);
  const nlohmann::json body = ParseObject(response.body);
  REQUIRE(body.is_object());
  REQUIRE(body.contains("error"));
  CHECK(body.at("error").value("code", 0) == static_cast<int>(code));
  CHECK(body.at("error").value("name", "") == core::Describe(code).name);
  CHECK(!body.at("error").value("message", "").empty());
}

// Returns the gossip address of the only router from the platform's host list.
core::SocketAddress GossipAddress(const Fleet& fleet) {
  const auto response = GetNow(fleet.AddressOf("platform"), "/v1/hosts");
  if (response.ok()) {
    const nlohmann::json body = ParseObject(response->body);
    for (const nlohmann::json& host : body.at("hosts")) {
      if (host.value("id", "") == "entry-1") {
        return core::SocketAddress::Parse(host.value("address", "")).value();
      }
    }
  }
  return {};
}

bool SendDatagram(const core::SocketAddress& to, const std::string& datagram) {
  const int descriptor = socket(AF_INET, SOCK_DGRAM | SOCK_CLOEXEC, 0);
  const sockaddr_in native = to.ToNative();
  const ssize_t n =
      sendto(descriptor, datagram.data(), datagram.size(), 0,
             reinterpret_cast<const sockaddr*>(&native), sizeof(native));
  close(descriptor);
  return n == static_cast<ssize_t>(datagram.size());
}

struct BadDatagram {
  std::string name;
  std::string bytes;
};

std::vector<BadDatagram> BadDatagrams() {
  return {
      {"truncated within its prefix", std::string("\x01", 1)},
      {"truncated within its body", std::string("\x01\x04\x93\xa5gos", 7)},
      {"different protocol version", std::string("\x7f\x04\x90", 3)},
      {"unknown message kind", std::string("\x01\xf0\x90", 3)},
      {"load report from an unknown sender", std::string("\x01\x40\x90", 3)},
      {"HTTP request instead of a gossip message", "GET / HTTP/1.1\r\n\r\n"},
      {"too large", std::string(kOversizedDatagramBytes, '\x01')},
  };
}

std::vector<std::string> BadRecords() {
  return {"", "not a record", R"({"kind":7})", "[[[[",
          R"({"kind":"confirm","plan":null,"changes":"none"})"};
}

// Waits until the counter `name` exceeds `before` by at least `count`.
bool WaitForCount(const core::SocketAddress& router,
                  const std::string& name,
                  double before,
                  double count) {
  return WaitUntil([&] { return Metric(router, name) >= before + count; },
                   kCountTimeout);
}

TEST_CASE(
    "bad input returns a result code and does not affect other requests") {
  auto scenario = Scenario::Create(OneRouter());
  INFO(scenario.status().ToString());
  REQUIRE(scenario.ok());
  Fleet& fleet = (*scenario)->fleet();
  const core::SocketAddress router = fleet.routers().at(0);
  Bystander bystander(router);
  REQUIRE(bystander.WaitForNextAnswer());

  for (const BadRequest& it : BadRequests()) {
    INFO("request: " << it.name);
    const double before = Metric(router, "bad_requests_total");
    const auto response = Post(router, it.target, it.headers, it.body);
    INFO(response.status().ToString());
    REQUIRE(response.ok());
    CheckNumberedError(*response, it.code);
    CHECK(Metric(router, "bad_requests_total") == before + 1);
  }

  const core::SocketAddress gossip = GossipAddress(fleet);
  for (const BadDatagram& it : BadDatagrams()) {
    INFO("datagram: " << it.name);
    const double before = Metric(router, "datagrams_dropped_total");
    REQUIRE(SendDatagram(gossip, it.bytes));
    CHECK(WaitForCount(router, "datagrams_dropped_total", before, 1));
  }

  const double skipped = Metric(router, "records_skipped_total");
  for (const std::string& record : BadRecords()) {
    http::ClientRequest request;
    request.method = "POST";
    request.address = fleet.AddressOf("platform");
    request.target = "/v1/streams/configuration/records";
    request.body = record;
    const auto response = FetchNow(request);
    REQUIRE(response.ok());
    REQUIRE(response->status == kHttpOk);
  }
  CHECK(WaitForCount(router, "records_skipped_total", skipped,
                     static_cast<double>(BadRecords().size())));

  CHECK(bystander.WaitForNextAnswer());
  CHECK(bystander.answered() > 0);
  CHECK(bystander.failed() == 0);
  KeyedCalls calls(&fleet);
  CHECK(calls.Send("after-bad-input", 0, std::chrono::seconds(5)).code == 0);
  const absl::Status stopped = fleet.Stop();
  INFO(core::MessageOf(stopped));
  CHECK(stopped.ok());
}

}  // namespace
}  // namespace wasabi::support
