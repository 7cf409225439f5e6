#include "LibIntent/intent.h"

#include <algorithm>
#include <array>
#include <utility>

#include "LibCore/result_code.h"
#include "LibCore/text.h"
#include "LibCore/try.h"

namespace wasabi::intent {

namespace {

using core::SettingKind;
using core::Settings;
using core::SettingSpec;
using Schema = std::vector<SettingSpec>;

constexpr std::string_view kIntentSection = "intent";
constexpr double kMaxLoadBound = 10;
constexpr double kMaxRunning = 100000;
constexpr double kMaxTokensPerSecond = 1e9;
constexpr double kMaxWeight = 1e6;
constexpr double kMaxRequestsPerSecond = 1e7;

absl::Status MakeInvalid(std::string_view message) {
  return core::MakeStatus(core::ResultCode::kInvalidIntent, message);
}

SettingSpec TextKey(std::string section,
                    std::string key,
                    std::optional<std::string> default_value,
                    std::string description) {
  return {std::move(section),
          std::move(key),
          SettingKind::kText,
          std::move(default_value),
          0,
          0,
          std::move(description)};
}

SettingSpec KindKey() {
  return TextKey("intent", "kind", std::nullopt,
                 "The kind of the intent: deployment, load_bound, "
                 "organisation, drain, undrain, wanted_state or "
                 "forget_wanted_state.");
}

SettingSpec DeploymentKey() {
  return TextKey("intent", "deployment", std::nullopt, "The deployment name.");
}

SettingSpec EndpointKey() {
  return TextKey("intent", "endpoint", std::nullopt,
                 "The endpoint id from the host list.");
}

SettingSpec LoadBoundKey(std::string section,
                         std::optional<std::string> default_value) {
  return {std::move(section),
          "load_bound",
          SettingKind::kReal,
          std::move(default_value),
          1,
          kMaxLoadBound,
          "Maximum load of a runner as a multiple of the pool's mean."};
}

Schema DeploymentSchema() {
  return {
      KindKey(),
      DeploymentKey(),
      TextKey("model *", "pool", std::nullopt, "The pool of the runners."),
      TextKey("model *", "strategy", "owners",
              "Placement strategy; owners, or a baseline for comparison."),
      LoadBoundKey("model *", "1.25"),
      {"model *", "max_running", SettingKind::kInteger, "64", 1, kMaxRunning,
       "Maximum number of requests that run on one runner concurrently."},
      {"model *", "prefill_tokens_per_second", SettingKind::kInteger, "8000", 1,
       kMaxTokensPerSecond, "Prefill speed for uncached tokens."},
      {"model *", "miss_cost_factor", SettingKind::kReal, "1", 0.01, 1000,
       "Weight of a second of uncached prefill relative to a second of "
       "queueing."},
      TextKey("service *", "pool", std::nullopt,
              "The pool of the service's endpoints."),
      {"service *", "is_repeatable", SettingKind::kBoolean, "false", 0, 0,
       "True if a call whose outcome is unknown may be retried."},
      {"organisation *", "weight", SettingKind::kReal, "1", 0.001, kMaxWeight,
       "Share of a contended runner relative to other organisations."},
      {"organisation *", "requests_per_second", SettingKind::kReal, "0", 0,
       kMaxRequestsPerSecond,
       "Rate limit over the whole fleet; 0 means unlimited."},
  };
}

Schema LoadBoundSchema() {
  return {KindKey(), DeploymentKey(),
          TextKey("intent", "model", std::nullopt, "The model name."),
          LoadBoundKey("intent", std::nullopt)};
}

Schema OrganisationSchema() {
  return {
      KindKey(),
      TextKey("intent", "organisation", std::nullopt, "The organisation id."),
      TextKey("intent", "weight", "",
              "The new share of a contended runner; unchanged if missing."),
      TextKey("intent", "requests_per_second", "",
              "The new rate limit; unchanged if missing.")};
}

Schema EndpointSchema() {
  return {KindKey(), EndpointKey()};
}

Schema WantedStateSchema() {
  return {KindKey(),
          EndpointKey(),
          TextKey("intent", "model", std::nullopt, "The model to load."),
          TextKey("intent", "adapter", "", "The adapter; empty for none."),
          TextKey("intent", "version", "", "The version of the weights."),
          TextKey("intent", "role", "serving",
                  "The role: serving, standby or prefill.")};
}

const std::string& Get(const Settings& settings, std::string_view key) {
  return settings.Text(kIntentSection, key);
}

ModelPool ReadModel(const Settings& settings, const std::string& section) {
  ModelPool it;
  it.pool = core::PoolId(settings.Text(section, "pool"));
  it.strategy = settings.Text(section, "strategy");
  it.load_bound = settings.Real(section, "load_bound");
  it.max_running = settings.Integer(section, "max_running");
  it.prefill_tokens_per_second =
      settings.Integer(section, "prefill_tokens_per_second");
  it.miss_cost_factor = settings.Real(section, "miss_cost_factor");
  return it;
}

absl::Status CheckStrategies(const Deployment& deployment) {
  constexpr auto kStrategies = std::to_array<std::string_view>(
      {"owners", "random", "least_reported", "plain_hash", "bounded_hash"});
  for (const auto& [name, model] : deployment.models) {
    if (std::find(kStrategies.begin(), kStrategies.end(), model.strategy) ==
        kStrategies.end()) {
      return MakeInvalid(
          fmt::format("[model {}] strategy = {} is not known; allowed: {}",
                      name, model.strategy, fmt::join(kStrategies, ", ")));
    }
  }
  return absl::OkStatus();
}

absl::StatusOr<Intent> ReadDeployment(const Settings& settings) {
  ApplyDeployment it;
  it.id = core::DeploymentId(Get(settings, "deployment"));
  if (it.id.value().find('/') != std::string::npos) {
    return MakeInvalid("a deployment name must contain no \"/\"");
  }
  for (const std::string& name : settings.SectionNames("model")) {
    it.deployment.models[name] = ReadModel(settings, "model " + name);
  }
  for (const std::string& name : settings.SectionNames("service")) {
    const std::string section = "service " + name;
    it.deployment.services[name] = {
        core::PoolId(settings.Text(section, "pool")),
        settings.Boolean(section, "is_repeatable")};
  }
  for (const std::string& name : settings.SectionNames("organisation")) {
    const std::string section = "organisation " + name;
    it.deployment.organisations[core::OrganisationId(name)] = {
        settings.Real(section, "weight"),
        settings.Real(section, "requests_per_second")};
  }
  TRY(CheckStrategies(it.deployment));
  return Intent(std::move(it));
}

absl::StatusOr<Intent> ReadLoadBound(const Settings& settings) {
  return Intent(SetLoadBound{core::DeploymentId(Get(settings, "deployment")),
                             Get(settings, "model"),
                             settings.Real(kIntentSection, "load_bound")});
}

absl::StatusOr<std::optional<double>> ReadOptional(const Settings& settings,
                                                   std::string_view key,
                                                   double minimum,
                                                   double maximum) {
  const std::string& text = Get(settings, key);
  if (text.empty()) {
    return std::optional<double>();
  }
  const std::optional<double> value = core::ParseNumber<double>(text);
  if (!value || !(*value >= minimum && *value <= maximum)) {
    return MakeInvalid(fmt::format(
        "[intent] {} = {} is out of range; allowed: a number from {:g} to {:g}",
        key, text, minimum, maximum));
  }
  return value;
}

absl::StatusOr<Intent> ReadOrganisation(const Settings& settings) {
  constexpr double kMinWeight = 0.001;
  SetOrganisation it;
  it.organisation = core::OrganisationId(Get(settings, "organisation"));
  TRY_ASSIGN(it.weight,
             ReadOptional(settings, "weight", kMinWeight, kMaxWeight));
  TRY_ASSIGN(
      it.requests_per_second,
      ReadOptional(settings, "requests_per_second", 0, kMaxRequestsPerSecond));
  if (!it.weight && !it.requests_per_second) {
    return MakeInvalid("neither weight nor requests_per_second is given");
  }
  return Intent(std::move(it));
}

absl::StatusOr<Intent> ReadDrain(const Settings& settings) {
  return Intent(SetDrain{Get(settings, "endpoint"), true});
}

absl::StatusOr<Intent> ReadUndrain(const Settings& settings) {
  return Intent(SetDrain{Get(settings, "endpoint"), false});
}

absl::StatusOr<Intent> ReadWantedState(const Settings& settings) {
  const std::string& role = Get(settings, "role");
  if (role != "serving" && role != "standby" && role != "prefill") {
    return MakeInvalid(fmt::format(
        "[intent] role = {} is not known; allowed: serving, standby, prefill",
        role));
  }
  return Intent(SetWantedState{
      Get(settings, "endpoint"),
      WantedState{Get(settings, "model"), Get(settings, "adapter"),
                  Get(settings, "version"), role}});
}

absl::StatusOr<Intent> ReadForgetWantedState(const Settings& settings) {
  return Intent(SetWantedState{Get(settings, "endpoint"), std::nullopt});
}

// The name, settings schema and parser of one kind of intent.
struct IntentKind {
  std::string_view name;
  Schema (*schema)();
  absl::StatusOr<Intent> (*read)(const Settings& settings);
};

constexpr auto kKinds = std::to_array<IntentKind>({
    {"deployment", &DeploymentSchema, &ReadDeployment},
    {"load_bound", &LoadBoundSchema, &ReadLoadBound},
    {"organisation", &OrganisationSchema, &ReadOrganisation},
    {"drain", &EndpointSchema, &ReadDrain},
    {"undrain", &EndpointSchema, &ReadUndrain},
    {"wanted_state", &WantedStateSchema, &ReadWantedState},
    {"forget_wanted_state", &EndpointSchema, &ReadForgetWantedState},
});

// Returns the keys of all kinds as optional text; only "kind" is required. It
// is used to determine the kind before the text is parsed with that kind's
// schema.
Schema LenientSchema() {
  Schema lenient = IntentSchema();
  for (SettingSpec& spec : lenient) {
    if (spec.key == "kind") {
      continue;
    }
    spec.kind = SettingKind::kText;
    spec.default_value = "";
  }
  return lenient;
}

absl::Status CheckNames(const Settings& settings) {
  for (const std::string_view key :
       {"deployment", "model", "organisation", "endpoint"}) {
    const std::string& name = Get(settings, key);
    const bool has_control_character =
        std::any_of(name.begin(), name.end(),
                    [](char c) { return static_cast<unsigned char>(c) < ' '; });
    if (has_control_character) {
      return MakeInvalid(
          fmt::format("[intent] {} holds a control character", key));
    }
  }
  return absl::OkStatus();
}

// Checks that no required key of the section [intent] is empty.
absl::Status CheckNotEmpty(const Schema& schema,
                           const Settings& settings,
                           const std::string& name) {
  for (const SettingSpec& it : schema) {
    const bool is_required = it.section == kIntentSection && !it.default_value;
    if (is_required && Get(settings, it.key).empty()) {
      return MakeInvalid(fmt::format("{}: [intent] {} is empty", name, it.key));
    }
  }
  return absl::OkStatus();
}

absl::StatusOr<Settings> ParseAs(const Schema& schema,
                                 std::string_view text,
                                 const std::string& name) {
  absl::StatusOr<Settings> settings = Settings::Parse(text, name, schema);
  if (!settings.ok()) {
    return MakeInvalid(core::MessageOf(settings.status()));
  }
  return settings;
}

}  // namespace

absl::StatusOr<Intent> ParseIntent(std::string_view text,
                                   const std::string& name) {
  TRY_ASSIGN(const Settings lenient, ParseAs(LenientSchema(), text, name));
  const std::string& kind_name = Get(lenient, "kind");
  const auto* const kind = std::find_if(
      kKinds.begin(), kKinds.end(),
      [&kind_name](const IntentKind& it) { return it.name == kind_name; });
  if (kind == kKinds.end()) {
    return MakeInvalid(
        fmt::format("{}: [intent] kind = {} is not known", name, kind_name));
  }
  TRY(CheckNames(lenient));
  TRY_ASSIGN(const Settings settings, ParseAs(kind->schema(), text, name));
  TRY(CheckNotEmpty(kind->schema(), settings, name));
  return kind->read(settings);
}

std::string DrainIntentText(std::string_view endpoint, bool is_drained) {
  return fmt::format("[intent]\nkind = {}\nendpoint = {}\n",
                     is_drained ? "drain" : "undrain", endpoint);
}

Schema IntentSchema() {
  Schema all;
  for (const IntentKind& kind : kKinds) {
    for (SettingSpec& spec : kind.schema()) {
      const bool is_known =
          std::any_of(all.begin(), all.end(), [&spec](const SettingSpec& it) {
            return it.section == spec.section && it.key == spec.key;
          });
      if (!is_known) {
        all.push_back(std::move(spec));
      }
    }
  }
  return all;
}

}  // namespace wasabi::intent
