// wasabi_load: sends the requests of an experiment to a fleet and checks the
// answers against the executions that the stand-in endpoints recorded.

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
DEFINE_bool(direct, false, "bypass the fleet and send to --engines");
DEFINE_int64(seed, 0, "overrides the experiment's seed; 0 keeps it");
DEFINE_int64(duration_ms, 0, "overrides the experiment's duration; 0 keeps it");
DEFINE_double(turns_per_second,
              0,
              "overrides the experiment's turn rate; 0 keeps it");
DEFINE_string(result, "", "output file for the result with its time series");
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
        FLAGS_direct ? "--direct requires --engines" : "--entries is missing");
  }
  return options;
}

// Performs the run. Returns whether it passed the checks, or an error if it
// could not be performed.
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
    is_good = summary.check.HasNoViolations();
    loop.Stop();
  });
  loop.Run();
  return is_good;
}

// Prints an HTML page that compares the result files at `paths`.
absl::Status PrintReport(const std::vector<std::string>& paths) {
  std::vector<NamedResult> results;
  for (const std::string& path : paths) {
    std::ifstream file(path);
    std::stringstream text;
    text << file.rdbuf();
    nlohmann::json result = nlohmann::json::parse(text.str(), nullptr, false);
    if (!result.is_object()) {
      return core::MakeStatus(core::ResultCode::kUsage,
                              path + " is not a result file of wasabi_load");
    }
    results.push_back({path, std::move(result)});
  }
  std::cout << MakeReportPage(results);
  return absl::OkStatus();
}

}  // namespace
}  // namespace wasabi::load

int main(int argc, char** argv) {
  // Writing to a connection that the peer closed must not end the process.
  std::signal(SIGPIPE, SIG_IGN);
  gflags::SetUsageMessage(
      "Sends the requests of an experiment to a fleet, checks every answer "
      "and prints the measurements.\n"
      "The last line of the output is one JSON object. Exit code 0 means that "
      "no request was lost, wrong, doubled or executed after "
      "a refusal.\n"
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
