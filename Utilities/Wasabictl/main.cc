// wasabictl: the command line tool for operators. Each command sends requests
// to a control daemon or reads local files; the exit status is derived from the
// result code.

#include <gflags/gflags.h>
#include <unistd.h>

#include <algorithm>
#include <array>
#include <cstdlib>
#include <fstream>
#include <iostream>
#include <sstream>
#include <string>
#include <string_view>
#include <vector>

#include "LibCore/result_code.h"
#include "LibCore/settings.h"
#include "LibCore/text.h"
#include "LibCore/try.h"
#include "LibIntent/configuration_json.h"
#include "LibIntent/intent.h"
#include "Services/Control/control_settings.h"
#include "Utilities/Wasabictl/control_client.h"
#include "Utilities/Wasabictl/log_lines.h"
#include "Utilities/Wasabictl/report.h"

#ifdef WASABI_HAS_ROUTER_SETTINGS
#include "Services/Forwarder/forwarder_settings.h"
#include "Services/Router/router_settings.h"
#endif

DEFINE_string(control,
              "127.0.0.1:9100",
              "control daemons, as ip:port,ip:port; the next one is tried "
              "if one can't be reached");
DEFINE_string(operator_name,
              "",
              "operator name in the record of a plan; $USER if empty");
DEFINE_bool(yes, false, "apply, drain and undrain: also confirm the plan");
DEFINE_bool(json, false, "print the daemon's answer as JSON");
DEFINE_string(logs,
              "",
              "explain: log files of the daemons, separated by commas");
DEFINE_string(for, "control", "check-settings: router, forwarder (router on a platform) or control");
DEFINE_int32(timeout_ms,
             20000,
             "timeout of a request to one daemon, in milliseconds");

