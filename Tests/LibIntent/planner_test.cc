#include "LibIntent/planner.h"

#include <catch2/catch.hpp>
#include <fstream>
#include <sstream>
#include <string>
#include <vector>

#include "LibCore/result_code.h"
#include "LibCore/text.h"

namespace wasabi::intent {
namespace {

constexpr const char* kSmallDeployment =
    "[intent]\nkind = deployment\ndeployment = salazar\n"
    "[model luthier]\npool = models\nload_bound = 1.25\n"
    "[service holds]\npool = counter\n"
    "[organisation coro]\nweight = 1\n"
    "[organisation banda]\nweight = 3\n";

Intent Parse(const std::string& text) {
  absl::StatusOr<Intent> intent = ParseIntent(text, "test.ini");
  INFO(intent.status());
  REQUIRE(intent.ok());
  return *intent;
}

Plan MakePlanOf(const std::string& text,
                const ConfigurationFold& fold,
                const std::string& id = "plan",
                const PoolMembers& pools = {}) {
  absl::StatusOr<Plan> plan =
      MakePlan({id, "marisol", Parse(text)}, fold, pools);
  INFO(plan.status());
  REQUIRE(plan.ok());
  return *plan;
}

FoldOutcome Confirm(const Plan& plan, ConfigurationFold* fold) {
  const std::string body =
      EncodeRecord(plan.ToRecord({"writer", fold->revision() + 1}));
  return fold->Apply({fold->revision() + 1, body}).outcome;
}

ConfigurationFold FoldOf(const std::string& text) {
  ConfigurationFold fold;
  REQUIRE(Confirm(MakePlanOf(text, fold, "first"), &fold) ==
          FoldOutcome::kApplied);
  return fold;
}

std::string ReadFile(const std::string& path) {
  std::ifstream file(path);
  std::stringstream text;
  text << file.rdbuf();
  return text.str();
}

TEST_CASE("the example deployments parse with the expected sizes") {
  struct Case {
    const char* file;
    const char* deployment;
    size_t models;
    size_t services;
    size_t organisations;
    const char* non_repeatable_service;
  };
  const std::vector<Case> cases = {
      {"salazar.ini", "salazar", 1, 3, 10, "holds"},
      {"mwangaza.ini", "mwangaza", 1, 3, 10, "transfer-credit"},
  };
  for (const Case& it : cases) {
    CAPTURE(it.file);
    const ConfigurationFold fold =
        FoldOf(ReadFile(fmt::format("{}/{}", WASABI_EXAMPLES_DIR, it.file)));
    const Deployment& deployment =
        fold.configuration().deployments.at(core::DeploymentId(it.deployment));
    CHECK(deployment.models.size() == it.models);
    CHECK(deployment.services.size() == it.services);
    CHECK(deployment.organisations.size() == it.organisations);
    CHECK_FALSE(
        deployment.services.at(it.non_repeatable_service).is_repeatable);
  }
}

TEST_CASE("an invalid intent is refused with an error that names the fault") {
  struct Case {
    const char* text;
    const char* message;
  };
  const std::vector<Case> cases = {
      {"", "[intent] kind is required"},
      {"[intent]\nkind = grow\n", "kind = grow is not known"},
      {"[intent]\nkind = drain\n", "[intent] endpoint is required"},
      {"[intent]\nkind = drain\nendpoint =\n", "endpoint is empty"},
      {"[intent]\nkind = drain\nendpoint = e\nmodel = m\n",
       "unknown key model"},
      {"[intent]\nkind = load_bound\ndeployment = d\nmodel = m\n"
       "load_bound = 0.5\n",
       "a number from 1 to 10"},
      {"[intent]\nkind = organisation\norganisation = o\n", "neither weight"},
      {"[intent]\nkind = organisation\norganisation = o\nweight = -1\n",
       "weight = -1 is out of range"},
      {"[intent]\nkind = wanted_state\nendpoint = e\nmodel = m\nrole = idle\n",
       "role = idle is not known"},
      {"[intent]\nkind = deployment\ndeployment = a/b\n", "no \"/\""},
      {"[intent]\nkind = deployment\ndeployment = d\n[model m]\npool = p\n"
       "strategy = luck\n",
       "strategy = luck is not known"},
      {"no INI", "not INI"},
  };
  for (const Case& it : cases) {
    CAPTURE(it.text);
    const absl::StatusOr<Intent> intent = ParseIntent(it.text, "test.ini");
    REQUIRE_FALSE(intent.ok());
    CHECK(core::CodeOf(intent.status()) == core::ResultCode::kInvalidIntent);
    CHECK_THAT(core::MessageOf(intent.status()), Catch::Contains(it.message));
  }
}

TEST_CASE("an intent that refers to something unknown or foreign is refused") {
  const ConfigurationFold fold = FoldOf(kSmallDeployment);
  const std::vector<std::string> texts = {
      "[intent]\nkind = load_bound\ndeployment = salazar\nmodel = other\n"
      "load_bound = 2\n",
      "[intent]\nkind = organisation\norganisation = other\nweight = 2\n",
      "[intent]\nkind = deployment\ndeployment = other\n"
      "[organisation coro]\nweight = 2\n",
  };
  for (const std::string& text : texts) {
    CAPTURE(text);
    const absl::StatusOr<Plan> plan =
        MakePlan({"plan", "marisol", Parse(text)}, fold, {});
    CHECK(core::CodeOf(plan.status()) == core::ResultCode::kInvalidIntent);
  }
}

TEST_CASE("a plan for the current configuration has no changes") {
  const ConfigurationFold fold = FoldOf(kSmallDeployment);
  const Plan plan = MakePlanOf(kSmallDeployment, fold);
  CHECK(plan.changes.empty());
  CHECK(plan.effects.empty());
  CHECK_FALSE(plan.base.empty());
}

TEST_CASE("items that a deployment intent does not list are removed") {
  ConfigurationFold fold = FoldOf(kSmallDeployment);
  const Plan plan = MakePlanOf(
      "[intent]\nkind = deployment\ndeployment = salazar\n"
      "[model luthier]\npool = models\n",
      fold);
  CHECK(Confirm(plan, &fold) == FoldOutcome::kApplied);
  const Deployment& deployment =
      fold.configuration().deployments.at(core::DeploymentId("salazar"));
  CHECK(deployment.models.size() == 1);
  CHECK(deployment.services.empty());
  CHECK(deployment.organisations.empty());
}

TEST_CASE("plans conflict only if they involve the same item") {
  const std::string bound =
      "[intent]\nkind = load_bound\ndeployment = salazar\nmodel = luthier\n"
      "load_bound = 2\n";
  const std::string weight =
      "[intent]\nkind = organisation\norganisation = coro\nweight = 2\n";
  const std::string drain = "[intent]\nkind = drain\nendpoint = e\n";
  const std::string whole =
      std::string(kSmallDeployment) + "[organisation third]\nweight = 1\n";
  const std::string whole_other =
      std::string(kSmallDeployment) + "[organisation fourth]\nweight = 1\n";
  struct Case {
    std::string winner;
    std::string loser;
    FoldOutcome outcome;
  };
  const std::vector<Case> cases = {
      {bound, bound, FoldOutcome::kConflict},
      {bound, weight, FoldOutcome::kApplied},
      {bound, whole, FoldOutcome::kConflict},
      {whole, whole_other, FoldOutcome::kConflict},
      {whole, bound, FoldOutcome::kApplied},
      {drain, whole, FoldOutcome::kApplied},
      {drain, drain, FoldOutcome::kConflict},
  };
  for (const Case& it : cases) {
    CAPTURE(it.winner, it.loser);
    ConfigurationFold fold = FoldOf(kSmallDeployment);
    const Plan winner = MakePlanOf(it.winner, fold, "winner");
    const Plan loser = MakePlanOf(it.loser, fold, "loser");
    CHECK(Confirm(winner, &fold) == FoldOutcome::kApplied);
    CHECK(Confirm(loser, &fold) == it.outcome);
  }
}

TEST_CASE("effects name the affected share of chats, load and caches") {
  const ConfigurationFold fold = FoldOf(kSmallDeployment);
  PoolMembers pools;
  for (int i = 0; i < 9; ++i) {
    pools[core::PoolId("models")].insert(fmt::format("runner-{}", i));
  }
  pools[core::PoolId("single")].insert("alone");
  struct Case {
    std::string text;
    std::string effect;
  };
  const std::vector<Case> cases = {
      {DrainIntentText("runner-1", true), "11.1 % of the chats of models"},
      {DrainIntentText("runner-1", true), "grows by 12.5 %"},
      {DrainIntentText("alone", true), "last endpoint of single"},
      {DrainIntentText("stranger", true), "not in the host list"},
      {"[intent]\nkind = organisation\norganisation = coro\nweight = 3\n",
       "goes from 25.0 % to 50.0 %"},
      {"[intent]\nkind = wanted_state\nendpoint = runner-1\nmodel = luthier\n"
       "version = 2\n",
       "loses its cache"},
      {"[intent]\nkind = load_bound\ndeployment = salazar\nmodel = luthier\n"
       "load_bound = 2\n",
       "ceil(2 x mean) instead of ceil(1.25 x mean)"},
  };
  for (const Case& it : cases) {
    CAPTURE(it.text);
    const Plan plan = MakePlanOf(it.text, fold, "plan", pools);
    REQUIRE(plan.effects.size() == 1);
    CHECK_THAT(plan.effects[0], Catch::Contains(it.effect));
  }
}

}  // namespace
}  // namespace wasabi::intent
