// wasabi_load: sends an experiment's requests to a fleet and checks the
// answers against what the stand-in endpoints executed.

#include <gflags/gflags.h>

#include <csignal>
#include <fstream>
#include <iostream>
#include <sstream>
#include <string>
#include <vector>

#include "LibCore/event_loop.h"
#include "LibCore/settings.h"
#include "LibCore/text.h"
#include "LibCore/try.h"
#include "Utilities/Load/load_run.h"
#include "Utilities/Load/load_series.h"
#include "Utilities/Load/load_summary.h"
#include "Utilities/Load/report_page.h"

DEFINE_string(experiment, "", "INI file of the experiment; see --schema");
DEFINE_string(entries, "", "addresses of entry hosts, separated by commas");
DEFINE_string(engines, "", "addresses of the stand-in engines");
DEFINE_string(services, "", "addresses of the stand-in services");
DEFINE_string(routers, "", "addresses whose control traffic is measured");
DEFINE_string(execution_files, "", "execution files of the stand-ins");
DEFINE_bool(direct, false, "send to --engines, past the fleet");
DEFINE_int64(seed, 0, "seed in place of the experiment's; 0 keeps that");
DEFINE_int64(duration_ms, 0, "duration in place of the experiment's; 0 keeps");
DEFINE_double(turns_per_second,
              0,
              "rate in place of the experiment's; 0 keeps");
DEFINE_string(result, "", "file for the result with its course over time");
DEFINE_bool(schema, false, "print the keys of an experiment file and exit");

namespace wasabi::load {
namespace {

absl::StatusOr<std::vector<core::SocketAddress>> ParseAddresses(
    const std::string& text) {
  std::vector<core::SocketAddress> addresses;
  for (const std::string& it : core::SplitList(text)) {
    TRY_ASSIGN(const core::SocketAddress address,
               core::SocketAddress::Parse(it));
    addresses.push_back(address);
  }
  return addresses;
}

void ApplyOverrides(Experiment* experiment) {
  if (FLAGS_seed != 0) {
    experiment->seed = static_cast<uint64_t>(FLAGS_seed);
  }
  if (FLAGS_duration_ms != 0) {
    experiment->duration = core::milliseconds(FLAGS_duration_ms);
  }
  if (FLAGS_turns_per_second > 0) {
    experiment->chats.turns_per_second = FLAGS_turns_per_second;
  }
}

absl::StatusOr<RunOptions> OptionsFromFlags() {
  RunOptions options;
  TRY_ASSIGN(options.experiment, LoadExperiment(FLAGS_experiment));
  ApplyOverrides(&options.experiment);
  TRY_ASSIGN(options.entries, ParseAddresses(FLAGS_entries));
  TRY_ASSIGN(options.engines, ParseAddresses(FLAGS_engines));
  TRY_ASSIGN(options.services, ParseAddresses(FLAGS_services));
  TRY_ASSIGN(options.routers, ParseAddresses(FLAGS_routers));
  options.execution_files = core::SplitList(FLAGS_execution_files);
  options.is_direct = FLAGS_direct;
  const auto& targets = FLAGS_direct ? options.engines : options.entries;
  if (targets.empty()) {
    return core::MakeStatus(
        core::ResultCode::kUsage,
        FLAGS_direct ? "--direct needs --engines" : "--entries is missing");
  }
  return options;
}

// Whether the run was good; or why it couldn't be performed.
absl::StatusOr<bool> Run() {
  TRY_ASSIGN(const RunOptions options, OptionsFromFlags());
  core::EventLoop loop;
  LoadRun run(&loop, options);
  bool is_good = false;
  run.Start([&](const RunRecords& records) {
    const LoadSummary summary = Summarise(options.experiment, records);
    if (!FLAGS_result.empty()) {
      nlohmann::json result = ToJson(summary);
      result["series"] = MakeSeries(options.experiment, records);
      std::ofstream(FLAGS_result) << result.dump(1) << "\n";
    }
    std::cout << ToText(summary) << "\n" << ToJson(summary).dump() << "\n";
    is_good = summary.check.IsGood();
    loop.Stop();
  });
  loop.Run();
  return is_good;
}

// Prints the page that compares the result files at `paths`.
absl::Status PrintReport(const std::vector<std::string>& paths) {
  std::vector<NamedResult> results;
  for (const std::string& path : paths) {
    std::ifstream file(path);
    std::stringstream text;
    text << file.rdbuf();
    nlohmann::json result = nlohmann::json::parse(text.str(), nullptr, false);
    if (!result.is_object()) {
      return core::MakeStatus(core::ResultCode::kUsage,
                              path + " is no result of wasabi_load");
    }
    results.push_back({path, std::move(result)});
  }
  std::cout << MakeReportPage(results);
  return absl::OkStatus();
}

}  // namespace
}  // namespace wasabi::load

int main(int argc, char** argv) {
  // A peer that closes its connection must not end the process.
  std::signal(SIGPIPE, SIG_IGN);
  gflags::SetUsageMessage(
      "Sends the requests of an experiment to a fleet, checks every answer "
      "and prints the measures.\n"
      "The last line of the output is one JSON object. Exit code 0 says that "
      "nothing was lost, wrong, doubled or executed against a refusal.\n"
      "  wasabi_load report A.json B.json > page.html   compares results");
  gflags::ParseCommandLineFlags(&argc, &argv, true);
  if (FLAGS_schema) {
    std::cout << wasabi::core::SettingsToMarkdown(
        wasabi::load::ExperimentSchema());
    return 0;
  }
  if (argc > 2 && std::string(argv[1]) == "report") {
    const absl::Status status =
        wasabi::load::PrintReport({argv + 2, argv + argc});
    std::cerr << wasabi::core::MessageOf(status);
    return static_cast<int>(wasabi::core::CodeOf(status));
  }
  const absl::StatusOr<bool> is_good = wasabi::load::Run();
  if (!is_good.ok()) {
    std::cerr << wasabi::core::MessageOf(is_good.status()) << "\n";
    return static_cast<int>(wasabi::core::CodeOf(is_good.status()));
  }
  return *is_good ? 0 : 1;
}
