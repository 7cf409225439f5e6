#include <catch2/catch.hpp>
#include <memory>
#include <string>
#include <vector>

#include "LibCore/result_code.h"
#include "Services/Router/filter.h"
#include "Services/Router/identify_filter.h"
#include "Services/Router/parse_chat_filter.h"
#include "Services/Router/resolve_filters.h"

namespace wasabi::router {
namespace {

using core::ResultCode;

intent::ConfigurationView MakeConfiguration() {
  auto configuration = std::make_shared<intent::Configuration>();
  intent::Deployment deployment;
  deployment.models["m"].pool = core::PoolId("pool");
  deployment.organisations[core::OrganisationId("org")];
  deployment.services["holds"].pool = core::PoolId("holds");
  configuration->deployments[core::DeploymentId("d")] = deployment;
  return configuration;
}

RouterSettings MakeSettings() {
  RouterSettings settings;
  settings.host = core::HostId("h");
  settings.default_deadline = std::chrono::seconds(60);
  settings.max_deadline = std::chrono::seconds(600);
  return settings;
}

struct ChatCase {
  const char* name;
  std::vector<http::Headers::Field> headers;
  std::string body;
  ResultCode code;
};

TEST_CASE("the chat filters validate requests") {
  const std::string good =
      R"({"model":"m","messages":[{"role":"user","content":"hi"}]})";
  const http::Headers::Field org = {"X-Organisation", "org"};
  const auto it = GENERATE_COPY(
      ChatCase{"good", {org}, good, ResultCode::kOk},
      ChatCase{"no organisation", {}, good, ResultCode::kUnknownOrganisation},
      ChatCase{"unknown organisation",
               {{"x-organisation", "no"}},
               good,
               ResultCode::kUnknownOrganisation},
      ChatCase{"bad request id",
               {org, {"X-Request-Id", "a b\n"}},
               good,
               ResultCode::kMalformedRequest},
      ChatCase{"bad deadline",
               {org, {"X-Deadline-Ms", "-1"}},
               good,
               ResultCode::kMalformedRequest},
      ChatCase{"bad priority",
               {org, {"X-Priority", "first"}},
               good,
               ResultCode::kMalformedRequest},
      ChatCase{"no JSON", {org}, "{", ResultCode::kMalformedRequest},
      ChatCase{"an array", {org}, "[]", ResultCode::kMalformedRequest},
      ChatCase{"no model",
               {org},
               R"({"messages":[]})",
               ResultCode::kMalformedRequest},
      ChatCase{"no messages",
               {org},
               R"({"model":"m"})",
               ResultCode::kMalformedRequest},
      ChatCase{"a message without content",
               {org},
               R"({"model":"m","messages":[{"role":"user"}]})",
               ResultCode::kMalformedRequest},
      ChatCase{
          "too many tokens",
          {org},
          R"({"model":"m","messages":[{"role":"user","content":""}],"max_tokens":9999999})",
          ResultCode::kMalformedRequest},
      ChatCase{"unknown model",
               {org},
               R"({"model":"x","messages":[{"role":"user","content":"hi"}]})",
               ResultCode::kUnknownModel});
  INFO(it.name);
  const RouterSettings settings = MakeSettings();
  const FilterChain chain({std::make_shared<IdentifyFilter>(&settings, 1),
                           std::make_shared<ParseChatFilter>(),
                           std::make_shared<ResolveModelFilter>()});
  http::Request request;
  for (const http::Headers::Field& field : it.headers) {
    request.headers.Add(field.first, field.second);
  }
  request.body = it.body;
  RequestContext context;
  context.http = &request;
  context.configuration = MakeConfiguration();
  CHECK(core::CodeOf(chain.Apply(&context)) == it.code);
}

TEST_CASE("turns up to the last assistant message count as reusable") {
  http::Request request;
  request.body =
      R"({"model":"m","messages":[{"role":"user","content":"aaaaaaaa"},)"
      R"({"role":"assistant","content":"bbbbbbbb"},)"
      R"({"role":"user","content":"cccccccc"}],"max_tokens":7})";
  RequestContext context;
  context.http = &request;
  ParseChatFilter filter;
  REQUIRE(filter.Apply(&context).ok());
  CHECK(context.size == routing::WorkSize{18, 12, 7});
}

struct ServiceCase {
  std::string path;
  std::string key;
  ResultCode code;
};

TEST_CASE("the service filter validates calls") {
  const auto it = GENERATE(
      ServiceCase{"/v1/services/holds/stock/4", "k", ResultCode::kOk},
      ServiceCase{"/v1/services/holds", "", ResultCode::kMissingIdempotencyKey},
      ServiceCase{"/v1/services/none/x", "k", ResultCode::kUnknownService},
      ServiceCase{"/v1/services/holds/x", std::string(300, 'k'),
                  ResultCode::kMalformedRequest});
  http::Request request;
  request.path = it.path;
  request.headers.Add("Idempotency-Key", it.key);
  RequestContext context;
  context.http = &request;
  context.configuration = MakeConfiguration();
  context.deployment =
      context.configuration->DeploymentOf(core::OrganisationId("org"));
  ResolveServiceFilter filter;
  CHECK(core::CodeOf(filter.Apply(&context)) == it.code);
}

}  // namespace
}  // namespace wasabi::router