namespace wasabi::wasabictl {
namespace {

using core::MakeStatus;
using core::ResultCode;
using nlohmann::json;
using Arguments = std::vector<std::string>;

constexpr const char* kUsage =
    "the command line for operators of a wasabifork fleet\n\n"
    "  wasabictl [--control=IP:PORT,…] COMMAND\n\n"
    "  plan FILE             show what the intent in FILE would change\n"
    "  confirm PLAN          put a plan in force; safe to repeat\n"
    "  show PLAN             show a plan and its state\n"
    "  apply FILE            make and show a plan; confirm it with --yes\n"
    "  drain ENDPOINT        plan that an endpoint gets no new work; --yes\n"
    "  undrain ENDPOINT      plan to end the drain; --yes\n"
    "  status                the daemon, the fleet and what is in force\n"
    "  configuration         the configuration in force, as JSON\n"
    "  explain ID            print the lines of a request in the --logs\n"
    "  check-settings FILE   check the settings file of a daemon; --for\n"
    "  settings-doc          print a daemon's table of settings; --for\n\n"
    "Nothing changes until a plan is confirmed. The exit status is 0, or a\n"
    "result code of docs/RESULT_CODES.md modulo 256: conflict 188, unknown\n"
    "plan 189, expired 190, invalid intent 191, not in force everywhere 193,\n"
    "platform unavailable 50, append uncertain 88, no daemon reached 245,\n"
    "settings 100 to 105, usage 106.";

absl::StatusOr<std::string> ReadFile(const std::string& path) {
  std::ifstream file(path);
  if (!file) {
    return MakeStatus(ResultCode::kSettingsUnreadable,
                      fmt::format("{}: can't be opened", path));
  }
  std::stringstream text;
  text << file.rdbuf();
  return text.str();
}

std::string OperatorName() {
  if (!FLAGS_operator_name.empty()) {
    return FLAGS_operator_name;
  }
  const char* user = std::getenv("USER");
  return user == nullptr ? "unnamed" : user;
}

// Returns the client for the daemons in --control, created at the first call.
absl::StatusOr<ControlClient*> Client() {
  std::vector<core::SocketAddress> addresses;
  for (const std::string& text : core::SplitList(FLAGS_control)) {
    const auto address = core::SocketAddress::Parse(text);
    if (!address.ok()) {
      return MakeStatus(
          ResultCode::kUsage,
          fmt::format("--control: {}", core::MessageOf(address.status())));
    }
    addresses.push_back(*address);
  }
  static ControlClient client(addresses, core::milliseconds(FLAGS_timeout_ms));
  return &client;
}

void Print(const json& answer, std::string (*report)(const json& answer)) {
  std::cout << (FLAGS_json ? intent::DumpJson(answer) + "\n" : report(answer));
}

absl::StatusOr<json> MakePlan(const std::string& name,
                              const std::string& text) {
  TRY_ASSIGN(ControlClient * client, Client());
  const json request = {
      {"operator", OperatorName()}, {"name", name}, {"intent", text}};
  TRY_ASSIGN(const ControlAnswer answer,
             client->Call("POST", "/v1/plans", intent::DumpJson(request)));
  TRY(answer.status);
  Print(answer.body, &PlanReport);
  return answer.body;
}

absl::Status ConfirmPlan(const std::string& plan_id) {
  TRY_ASSIGN(ControlClient * client, Client());
  TRY_ASSIGN(
      const ControlAnswer answer,
      client->Call("POST", fmt::format("/v1/plans/{}/confirm", plan_id)));
  Print(answer.body, &ConfirmReport);
  return answer.status;
}

// Makes and prints a plan, and confirms it if --yes is given and the plan has
// changes.
absl::Status PlanAndConfirm(const std::string& name, const std::string& text) {
  TRY_ASSIGN(const json plan, MakePlan(name, text));
  std::string plan_id;
  TRY(intent::ReadMember(plan, "plan", &plan_id));
  if (intent::MemberOf(plan, "changes").empty()) {
    return absl::OkStatus();
  }
  if (!FLAGS_yes) {
    std::cout << "not confirmed; run: wasabictl --control=" << FLAGS_control
              << " confirm " << plan_id << "\n";
    return absl::OkStatus();
  }
  return ConfirmPlan(plan_id);
}

absl::Status RunPlan(const Arguments& arguments) {
  TRY_ASSIGN(const std::string text, ReadFile(arguments[0]));
  return MakePlan(arguments[0], text).status();
}

absl::Status RunConfirm(const Arguments& arguments) {
  return ConfirmPlan(arguments[0]);
}

absl::Status RunApply(const Arguments& arguments) {
  TRY_ASSIGN(const std::string text, ReadFile(arguments[0]));
  return PlanAndConfirm(arguments[0], text);
}

absl::Status RunDrain(const Arguments& arguments) {
  return PlanAndConfirm("drain", intent::DrainIntentText(arguments[0], true));
}

absl::Status RunUndrain(const Arguments& arguments) {
  return PlanAndConfirm("undrain",
                        intent::DrainIntentText(arguments[0], false));
}

absl::Status Get(const std::string& target,
                 std::string (*report)(const json& answer)) {
  TRY_ASSIGN(ControlClient * client, Client());
  TRY_ASSIGN(const ControlAnswer answer, client->Call("GET", target));
  TRY(answer.status);
  Print(answer.body, report);
  return absl::OkStatus();
}

absl::Status RunShow(const Arguments& arguments) {
  return Get("/v1/plans/" + arguments[0], &PlanReport);
}

absl::Status RunStatus(const Arguments& /*arguments*/) {
  return Get("/v1/status", &StatusReport);
}

absl::Status RunConfiguration(const Arguments& /*arguments*/) {
  constexpr int kIndent = 2;
  return Get("/v1/configuration",
             [](const json& answer) { return answer.dump(kIndent) + "\n"; });
}

absl::StatusOr<std::vector<core::SettingSpec>> SelectedSchema() {
  if (FLAGS_for == "control") {
    return control::ControlSettingsSchema();
  }
#ifdef WASABI_HAS_ROUTER_SETTINGS
  if (FLAGS_for == "router") {
    return router::RouterSettingsSchema();
  }
  if (FLAGS_for == "forwarder") {
    return forwarder::ForwarderSettingsSchema();
  }
#endif
  return MakeStatus(ResultCode::kUsage,
                    fmt::format("--for={} is not known", FLAGS_for));
}

absl::Status CheckSettingsFile(const std::string& path) {
  if (FLAGS_for == "control") {
    return control::LoadControlSettings(path).status();
  }
#ifdef WASABI_HAS_ROUTER_SETTINGS
  if (FLAGS_for == "router") {
    return router::LoadRouterSettings(path).status();
  }
  if (FLAGS_for == "forwarder") {
    return forwarder::LoadForwarderSettings(path).status();
  }
#endif
  return SelectedSchema().status();
}

absl::Status RunCheckSettings(const Arguments& arguments) {
  TRY(CheckSettingsFile(arguments[0]));
  std::cout << arguments[0] << ": the settings are valid\n";
  return absl::OkStatus();
}

absl::Status RunSettingsDoc(const Arguments& /*arguments*/) {
  TRY_ASSIGN(const std::vector<core::SettingSpec> schema, SelectedSchema());
  std::cout << core::SettingsToMarkdown(schema);
  return absl::OkStatus();
}

// Prints the lines of one request from the files in FLAGS_logs, sorted by time.
absl::Status RunExplain(const Arguments& arguments) {
  std::vector<std::string> lines;
  for (const std::string& path : core::SplitList(FLAGS_logs)) {
    TRY(AppendRequestLines(path, arguments[0], &lines));
  }
  if (lines.empty()) {
    return MakeStatus(ResultCode::kUnknownRequest,
                      "no line of the logs names this request");
  }
  for (const std::string& line : SortByTime(std::move(lines))) {
    std::cout << line << "\n";
  }
  return absl::OkStatus();
}

struct Command {
  std::string_view name;
  // The number of arguments that the command requires.
  size_t arguments;
  absl::Status (*run)(const Arguments& arguments);
};

constexpr auto kCommands = std::to_array<Command>({
    {"plan", 1, &RunPlan},
    {"confirm", 1, &RunConfirm},
    {"show", 1, &RunShow},
    {"apply", 1, &RunApply},
    {"drain", 1, &RunDrain},
    {"undrain", 1, &RunUndrain},
    {"status", 0, &RunStatus},
    {"configuration", 0, &RunConfiguration},
    {"check-settings", 1, &RunCheckSettings},
    {"settings-doc", 0, &RunSettingsDoc},
    {"explain", 1, &RunExplain},
});

absl::Status Run(const Arguments& words) {
  if (words.empty()) {
    return MakeStatus(ResultCode::kUsage, "no command; see wasabictl --help");
  }
  const auto* const command = std::find_if(
      kCommands.begin(), kCommands.end(),
      [&words](const Command& it) { return it.name == words.front(); });
  if (command == kCommands.end()) {
    return MakeStatus(
        ResultCode::kUsage,
        fmt::format("{} is not a command; see wasabictl --help", words[0]));
  }
  if (words.size() - 1 != command->arguments) {
    return MakeStatus(ResultCode::kUsage,
                      fmt::format("{} takes {} argument(s)", command->name,
                                  command->arguments));
  }
  return command->run({words.begin() + 1, words.end()});
}

}  // namespace
}  // namespace wasabi::wasabictl

int main(int argc, char** argv) {
  gflags::SetUsageMessage(wasabi::wasabictl::kUsage);
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  const absl::Status status = wasabi::wasabictl::Run({argv + 1, argv + argc});
  if (status.ok()) {
    return 0;
  }
  const wasabi::core::ResultCode code = wasabi::core::CodeOf(status);
  std::cerr << "wasabictl: " << wasabi::core::MessageOf(status) << " (code "
            << static_cast<int>(code) << " "
            << wasabi::core::Describe(code).name << ")\n";
  if (const auto retry_after = wasabi::core::RetryAfterOf(status)) {
    std::cerr << "try again in " << wasabi::core::ToMilliseconds(*retry_after)
              << " ms\n";
  }
  constexpr int kExitStatuses = 256;
  return static_cast<int>(code) % kExitStatuses;
}
