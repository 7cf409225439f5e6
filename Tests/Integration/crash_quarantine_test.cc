// Checks that a request that crashes endpoints crashes at most two of them, no
// matter how often it is resent and through which host. Its caller receives an
// immediate error, and concurrent requests receive their complete answers.

#include <algorithm>
#include <catch2/catch.hpp>
#include <string>
#include <vector>

#include "LibCore/result_code.h"
#include "LibCore/text.h"
#include "Tests/Support/Fleet/http_probe.h"
#include "Tests/Support/Scenario/scenario.h"
#include "Tests/Support/http_replies.h"

namespace wasabi::support {
namespace {

using nlohmann::json;

constexpr uint64_t kSeed = 23;
constexpr const char* kMarker = "strings of unobtainable gut";
constexpr size_t kMaxLostEndpoints = 2;
constexpr int kRounds = 3;
// A suspected request runs alone, so it is queued until its runner is idle.
constexpr core::Duration kAnswerTimeout = std::chrono::seconds(15);
constexpr core::Duration kEventTimeout = std::chrono::seconds(15);
constexpr core::Duration kLoadTimeout = std::chrono::seconds(40);

// How the fatal request is resent.
struct ResendCase {
  std::string name;
  // True if each send has a new request id and chat key. The content, and so
  // the digest, is always the same.
  bool has_new_ids = false;
};

void InjectCrash(const Fleet& fleet) {
  for (const core::SocketAddress& engine : fleet.engines()) {
    const auto response = PostNow(
        engine, "/faults", {{"kind", "crash_on_text"}, {"text", kMarker}});
    REQUIRE(response.ok());
    REQUIRE(response->status == kHttpOk);
  }
}

http::ClientRequest FatalRequest(const Fleet& fleet,
                                 const core::SocketAddress& router,
                                 int id) {
  const DeploymentProfile& deployment = fleet.options().deployment;
  const json message = {{"role", "user"}, {"content", kMarker}};
  const json body = {{"model", deployment.model},
                     {"messages", json::array({message})},
                     {"stream", false},
                     {"max_tokens", 20}};
  http::ClientRequest request;
  request.method = "POST";
  request.address = router;
  request.target = "/v1/chat/completions";
  request.total_timeout = kAnswerTimeout;
  request.headers = {
      {std::string(http::kOrganisationHeader), deployment.organisation},
      {std::string(http::kRequestIdHeader), fmt::format("fatal-{}", id)},
      {std::string(http::kChatKeyHeader), fmt::format("fatal-chat-{}", id)}};
  request.body = body.dump();
  return request;
}

bool IsRunning(const core::SocketAddress& engine) {
  return GetNow(engine, "/v1/healthz").ok();
}

// Returns the names of the engines that no longer respond.
std::vector<std::string> LostEngines(const Fleet& fleet) {
  const Fleet::Addresses engines = fleet.engines();
  std::vector<std::string> lost;
  for (size_t i = 0; i < engines.size(); ++i) {
    if (!IsRunning(engines[i])) {
      lost.push_back(fmt::format("engine-{}", i + 1));
    }
  }
  return lost;
}

// Waits until every engine runs a request that a crash would interrupt.
void WaitForLoad(const Fleet& fleet) {
  for (const core::SocketAddress& engine : fleet.engines()) {
    const bool is_loaded = WaitUntil(
        [&] {
          const auto report = GetNow(engine, "/v1/load");
          return report.ok() &&
                 ParseObject(report->body).value("running", 0) > 0;
        },
        kEventTimeout);
    REQUIRE(is_loaded);
  }
}

TEST_CASE("a request that crashes endpoints crashes at most two of them") {
  const ResendCase row =
      GENERATE(ResendCase{"resends of one request", false},
               ResendCase{"a new request for each send", true});
  FleetOptions options = SmallFleetOptions();
  options.seed = kSeed;
  const auto created = Scenario::Create(options);
  INFO(row.name << ", seed " << kSeed << ": " << created.status().ToString());
  REQUIRE(created.ok());
  Scenario& scenario = **created;
  Fleet& fleet = scenario.fleet();

  ScenarioLoad load;
  load.duration = std::chrono::seconds(4);
  load.seed = kSeed;
  load.more_settings = "[chats]\nanswer_tokens_min = 80\n";
  REQUIRE(scenario.StartLoad(load).ok());
  WaitForLoad(fleet);
  InjectCrash(fleet);

  int id = 0;
  for (int round = 0; round < kRounds; ++round) {
    for (const core::SocketAddress& router : fleet.routers()) {
      id += row.has_new_ids ? 1 : 0;
      const auto response = FetchNow(FatalRequest(fleet, router, id));
      INFO("round " << round << ", " << response.status().ToString());
      REQUIRE(response.ok());
      INFO(response->body);
      CHECK(response->headers.Get(http::kResultCodeHeader) ==
            std::to_string(static_cast<int>(core::ResultCode::kQuarantined)));
      CHECK_FALSE(response->headers.Get(http::kRetryAfterHeader).empty());
    }
  }
  const auto result = scenario.FinishLoad(kLoadTimeout);
  INFO(result.status().ToString());
  REQUIRE(result.ok());

  const std::vector<std::string> lost = LostEngines(fleet);
  INFO(scenario.LoadOutput());
  INFO(fmt::format("lost: {}", fmt::join(lost, ", ")));
  INFO(scenario.TimeLine());
  CHECK_FALSE(lost.empty());
  CHECK(lost.size() <= kMaxLostEndpoints);
  CHECK(result->at("whole_answers") == result->at("requests"));
  CHECK(result->at("wrong_answers") == 0);
  CHECK(result->at("lost") == 0);
}

TEST_CASE("a request that crashed the only endpoint does not receive not_run") {
  FleetOptions options = SmallFleetOptions();
  options.engines = 1;
  const auto scenario = Scenario::Create(options);
  INFO(scenario.status().ToString());
  REQUIRE(scenario.ok());
  const Fleet& fleet = (*scenario)->fleet();
  InjectCrash(fleet);
  const auto response =
      FetchNow(FatalRequest(fleet, fleet.routers().front(), 1));
  INFO(response.status().ToString());
  REQUIRE(response.ok());
  INFO(response->body);
  INFO((*scenario)->TimeLine());
  CHECK(response->headers.Get(http::kResultCodeHeader) ==
        std::to_string(static_cast<int>(core::ResultCode::kAnswerTruncated)));
}

}  // namespace
}  // namespace wasabi::support
