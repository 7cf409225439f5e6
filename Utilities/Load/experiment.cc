#include "Utilities/Load/experiment.h"

#include <algorithm>

#include "LibCore/result_code.h"
#include "LibCore/text.h"
#include "LibCore/try.h"

namespace wasabi::load {

namespace {

using core::ResultCode;
using core::SettingKind;
using core::Settings;
using core::SettingSpec;

constexpr double kMaxTokens = 100'000;
constexpr double kMaxMilliseconds = 3'600'000;
constexpr double kMaxRate = 100'000;

SettingSpec Text(const char* section,
                 const char* key,
                 const char* default_value,
                 const char* description) {
  return {section, key, SettingKind::kText, default_value, 0, 0, description};
}

SettingSpec Integer(const char* section,
                    const char* key,
                    const char* default_value,
                    double maximum,
                    const char* description) {
  return {section, key,        SettingKind::kInteger, default_value, 0,
          maximum, description};
}

SettingSpec Real(const char* section,
                 const char* key,
                 const char* default_value,
                 double maximum,
                 const char* description) {
  return {section, key,     SettingKind::kReal, default_value,
          0,       maximum, description};
}

Range ReadRange(const Settings& settings,
                const std::string& section,
                const std::string& key) {
  return {settings.Integer(section, key + "_min"),
          settings.Integer(section, key + "_max")};
}

ChatPattern ReadChats(const Settings& settings) {
  ChatPattern it;
  it.model = settings.Text("chats", "model");
  it.turns_per_second = settings.Real("chats", "turns_per_second");
  it.pause_ms = ReadRange(settings, "chats", "pause_ms");
  it.turns = settings.Integer("chats", "turns");
  it.first_prompt_tokens = ReadRange(settings, "chats", "first_prompt_tokens");
  it.turn_tokens = ReadRange(settings, "chats", "turn_tokens");
  it.answer_tokens = ReadRange(settings, "chats", "answer_tokens");
  it.summary_share = settings.Real("chats", "summary_share");
  it.summary_prompt_tokens =
      ReadRange(settings, "chats", "summary_prompt_tokens");
  it.summary_answer_tokens =
      ReadRange(settings, "chats", "summary_answer_tokens");
  return it;
}

Experiment ReadExperiment(const Settings& settings) {
  Experiment it;
  it.name = settings.Text("experiment", "name");
  it.seed = static_cast<uint64_t>(settings.Integer("experiment", "seed"));
  it.duration = settings.Milliseconds("experiment", "duration_ms");
  it.warm_up = settings.Milliseconds("experiment", "warm_up_ms");
  it.chats = ReadChats(settings);
  it.organisations = {settings.List("organisations", "names"),
                      settings.List("organisations", "large"),
                      settings.Real("organisations", "large_share")};
  it.surge = {settings.List("surge", "organisations"),
              settings.Milliseconds("surge", "start_ms"),
              settings.Milliseconds("surge", "duration_ms"),
              settings.Real("surge", "factor")};
  it.service = {settings.Text("service", "name"),
                settings.Text("service", "path"),
                settings.Real("service", "calls_per_second"),
                settings.Real("service", "resend_share"),
                settings.Milliseconds("service", "patience_ms")};
  it.caller = {settings.Milliseconds("caller", "silence_ms"),
               settings.Milliseconds("caller", "patience_ms"),
               settings.Integer("caller", "attempts"),
               settings.Integer("caller", "returns_after_refusal")};
  return it;
}

absl::Status CheckOrganisations(const Experiment& experiment,
                                const std::string& name) {
  const std::vector<std::string>& names = experiment.organisations.names;
  if (names.empty()) {
    return core::MakeStatus(
        ResultCode::kSettingsContradiction,
        fmt::format("{}: [organisations] names is empty", name));
  }
  std::vector<std::string> mentioned = experiment.organisations.large;
  mentioned.insert(mentioned.end(), experiment.surge.organisations.begin(),
                   experiment.surge.organisations.end());
  for (const std::string& it : mentioned) {
    if (std::find(names.begin(), names.end(), it) == names.end()) {
      return core::MakeStatus(
          ResultCode::kSettingsContradiction,
          fmt::format(
              "{}: organisation {} is not listed in [organisations] names",
              name, it));
    }
  }
  return absl::OkStatus();
}

absl::Status CheckRanges(const Experiment& experiment,
                         const std::string& name) {
  const ChatPattern& chats = experiment.chats;
  for (const Range& it :
       {chats.pause_ms, chats.first_prompt_tokens, chats.turn_tokens,
        chats.answer_tokens, chats.summary_prompt_tokens,
        chats.summary_answer_tokens}) {
    if (it.low > it.high) {
      return core::MakeStatus(
          ResultCode::kSettingsContradiction,
          fmt::format("{}: [chats] has a minimum {} above its maximum {}", name,
                      it.low, it.high));
    }
  }
  return absl::OkStatus();
}

absl::StatusOr<Experiment> Check(const Settings& settings,
                                 const std::string& name) {
  Experiment experiment = ReadExperiment(settings);
  TRY(CheckOrganisations(experiment, name));
  TRY(CheckRanges(experiment, name));
  return experiment;
}

}  // namespace

const std::vector<SettingSpec>& ExperimentSchema() {
  static const std::vector<SettingSpec> kSchema = {
      Text("experiment", "name", "experiment", "Name in the report."),
      Integer("experiment", "seed", "1", 1e15, "Seed of all random choices."),
      Integer("experiment", "duration_ms", "20000", kMaxMilliseconds,
              "Period in which requests arrive, milliseconds."),
      Integer(
          "experiment", "warm_up_ms", "0", kMaxMilliseconds,
          "Milliseconds at the start that are excluded from the measurements."),
      Text("chats", "model", "m", "Model that the chats ask for."),
      Real("chats", "turns_per_second", "50", kMaxRate,
           "Turns that arrive per second."),
      Integer("chats", "pause_ms_min", "500", kMaxMilliseconds,
              "Shortest pause before a chat's next turn, milliseconds."),
      Integer("chats", "pause_ms_max", "4000", kMaxMilliseconds,
              "Longest pause before a chat's next turn, milliseconds."),
      Integer("chats", "turns", "8", 10'000, "Turns of a chat."),
      Integer("chats", "first_prompt_tokens_min", "60", kMaxTokens,
              "Shortest first message, tokens."),
      Integer("chats", "first_prompt_tokens_max", "300", kMaxTokens,
              "Longest first message, tokens."),
      Integer("chats", "turn_tokens_min", "10", kMaxTokens,
              "Shortest later message, tokens."),
      Integer("chats", "turn_tokens_max", "60", kMaxTokens,
              "Longest later message, tokens."),
      Integer("chats", "answer_tokens_min", "20", kMaxTokens,
              "Shortest answer, tokens."),
      Integer("chats", "answer_tokens_max", "80", kMaxTokens,
              "Longest answer, tokens."),
      Real("chats", "summary_share", "0", 1,
           "Share of the turns that ask for a long summary."),
      Integer("chats", "summary_prompt_tokens_min", "800", kMaxTokens,
              "Shortest message that asks for a summary, tokens."),
      Integer("chats", "summary_prompt_tokens_max", "2000", kMaxTokens,
              "Longest message that asks for a summary, tokens."),
      Integer("chats", "summary_answer_tokens_min", "200", kMaxTokens,
              "Shortest summary, tokens."),
      Integer("chats", "summary_answer_tokens_max", "400", kMaxTokens,
              "Longest summary, tokens."),
      Text("organisations", "names", "org-1", "All organisations."),
      Text("organisations", "large", "", "The large organisations."),
      Real("organisations", "large_share", "0.6", 1,
           "Share of the turns that the large organisations send."),
      Text("surge", "organisations", "",
           "Organisations that send more during the surge."),
      Integer("surge", "start_ms", "0", kMaxMilliseconds,
              "Start of the surge, milliseconds."),
      Integer("surge", "duration_ms", "0", kMaxMilliseconds,
              "Length of the surge, milliseconds; 0 for no surge."),
      Real("surge", "factor", "1", 1000,
           "Multiplier on the rate of the organisations that surge."),
      Text("service", "name", "", "Plain service to call; empty for none."),
      Text("service", "path", "holds", "Path of the service's calls."),
      Real("service", "calls_per_second", "0", kMaxRate,
           "Calls that arrive per second."),
      Real("service", "resend_share", "0", 1,
           "Share of the calls sent through two hosts at the same time."),
      Integer(
          "service", "patience_ms", "40000", kMaxMilliseconds,
          "Milliseconds for which a caller retries one call. The outcome of "
          "a call whose owner died is declared unknown after about 31 s."),
      Integer("caller", "silence_ms", "3000", kMaxMilliseconds,
              "Idle timeout after which a caller reattaches, milliseconds."),
      Integer("caller", "patience_ms", "30000", kMaxMilliseconds,
              "Milliseconds after which a caller times out."),
      Integer("caller", "attempts", "10", 1000,
              "Maximum sends of one chat request; reattachments don't count."),
      Integer("caller", "returns_after_refusal", "5", 1000,
              "Maximum retries of a refused request after Retry-After."),
  };
  return kSchema;
}

absl::StatusOr<Experiment> LoadExperiment(const std::string& path) {
  TRY_ASSIGN(const Settings settings, Settings::Load(path, ExperimentSchema()));
  return Check(settings, path);
}

absl::StatusOr<Experiment> ParseExperiment(std::string_view text,
                                           const std::string& name) {
  TRY_ASSIGN(const Settings settings,
             Settings::Parse(text, name, ExperimentSchema()));
  return Check(settings, name);
}

}  // namespace wasabi::load
