// Compares a complete session, a chat of three turns and one service call, with
// a golden file. WASABI_UPDATE_GOLDEN=1 makes the test rewrite the file.

#include <algorithm>
#include <catch2/catch.hpp>
#include <cstdlib>
#include <fstream>
#include <sstream>
#include <string>
#include <vector>

#include "LibCore/text.h"
#include "Tests/Support/Fleet/http_probe.h"
#include "Tests/Support/Scenario/scenario.h"
#include "Tests/Support/http_replies.h"

namespace wasabi::support {
namespace {

using nlohmann::json;

constexpr const char* kGoldenFile = "/Tests/Integration/golden/session.txt";
constexpr core::Duration kEventTimeout = std::chrono::seconds(15);
constexpr uint32_t kAnswerTokens = 12;
const std::vector<std::string> kQuestions = {
    "Which charango fits a child of nine?", "Is one free for carnival week?",
    "Please draft the rental contract."};

std::string ReadFile(const std::string& path) {
  std::ifstream file(path);
  std::stringstream text;
  text << file.rdbuf();
  return text.str();
}

// Sends `body`, stores the response body in `answer` and returns the text that
// is compared with the golden file.
std::string Call(const Fleet& fleet,
                 const std::string& target,
                 const std::string& request_id,
                 const http::Headers& more_headers,
                 const json& body,
                 std::string* answer) {
  http::ClientRequest request;
  request.method = "POST";
  request.address = fleet.routers().front();
  request.target = target;
  request.headers = more_headers;
  request.headers.Add(std::string(http::kOrganisationHeader),
                      fleet.options().deployment.organisation);
  request.headers.Add(std::string(http::kRequestIdHeader), request_id);
  request.body = body.dump();
  const auto response = FetchNow(request);
  INFO(request_id << ": " << response.status().ToString());
  REQUIRE(response.ok());
  *answer = response->body;
  return fmt::format("{} status={} id={}\n{}\n", target, response->status,
                     response->headers.Get(http::kRequestIdHeader),
                     response->body);
}

// Sends the three turns of the chat, the second one with a streamed answer.
std::string RunChat(const Fleet& fleet) {
  std::string session;
  json messages = json::array();
  for (size_t i = 0; i < kQuestions.size(); ++i) {
    messages.push_back({{"role", "user"}, {"content", kQuestions[i]}});
    const bool is_streamed = i == 1;
    const json body = {{"model", fleet.options().deployment.model},
                       {"messages", messages},
                       {"stream", is_streamed},
                       {"max_tokens", kAnswerTokens}};
    const http::Headers chat = {
        {std::string(http::kChatKeyHeader), "golden-chat"}};
    std::string answer;
    session += Call(fleet, "/v1/chat/completions",
                    fmt::format("golden-turn-{}", i + 1), chat, body, &answer);
    messages.push_back({{"role", "assistant"}, {"content", answer}});
  }
  return session;
}

std::string RunServiceCall(const Fleet& fleet) {
  const DeploymentProfile& deployment = fleet.options().deployment;
  const http::Headers key = {
      {std::string(http::kIdempotencyKeyHeader), "golden-hold"}};
  std::string answer;
  return Call(fleet, "/v1/services/" + deployment.service + "/place",
              "golden-call", key, {{"instrument", "tuba"}}, &answer);
}

// Returns the word of `detail` that starts with `name`=, with a leading space,
// or an empty string. Callers pass only names whose values are not addresses.
std::string FindWord(const std::string& detail, const std::string& name) {
  std::istringstream words(detail);
  for (std::string word; words >> word;) {
    if (word.starts_with(name + "=")) {
      return " " + word;
    }
  }
  return "";
}

// Returns the events of the session without times, addresses and other values
// that differ between runs.
std::string Events(const Fleet& fleet) {
  const auto response = GetNow(fleet.routers().front(), "/v1/events?from=0");
  REQUIRE(response.ok());
  const json page = ParseObject(response->body);
  std::string lines;
  for (const json& event : page.at("events")) {
    const std::string request = event.value("request_id", "");
    const std::string detail = event.value("detail", "");
    if (request.starts_with("golden-")) {
      lines +=
          fmt::format("{} {}{}{}\n", event.value("name", ""), request,
                      FindWord(detail, "runner"), FindWord(detail, "code"));
    }
  }
  return lines;
}

TEST_CASE("a complete session matches the golden file") {
  FleetOptions options = SmallFleetOptions();
  options.entries = 1;
  options.engines = 1;
  options.services = 1;
  const auto scenario = Scenario::Create(options);
  INFO(scenario.status().ToString());
  REQUIRE(scenario.ok());
  const Fleet& fleet = (*scenario)->fleet();
  std::string session = RunChat(fleet);
  session += RunServiceCall(fleet);
  const bool is_recorded = WaitUntil(
      [&] {
        return Events(fleet).find("outcome_recorded") != std::string::npos;
      },
      kEventTimeout);
  INFO((*scenario)->TimeLine());
  CHECK(is_recorded);
  session += Events(fleet);

  const std::string path = fleet.options().source_folder + kGoldenFile;
  if (std::getenv("WASABI_UPDATE_GOLDEN") != nullptr) {
    std::ofstream(path) << session;
  }
  CHECK(session == ReadFile(path));
}

}  // namespace
}  // namespace wasabi::support
